package target_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/target"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/standin/service"
)

// fixture is a target process with a stand-in as its back end, and an entry host that uses
// it over real QUIC.
type fixture struct {
	t       *testing.T
	backend *fault.Switch
	server  *httptest.Server
	process *target.Process
	entry   *link.Endpoint
	// authority signs the certificates of the target and the entry host.
	authority *devkeys.Authority
	stop      context.CancelFunc
	stopped   chan struct{}
}

type entryHandler struct{}

func (entryHandler) Heartbeat(link.Peer) contract.Heartbeat {
	return contract.Heartbeat{Machine: "entry-1"}
}
func (entryHandler) HeartbeatReceived(*link.Conn, contract.Heartbeat)      {}
func (entryHandler) ServeStream(context.Context, *link.Conn, *link.Stream) {}
func (entryHandler) PeerRejected(error)                                    {}

var digest = contract.NewDigest([32]byte{1})

func newModelFixture(t *testing.T, c engine.Config) *fixture {
	c.Digest = digest
	f := newFixture(t, config.BackendModel, engine.New(c), nil)
	f.awaitReady()
	return f
}

func newPlainFixture(t *testing.T, c service.Config) *fixture {
	f := newFixture(t, config.BackendPlain, service.New(c), nil)
	f.awaitReady()
	return f
}

func newFixture(t *testing.T, kind string, backend *fault.Switch, change func(*config.Process)) *fixture {
	t.Helper()
	server := httptest.NewServer(backend)
	t.Cleanup(server.Close)
	t.Cleanup(func() { backend.Set(fault.Request{Fault: fault.None}) })
	authority, err := devkeys.NewAuthority(t.TempDir())
	requireNoError(t, err)
	files, err := authority.Issue("target-1", link.RoleTarget, time.Hour)
	requireNoError(t, err)
	cfg := &config.Process{
		Machine: "target-1", Zone: "khomas-a", Region: "khomas", ShutdownGrace: 2 * time.Second,
		LinkAddress: "127.0.0.1:0", HTTPAddress: "127.0.0.1:0", TLS: files,
		Link:   link.Config{HeartbeatInterval: 100 * time.Millisecond, SilentAfter: 2 * time.Second},
		Target: config.Target{Service: "s", Kind: kind, BackendURL: server.URL, MaxRunning: 8},
	}
	if change != nil {
		change(cfg)
	}
	process, err := target.New(cfg)
	requireNoError(t, err)
	requireNoError(t, process.Start())
	ctx, stop := context.WithCancel(context.Background())
	f := &fixture{t: t, backend: backend, server: server, process: process, stop: stop, stopped: make(chan struct{}), authority: authority}
	go func() {
		defer close(f.stopped)
		_ = process.Run(ctx)
	}()
	f.entry = newEntryEndpoint(t, authority)
	t.Cleanup(func() {
		stop()
		<-f.stopped
	})
	return f
}

