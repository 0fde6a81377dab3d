package direct

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
)

// panickingWriter panics in the given call of WriteHeader or Write, counted from 1.
type panickingWriter struct {
	http.ResponseWriter
	calls, panicAt int
}

func (w *panickingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *panickingWriter) count() {
	if w.calls++; w.calls == w.panicAt {
		panic("broken writer")
	}
}

func (w *panickingWriter) WriteHeader(status int) {
	w.count()
	w.ResponseWriter.WriteHeader(status)
}

func (w *panickingWriter) Write(p []byte) (int, error) {
	w.count()
	return w.ResponseWriter.Write(p)
}

// panickingBody panics when it is read.
type panickingBody struct{ io.ReadCloser }

func (panickingBody) Read([]byte) (int, error) { panic("broken body") }

// newRoutedEntry returns an entry with a route of the kind on /x to a target.
func newRoutedEntry(t *testing.T, kind, target string) *Entry {
	t.Helper()
	e := newQuietEntry()
	e.fleet.applyOperatorRecords(feed.Update{Records: []contract.Record{{Offset: 9, Key: platform.KeyManifest, Value: fmt.Appendf(nil,
		`{"version":2,"routes":[{"name":"x","path_prefix":"/x","host":"h","kind":%q,"service":"plain","timeout_ms":10000,`+
			`"target_latency_ms":1000,"max_attempts":1}],"services":[{"name":"plain"}]}`, kind)}}})
	e.fleet.setEntries(entryNames(1))
	e.fleet.applyTargetRecords(feed.Update{Records: []contract.Record{{Offset: 1, Key: "target-1", Value: fmt.Appendf(nil,
		`{"service":"plain","address":%q,"zone":"a","state":"ready","slots":100,"seq_no":1,"born":1}`, target)}}})
	return e
}

// TestPanicIsAnswered guards against requests that end without an answer because the handler
// panics: the caller is told whether the request may have run, and a response that has begun
// does not look complete.
func TestPanicIsAnswered(t *testing.T) {
	event := func(id int) string { return fmt.Sprintf("id: %d\ndata: x\n\n", id) }
	stream := answerText(200, "a", "Content-Type: text/event-stream\r\n", event(1)+event(2))
	for name, c := range map[string]struct {
		kind, answer string
		// inBody is set if reading the request panics; otherwise the call of the response
		// writer does that panicAt names.
		inBody  bool
		panicAt int
		// want is the status of the answer, 0 if it has to be broken off.
		want    int
		outcome contract.Outcome
	}{
		"before a target is chosen":     {"non_idempotent", answerText(200, "a", "", "ok"), true, 0, http.StatusServiceUnavailable, contract.OutcomeNotRun},
		"with a target's response":      {"non_idempotent", answerText(200, "a", "", "ok"), false, 1, http.StatusBadGateway, contract.OutcomeUnknown},
		"behind the head of a response": {"non_idempotent", answerText(200, "a", "", "ok"), false, 2, 0, 0},
		"behind an event":               {"streaming", stream, false, 3, 0, 0},
		"with the entry's own response": {"non_idempotent", "", false, 1, http.StatusBadGateway, contract.OutcomeUnknown},
		"no panic":                      {"non_idempotent", answerText(200, "a", "", "ok"), false, 0, http.StatusOK, 0},
		"no panic in a stream":          {"streaming", stream, false, 0, http.StatusOK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newRoutedEntry(t, c.kind, scriptedTarget(t, func(n int, _ *http.Request) string {
				if n > 0 {
					return ""
				}
				return c.answer
			}))
			var stacks atomic.Int64
			e.log = &log.Logger{Level: log.ErrorLevel, Handler: log.HandlerFunc(func(line *log.Entry) error {
				if line.Fields["stack"] != nil {
					stacks.Add(1)
				}
				return nil
			})}
			e.callerConns = newConnTracker(e.log, e.meters)
			_, callers := startCallerServer(t, e, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.inBody {
					r.Body = panickingBody{r.Body}
				}
				callerHandler{e}.ServeHTTP(&panickingWriter{ResponseWriter: w, panicAt: c.panicAt}, r)
			}), nil)
			status, body, err := postTo(t, callers.Addr().String())
			if panics := c.inBody || c.panicAt > 0; panics != (stacks.Load() == 1) {
				t.Errorf("%d lines with a stack logged, want one if the handler panics (%v)", stacks.Load(), panics)
			}
			if c.want == 0 {
				if err == nil {
					t.Fatalf("answer %d %q is complete, want it broken off", status, body)
				}
				return
			}
			if err != nil || status != c.want {
				t.Fatalf("answer %d %q, error %v, want %d", status, body, err, c.want)
			}
			if c.want != http.StatusOK && !strings.Contains(body, fmt.Sprintf(`"outcome":%q`, c.outcome)) {
				t.Errorf("answer %q, want outcome %v", body, c.outcome)
			}
		})
	}
}

// postTo sends a request of attempt "a" and returns the answer.
func postTo(t *testing.T, address string) (status int, body string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { err = errors.Join(err, conn.Close()) }()
	if _, err := io.WriteString(conn, "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\nab"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// panickingCaller panics when a part of the answer is written to it.
type panickingCaller struct{ http.ResponseWriter }

func (panickingCaller) Write([]byte) (int, error) { panic("broken writer") }

// Guards against attempts that go on after a panic of their request: their targets would work for
// nobody, and count as busy.
func TestPanicEndsAttempt(t *testing.T) {
	left := make(chan error, 1)
	address := connTarget(t, func(conn net.Conn, _ *http.Request) {
		_, _ = io.WriteString(conn, streamText("a", 1, 9, false))
		_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err := conn.Read(make([]byte, 1))
		left <- err
	})
	c, w, _ := newHedgingCall(t, address)
	c.w = panickingCaller{w}
	func() {
		defer func() { _ = recover() }()
		c.serve()
	}()
	if err := <-left; errors.Is(err, os.ErrDeadlineExceeded) {
		t.Error("the connection to the target is open 2 s after the panic, want it reset")
	}
	c.triedTargets = nil
	if choice, _ := c.entry.fleet.pickTarget(c.service, c.requirements(time.Minute), time.Minute); choice.Load != 0 {
		t.Errorf("load of the target = %d after the panic, want 0", choice.Load)
	}
}

// Guards against a panic that ends the whole process, with all requests in it: attempts run in
// goroutines of their own.
func TestPanicInAttemptEndsOnlyTheAttempt(t *testing.T) {
	e := newQuietEntry()
	e.conns = nil
	if outcome, _ := attemptAt(e, "127.0.0.1:1", "a"); outcome != attempts.Lost {
		t.Errorf("outcome = %v, want Lost", outcome)
	}
}

// Guards against a process that ends because the look at the target of a lost attempt panics, and
// against a request that is repeated then.
func TestPanicInLookAtTargetCountsAsCrash(t *testing.T) {
	e := newQuietEntry()
	e.conns = nil
	c := &call{entry: e}
	if !c.recordCrashes(t.Context(), []lostAttempt{{}}) {
		t.Error("recordCrashes() = false after a panic, want true")
	}
}
