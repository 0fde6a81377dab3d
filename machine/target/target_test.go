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

// rig is one target process in front of a stand-in, and an entry host that
// speaks to it over real QUIC.
type rig struct {
	t       *testing.T
	back    *fault.Switch
	server  *httptest.Server
	process *target.Process
	entry   *link.Endpoint
	// authority signs the certificates of all.
	authority *devkeys.Authority
	stop      context.CancelFunc
	stopped   chan struct{}
}

type silentEntry struct{}

func (silentEntry) Heartbeat(link.Peer) contract.Heartbeat {
	return contract.Heartbeat{Machine: "entry-1"}
}
func (silentEntry) HeartbeatReceived(*link.Conn, contract.Heartbeat)      {}
func (silentEntry) ServeStream(context.Context, *link.Conn, *link.Stream) {}
func (silentEntry) PeerRejected(error)                                    {}

var digest = contract.NewDigest([32]byte{1})

func modelRig(t *testing.T, c engine.Config) *rig {
	c.Digest = digest
	r := newRig(t, config.BackendModel, engine.New(c), nil)
	r.awaitReady()
	return r
}

func plainRig(t *testing.T, c service.Config) *rig {
	r := newRig(t, config.BackendPlain, service.New(c), nil)
	r.awaitReady()
	return r
}

func newRig(t *testing.T, kind string, back *fault.Switch, change func(*config.Process)) *rig {
	t.Helper()
	server := httptest.NewServer(back)
	t.Cleanup(server.Close)
	t.Cleanup(func() { back.Set(fault.Request{Fault: fault.None}) })
	authority, err := devkeys.NewAuthority(t.TempDir())
	fatal(t, err)
	files, err := authority.Issue("target-1", link.RoleTarget, time.Hour)
	fatal(t, err)
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
	fatal(t, err)
	fatal(t, process.Start())
	ctx, stop := context.WithCancel(context.Background())
	r := &rig{t: t, back: back, server: server, process: process, stop: stop, stopped: make(chan struct{}), authority: authority}
	go func() {
		defer close(r.stopped)
		_ = process.Run(ctx)
	}()
	r.entry = entryEndpoint(t, authority)
	t.Cleanup(func() {
		stop()
		<-r.stopped
	})
	return r
}

func entryEndpoint(t *testing.T, authority *devkeys.Authority) *link.Endpoint {
	t.Helper()
	creds, err := authority.IssueCredentials("entry-1", link.RoleEntry)
	fatal(t, err)
	e, err := link.Listen("127.0.0.1:0", creds, silentEntry{}, link.Config{HeartbeatInterval: 100 * time.Millisecond})
	fatal(t, err)
	t.Cleanup(e.Close)
	return e
}