func newEntryEndpoint(t *testing.T, authority *devkeys.Authority) *link.Endpoint {
	t.Helper()
	creds, err := authority.IssueCredentials("entry-1", link.RoleEntry)
	requireNoError(t, err)
	e, err := link.Listen("127.0.0.1:0", creds, entryHandler{}, link.Config{HeartbeatInterval: 100 * time.Millisecond})
	requireNoError(t, err)
	t.Cleanup(e.Close)
	return e
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitReady polls the readiness page until the process is ready.
func (f *fixture) awaitReady() {
	f.t.Helper()
	for {
		resp, err := http.Get("http://" + f.process.HTTPAddress() + "/readyz")
		requireNoError(f.t, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fixture) dial() *link.Conn {
	f.t.Helper()
	c, err := f.entry.Dial(context.Background(), f.process.LinkAddress())
	requireNoError(f.t, err)
	return c
}

func (f *fixture) openStream(c *link.Conn, m contract.Message) *link.Stream {
	f.t.Helper()
	s, err := c.Open(context.Background())
	requireNoError(f.t, err)
	requireNoError(f.t, s.Send(m))
	return s
}

func modelStart(request string, n uint32, tokens int) contract.Message {
	body, _ := json.Marshal(map[string]any{"prompt": request, "max_tokens": tokens})
	return contract.Message{Kind: contract.KindStart, Start: &contract.Start{
		Attempt: contract.AttemptID{Request: contract.RequestID(request), N: n}, Service: "s", Team: "t",
		Remaining: 20 * time.Second, Weights: digest, Idempotent: true, Body: body,
	}}
}

func plainStart(request string, n uint32) contract.Message {
	return contract.Message{Kind: contract.KindStart, Start: &contract.Start{
		Attempt: contract.AttemptID{Request: contract.RequestID(request), N: n}, Service: "s", Team: "t",
		Remaining: 20 * time.Second, Method: http.MethodPost, Path: "/filings", Body: []byte("filing"), Key: "k-" + request,
	}}
}

func query(id contract.AttemptID, at uint64) contract.Message {
	return contract.Message{Kind: contract.KindQuery, Query: &contract.Query{
		Attempt: id, Tombstone: true, Resend: true, ResendFrom: at, Age: time.Millisecond,
	}}
}

// answer holds what was received on a stream until it ended or broke.
type answer struct {
	status  *contract.Status
	refusal *contract.Refuse
	end     *contract.End
	text    strings.Builder
	frames  uint64
}

// receive receives messages until stop returns true or the stream ends.
func (f *fixture) receive(s *link.Stream, stop func(*answer) bool) *answer {
	f.t.Helper()
	a := &answer{}
	for !stop(a) {
		m, err := s.Recv()
		if err != nil {
			return a
		}
		switch m.Kind {
		case contract.KindStatus:
			a.status = m.Status
		case contract.KindRefuse:
			a.refusal = m.Refuse
			s.Close()
		case contract.KindEnd:
			a.end = m.End
			s.Close()
		case contract.KindChunk:
			a.text.Write(m.Chunk.Data)
			a.frames++
		}
	}
	return a
}

func untilEnd(*answer) bool { return false }

func wantText(prompt string, from, tokens int) string {
	var b strings.Builder
	for i := from; i < tokens; i++ {
		b.WriteString(engine.Token(prompt, digest, uint64(i)))
	}
	return b.String()
}

func (f *fixture) readStats(into any) {
	f.t.Helper()
	req := httptest.NewRequest(http.MethodGet, "/stats", nil)
	rec := httptest.NewRecorder()
	f.backend.ServeHTTP(rec, req)
	requireNoError(f.t, json.Unmarshal(rec.Body.Bytes(), into))
}

var fastEngine = engine.Config{WarmLimit: 8, ColdLimit: 2, TokenDelay: time.Millisecond, ReportLag: 50 * time.Millisecond}

func TestModelAnswerIsComplete(t *testing.T) {
	f := newModelFixture(t, fastEngine)
	a := f.receive(f.openStream(f.dial(), modelStart("r1", 1, 20)), untilEnd)
	if a.end == nil || a.end.Outcome != contract.OutcomeDone || a.end.Frames != 20 || a.end.Weights != digest {
		t.Fatalf("end = %+v, refusal = %+v, want outcome done with 20 frames and the pinned weights", a.end, a.refusal)
	}
	if a.text.String() != wantText("r1", 0, 20) || a.end.Length != uint64(a.text.Len()) {
		t.Fatalf("answer = %q, want the text of 20 tokens, with its length in the end", a.text.String())
	}
}

// TestResendCompletesAnswerAfterConnectionBreaks checks that the rest of an answer can be
// read on another connection after the first one broke.
func TestResendCompletesAnswerAfterConnectionBreaks(t *testing.T) {
	f := newModelFixture(t, fastEngine)
	first := f.dial()
	begun := f.receive(f.openStream(first, modelStart("r1", 1, 200)), func(a *answer) bool { return a.frames == 10 })
	first.Close()
	id := contract.AttemptID{Request: "r1", N: 1}
	rest := f.receive(f.openStream(f.dial(), query(id, begun.frames)), untilEnd)
	if rest.status == nil || rest.end == nil || rest.end.Outcome != contract.OutcomeDone {
		t.Fatalf("status = %+v, end = %+v, want a status and outcome done", rest.status, rest.end)
	}
	if got := begun.text.String() + rest.text.String(); got != wantText("r1", 0, 200) {
		t.Fatalf("both parts of the answer = %q, want the text of 200 tokens", got)
	}
}

// TestPlainCallRunsOnceWhenReplyIsLost checks that a call that is not idempotent and whose
// reply is lost has one effect, and that its outcome is reported as unknown.
func TestPlainCallRunsOnceWhenReplyIsLost(t *testing.T) {
	f := newPlainFixture(t, service.Config{Limit: 8})
	f.backend.Set(fault.Request{Fault: fault.LostReply, Path: "/filings"})
	a := f.receive(f.openStream(f.dial(), plainStart("r1", 1)), untilEnd)
	if a.end == nil || a.end.Outcome != contract.OutcomeUnknown {
		t.Fatalf("end = %+v, refusal = %+v, want outcome unknown", a.end, a.refusal)
	}
	f.backend.Set(fault.Request{Fault: fault.None})
	again := f.receive(f.openStream(f.dial(), plainStart("r1", 2)), untilEnd)
	if again.refusal == nil || again.refusal.Reason != contract.ReasonDuplicateAttempt {
		t.Fatalf("second attempt: answer = %+v, want a refusal for duplicate_attempt", again)
	}
	var stats service.Stats
	f.readStats(&stats)
	if stats.Effects != 1 {
		t.Fatalf("Effects = %d, want 1", stats.Effects)
	}
}

// TestPlainAnswerIsStoredAfterConnectionBreaks checks that a call that is not idempotent
// continues after its stream broke, and that its answer is stored.
func TestPlainAnswerIsStoredAfterConnectionBreaks(t *testing.T) {
	f := newPlainFixture(t, service.Config{Limit: 8, Delay: 200 * time.Millisecond})
	first := f.dial()
	s := f.openStream(first, plainStart("r1", 1))
	if m, err := s.Recv(); err != nil || m.Kind != contract.KindAccept {
		t.Fatalf("first message = %+v, error = %v, want Accept", m, err)
	}
	first.Close()
	a := f.receive(f.openStream(f.dial(), query(contract.AttemptID{Request: "r1", N: 1}, 0)), untilEnd)
	if a.end == nil || a.end.Outcome != contract.OutcomeDone || !strings.Contains(a.text.String(), "k-r1") {
		t.Fatalf("end = %+v, answer = %q, want outcome done and the key k-r1 in the answer", a.end, a.text.String())
	}
}

// TestPlannedStopCompletesRunningWork checks that running work is completed after the
// process was requested to stop, and that new work is refused meanwhile.
func TestPlannedStopCompletesRunningWork(t *testing.T) {
	c := fastEngine
	c.Digest = digest
	// The grace is long: streams are handed over after half of it, see
	// TestHandedOverStreamResumesAtAnotherTarget.
	f := newFixture(t, config.BackendModel, engine.New(c), func(cfg *config.Process) { cfg.ShutdownGrace = time.Minute })
	f.awaitReady()
	conn := f.dial()
	s := f.openStream(conn, modelStart("r1", 1, 300))
	begun := f.receive(s, func(a *answer) bool { return a.frames == 5 })
	f.stop()
	refused := &answer{}
	for i := uint32(1); refused.refusal == nil; i++ {
		refused = f.receive(f.openStream(conn, modelStart("r2", i, 1)), untilEnd)
	}
	if refused.refusal.Reason != contract.ReasonTargetLeaving || !refused.refusal.Load.Leaving {
		t.Fatalf("refusal = %+v, want target_leaving and a load that says leaving", refused.refusal)
	}
	rest := f.receive(s, untilEnd)
	if rest.end == nil || rest.end.Outcome != contract.OutcomeDone {
		t.Fatalf("end = %+v, want outcome done", rest.end)
	}
	if begun.text.String()+rest.text.String() != wantText("r1", 0, 300) {
		t.Fatal("answer differs from the text of 300 tokens")
	}
}
