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

// dropping is a service that answers one call of a connection and drops the
// connection when it has read a second one, as a restarting service does.
func dropping(t *testing.T) (url string, effects *atomic.Int32) {
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

func filing(body string) Call {
	return Call{Method: http.MethodPost, Path: "/filings", Body: []byte(body), Key: "k", Request: "r"}
}

// TestLibraryDoesNotRepeatCalls checks that a call whose connection breaks is
// sent once. The HTTP library repeats calls on connections that it reuses, also
// a POST if it has an idempotency key; the second part shows that it does.
func TestLibraryDoesNotRepeatCalls(t *testing.T) {
	for _, body := range []string{"", "filing"} {
		url, effects := dropping(t)
		p := NewPlainClient(url)
		for i := range int32(3) {
			reply, err := p.Call(context.Background(), filing(body))
			if err == nil {
				drain(reply.Body)
			}
			if got := effects.Load(); got != i+1 {
				t.Fatalf("%d effects after %d calls", got, i+1)
			}
		}
	}
	url, effects := dropping(t)
	p := NewPlainClient(url)
	p.fresh = newClient(true)
	for range 3 {
		if reply, err := p.Call(context.Background(), filing("")); err == nil {
			drain(reply.Body)
		}
	}
	if effects.Load() <= 3 {
		t.Fatalf("%d effects: the library does not repeat calls any more", effects.Load())
	}
}

func TestNotSentOnlyWithoutConnection(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed := "http://" + lis.Addr().String()
	_ = lis.Close()
	if _, err := NewPlainClient(closed).Call(context.Background(), filing("x")); !errors.Is(err, ErrNotSent) {
		t.Errorf("nobody listens: %v", err)
	}
	for _, c := range []Call{{Method: "GET", Path: "@other/"}, {Method: "GET", Path: "http://other/"}, {Method: "G T", Path: "/"}} {
		if _, err := NewPlainClient(closed).Call(context.Background(), c); !errors.Is(err, ErrBadCall) {
			t.Errorf("%+v: %v", c, err)
		}
	}
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	if _, err := NewPlainClient(cut.URL).Call(context.Background(), filing("x")); !errors.Is(err, ErrReplyLost) || errors.Is(err, ErrNotSent) {
		t.Errorf("cut after reading: %v", err)
	}
}

func TestGenerateTellsRefusalsFromLosses(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusConflict: ErrDigestMismatch, http.StatusServiceUnavailable: ErrOverloaded,
		http.StatusBadRequest: ErrBadCall, http.StatusInternalServerError: ErrReplyLost,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		_, err := NewEngineClient(server.URL).Generate(context.Background(), GenerateRequest{}, nil)
		server.Close()
		if !errors.Is(err, want) || errors.Is(err, ErrRefused) != (want != ErrReplyLost) {
			t.Errorf("status %d: %v", status, err)
		}
	}
}

// TestReportOfPlainService checks which answers show that a service gives no
// report: not those of one that is down for a while.
func TestReportOfPlainService(t *testing.T) {
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
			t.Errorf("%d %q: %+v, %v", c.status, c.body, load, err)
		}
	}
}

const (
	token0 = "event: token\ndata: {\"at\":0,\"text\":\"a\"}\n\n"
	token1 = "event: token\ndata: {\"at\":1,\"text\":\"b\"}\n\n"
	end2   = "event: end\ndata: {\"tokens\":2,\"digest\":\"d\"}\n\n"
)

func TestAnswerWithoutGapsOnly(t *testing.T) {
	for text, whole := range map[string]bool{
		token0 + token1 + end2: true, token0 + end2: false, token1 + end2: false,
		token0 + token0 + end2: false, token0 + token1: false, token0 + token1 + end2[:20]: false,
	} {
		_, err := readAnswer(strings.NewReader(text), 0, func(Token) error { return nil })
		if (err == nil) != whole || (err != nil && !errors.Is(err, ErrTruncated)) {
			t.Errorf("%q: %v", text, err)
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
				t.Fatalf("token at %d, want %d", tok.At, next)
			}
			next++
			return nil
		})
		if err == nil && end.Tokens != next {
			t.Fatalf("end at %d after %d", end.Tokens, next)
		}
	})
}

func FuzzReport(f *testing.F) {
	f.Add([]byte(`{"boot":"b","seq":1,"warm":true}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = decodeReport(io.NopCloser(bytes.NewReader(data)))
	})
}

// TestGenerateReturnsWhenTheEngineIsDone checks that an answer is returned only
// after the engine has closed its side: until then the engine still counts the
// work, and the next one would be above its limit. A connection is used again
// only if its answer was read to the end.
func TestGenerateReturnsWhenTheEngineIsDone(t *testing.T) {
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
		t.Fatalf("%d connections for 20 calls", n)
	}
}

func FuzzLoad(f *testing.F) {
	f.Add([]byte(`{"running":2,"limit":8}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if load, err := decodeLoad(bytes.NewReader(data)); err == nil && (load.Limit <= 0 || load.Running < 0) {
			t.Fatalf("%+v", load)
		}
	})
}