func fatal(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// awaitReady polls the readiness page.
func (r *rig) awaitReady() {
	r.t.Helper()
	for {
		resp, err := http.Get("http://" + r.process.HTTPAddress() + "/readyz")
		fatal(r.t, err)
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (r *rig) dial() *link.Conn {
	r.t.Helper()
	c, err := r.entry.Dial(context.Background(), r.process.LinkAddress())
	fatal(r.t, err)
	return c
}

func (r *rig) open(c *link.Conn, m contract.Message) *link.Stream {
	r.t.Helper()
	s, err := c.Open(context.Background())
	fatal(r.t, err)
	fatal(r.t, s.Send(m))
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

// answer is what a stream gave, up to its end or its break.
type answer struct {
	status  *contract.Status
	refusal *contract.Refuse
	end     *contract.End
	text    strings.Builder
	frames  uint64
}

// read takes messages until stop says so or the stream ends.
func (r *rig) read(s *link.Stream, stop func(*answer) bool) *answer {
	r.t.Helper()
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

func never(*answer) bool { return false }

func wantText(prompt string, from, tokens int) string {
	var b strings.Builder
	for i := from; i < tokens; i++ {
		b.WriteString(engine.Token(prompt, digest, uint64(i)))
	}
	return b.String()
}

func (r *rig) stats(into any) {
	r.t.Helper()
	req := httptest.NewRequest(http.MethodGet, "/stats", nil)
	rec := httptest.NewRecorder()
	r.back.ServeHTTP(rec, req)
	fatal(r.t, json.Unmarshal(rec.Body.Bytes(), into))
}

var fastEngine = engine.Config{WarmLimit: 8, ColdLimit: 2, TokenDelay: time.Millisecond, ReportLag: 50 * time.Millisecond}

func TestModelAnswerIsWhole(t *testing.T) {
	r := modelRig(t, fastEngine)
	a := r.read(r.open(r.dial(), modelStart("r1", 1, 20)), never)
	if a.end == nil || a.end.Outcome != contract.OutcomeDone || a.end.Frames != 20 || a.end.Weights != digest {
		t.Fatalf("end %+v, refusal %+v", a.end, a.refusal)
	}
	if a.text.String() != wantText("r1", 0, 20) || a.end.Length != uint64(a.text.Len()) {
		t.Fatalf("answer %q", a.text.String())
	}
}

// TestResendAfterConnectionBreaks checks that an answer whose connection broke
// in its middle is read to its end on another connection.
func TestResendAfterConnectionBreaks(t *testing.T) {
	r := modelRig(t, fastEngine)
	first := r.dial()
	half := r.read(r.open(first, modelStart("r1", 1, 200)), func(a *answer) bool { return a.frames == 10 })
	first.Close()
	id := contract.AttemptID{Request: "r1", N: 1}
	rest := r.read(r.open(r.dial(), query(id, half.frames)), never)
	if rest.status == nil || rest.end == nil || rest.end.Outcome != contract.OutcomeDone {
		t.Fatalf("status %+v, end %+v", rest.status, rest.end)
	}
	if got := half.text.String() + rest.text.String(); got != wantText("r1", 0, 200) {
		t.Fatalf("answer %q", got)
	}
}

// TestPlainCallRunsOnceWhenReplyIsLost checks that a filing whose reply is lost
// has one effect, and that its outcome is told as unknown.
func TestPlainCallRunsOnceWhenReplyIsLost(t *testing.T) {
	r := plainRig(t, service.Config{Limit: 8})
	r.back.Set(fault.Request{Fault: fault.LostReply, Path: "/filings"})
	a := r.read(r.open(r.dial(), plainStart("r1", 1)), never)
	if a.end == nil || a.end.Outcome != contract.OutcomeUnknown {
		t.Fatalf("end %+v, refusal %+v", a.end, a.refusal)
	}
	r.back.Set(fault.Request{Fault: fault.None})
	again := r.read(r.open(r.dial(), plainStart("r1", 2)), never)
	if again.refusal == nil || again.refusal.Reason != contract.ReasonDuplicateAttempt {
		t.Fatalf("second attempt: %+v", again)
	}
	var stats service.Stats
	r.stats(&stats)
	if stats.Effects != 1 {
		t.Fatalf("%d effects", stats.Effects)
	}
}

// TestPlainAnswerOutlivesItsConnection checks that work which may not be
// repeated runs on without its stream and that its answer is kept.
func TestPlainAnswerOutlivesItsConnection(t *testing.T) {
	r := plainRig(t, service.Config{Limit: 8, Delay: 200 * time.Millisecond})
	first := r.dial()
	s := r.open(first, plainStart("r1", 1))
	if m, err := s.Recv(); err != nil || m.Kind != contract.KindAccept {
		t.Fatalf("got %+v, %v", m, err)
	}
	first.Close()
	a := r.read(r.open(r.dial(), query(contract.AttemptID{Request: "r1", N: 1}, 0)), never)
	if a.end == nil || a.end.Outcome != contract.OutcomeDone || !strings.Contains(a.text.String(), "k-r1") {
		t.Fatalf("end %+v, answer %q", a.end, a.text.String())
	}
}

// TestPlannedStopCutsNothing checks that running work ends whole after the
// process was asked to stop, and that new work is refused meanwhile.
func TestPlannedStopCutsNothing(t *testing.T) {
	c := fastEngine
	c.Digest = digest
	// After half of the grace streams are handed over: see TestHandOverResumesElsewhere.
	r := newRig(t, config.BackendModel, engine.New(c), func(cfg *config.Process) { cfg.ShutdownGrace = time.Minute })
	r.awaitReady()
	conn := r.dial()
	s := r.open(conn, modelStart("r1", 1, 300))
	begun := r.read(s, func(a *answer) bool { return a.frames == 5 })
	r.stop()
	refused := &answer{}
	for i := uint32(1); refused.refusal == nil; i++ {
		refused = r.read(r.open(conn, modelStart("r2", i, 1)), never)
	}
	if refused.refusal.Reason != contract.ReasonTargetLeaving || !refused.refusal.Load.Leaving {
		t.Fatalf("refusal %+v", refused.refusal)
	}
	rest := r.read(s, never)
	if rest.end == nil || rest.end.Outcome != contract.OutcomeDone {
		t.Fatalf("end %+v", rest.end)
	}
	if begun.text.String()+rest.text.String() != wantText("r1", 0, 300) {
		t.Fatal("answer is not whole")
	}
}
