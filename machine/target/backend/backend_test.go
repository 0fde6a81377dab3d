package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/cockroachdb/errors"
)

// startDroppingServer starts a service that answers the first call of a connection and
// drops the connection after it has read a second one, as a restarting service does.
// effects counts the calls that it received.
func startDroppingServer(t *testing.T) (url string, effects *atomic.Int32) {
	t.Helper()
	effects = &atomic.Int32{}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	seen := map[string]bool{}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		effects.Add(1)
		mu.Lock()
		defer mu.Unlock()
		if seen[r.RemoteAddr] {
			panic(http.ErrAbortHandler)
		}
		seen[r.RemoteAddr] = true
	})}
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(func() { _ = server.Close() })
	return "http://" + lis.Addr().String(), effects
}

func newFilingCall(body string) Call {
	return Call{Method: http.MethodPost, Path: "/filings", Body: []byte(body), Key: "k", Request: "r"}
}

// TestCallIsSentOnceWhenConnectionBreaks checks that a call whose connection breaks is
// sent once. The HTTP library repeats calls on reused connections, even a POST with an
// idempotency key; the second part of the test shows that it still does.
func TestCallIsSentOnceWhenConnectionBreaks(t *testing.T) {
	for _, body := range []string{"", "filing"} {
		url, effects := startDroppingServer(t)
		p := NewPlainClient(url)
		for i := range int32(3) {
			reply, err := p.Call(context.Background(), newFilingCall(body))
			if err == nil {
				drain(reply.Body)
			}
			if got := effects.Load(); got != i+1 {
				t.Fatalf("server received %d calls, want %d", got, i+1)
			}
		}
	}
	url, effects := startDroppingServer(t)
	p := NewPlainClient(url)
	p.singleUseClient = newClient(true)
	for range 3 {
		if reply, err := p.Call(context.Background(), newFilingCall("")); err == nil {
			drain(reply.Body)
		}
	}
	if effects.Load() <= 3 {
		t.Fatalf("server received %d calls, want more than 3: the HTTP library no longer repeats calls", effects.Load())
	}
}

func TestErrNotSentOnlyWithoutConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unusedURL := "http://" + lis.Addr().String()
	_ = lis.Close()
	if _, err := NewPlainClient(unusedURL).Call(context.Background(), newFilingCall("x")); !errors.Is(err, ErrNotSent) {
		t.Errorf("Call() without a listener: error %v, want ErrNotSent", err)
	}
	for _, c := range []Call{{Method: "GET", Path: "@other/"}, {Method: "GET", Path: "http://other/"}, {Method: "G T", Path: "/"}} {
		if _, err := NewPlainClient(unusedURL).Call(context.Background(), c); !errors.Is(err, ErrBadCall) {
			t.Errorf("Call(%+v): error %v, want ErrBadCall", c, err)
		}
	}
	abortingServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer abortingServer.Close()
	if _, err := NewPlainClient(abortingServer.URL).Call(context.Background(), newFilingCall("x")); !errors.Is(err, ErrReplyLost) || errors.Is(err, ErrNotSent) {
		t.Errorf("Call() with an aborted connection: error %v, want ErrReplyLost and not ErrNotSent", err)
	}
}

func TestGenerateDistinguishesRefusalsFromLostReplies(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusConflict: ErrDigestMismatch, http.StatusServiceUnavailable: ErrOverloaded,
		http.StatusBadRequest: ErrBadCall, http.StatusInternalServerError: ErrReplyLost,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		_, err := NewEngineClient(server.URL).Generate(context.Background(), GenerateRequest{}, nil)
		server.Close()
		if !errors.Is(err, want) || errors.Is(err, ErrRefused) != (want != ErrReplyLost) {
			t.Errorf("Generate() with status %d: error %v, want the error of the status, marked ErrRefused if the work did not start", status, err)
		}
	}
}

// TestPlainReportErrors checks which answers show that a service does not report its
// load. The answers of a service that is temporarily down do not.
func TestPlainReportErrors(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		want   error
	}{
		{http.StatusOK, `{"running":2,"limit":8}`, nil},
		{http.StatusOK, `<html>`, ErrNoReport},
		{http.StatusOK, `{}`, ErrNoReport},
		{http.StatusNotFound, "", ErrNoReport},
		{http.StatusServiceUnavailable, "", ErrReplyLost},
		{http.StatusInternalServerError, "", ErrReplyLost},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		load, err := NewPlainClient(server.URL).Report(context.Background())
		server.Close()
		if !errors.Is(err, c.want) || (c.want == nil && load != Load{Running: 2, Limit: 8}) {
			t.Errorf("Report() with status %d and body %q = %+v, %v, want the load or the error of the case", c.status, c.body, load, err)
		}
	}
}

const (
	token0 = "event: token\ndata: {\"at\":0,\"text\":\"a\"}\n\n"
	token1 = "event: token\ndata: {\"at\":1,\"text\":\"b\"}\n\n"
	end2   = "event: end\ndata: {\"tokens\":2,\"digest\":\"d\"}\n\n"
)

func TestReadAnswerRejectsGaps(t *testing.T) {
	for text, complete := range map[string]bool{
		token0 + token1 + end2: true, token0 + end2: false, token1 + end2: false,
		token0 + token0 + end2: false, token0 + token1: false, token0 + token1 + end2[:20]: false,
	} {
		_, err := readAnswer(strings.NewReader(text), 0, func(Token) error { return nil })
		if (err == nil) != complete || (err != nil && !errors.Is(err, ErrTruncated)) {
			t.Errorf("readAnswer(%q): error %v, want none for a complete answer and otherwise ErrTruncated", text, err)
		}
	}
}

func FuzzReadAnswer(f *testing.F) {
	f.Add([]byte(token0 + token1 + end2))
	f.Add([]byte(": comment\r\ndata:x\ndata\n\nevent\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		next := uint64(0)
		end, err := readAnswer(bytes.NewReader(data), 0, func(tok Token) error {
			if tok.At != next {
				t.Fatalf("token at position %d, want %d", tok.At, next)
			}
			next++
			return nil
		})
		if err == nil && end.Tokens != next {
			t.Fatalf("answer ends at %d tokens, want %d", end.Tokens, next)
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"boot":"b","seq":1,"warm":true}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeReport(io.NopCloser(bytes.NewReader(data)))
	})
}

// TestGenerateReturnsAfterEngineClosesAnswer checks that Generate returns only after the
// engine has closed the answer: until then the engine counts the work as running, and the
// next request would exceed its limit. The test relies on the HTTP library reusing a
// connection only if the answer was read to the end.
func TestGenerateReturnsAfterEngineClosesAnswer(t *testing.T) {
	var connections atomic.Int32
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "event: end\ndata: {\"tokens\":0}\n\n")
		_ = http.NewResponseController(w).Flush()
	}))
	server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			connections.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	e := NewEngineClient(server.URL)
	for range 20 {
		if _, err := e.Generate(context.Background(), GenerateRequest{}, func(Token) error { return nil }); err != nil {
			t.Fatal(err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Fatalf("%d connections for 20 calls, want 1", n)
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"running":2,"limit":8}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if load, err := decodeLoad(bytes.NewReader(data)); err == nil && (load.Limit <= 0 || load.Running < 0) {
			t.Fatalf("decodeLoad() accepted %+v, want a positive limit and no negative number of running units", load)
		}
	})
}
