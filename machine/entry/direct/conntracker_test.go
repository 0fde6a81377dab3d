package direct

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

// TestUnansweredConnectionIsLogged guards against requests that are read and dropped without
// a trace; a connection that its caller leaves, or that ends after a response, is none.
func TestUnansweredConnectionIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		handler http.HandlerFunc
		want    int
	}{
		"no response": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, 1},
		"response":    {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }, 0},
		"caller left": {func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}, 0},
	} {
		e, lines := newQuietEntry(), memory.New()
		e.callerConns = newConnTracker(&log.Logger{Handler: lines, Level: log.InfoLevel}, e.meters)
		called := make(chan struct{})
		server, callers := startCallerServer(t, e, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			close(called)
			c.handler(w, r)
		}), nil)
		conn, err := net.Dial("tcp", callers.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		<-called
		if name != "caller left" {
			_, _ = io.Copy(io.Discard, conn)
		}
		_ = conn.Close()
		_ = callers.Close()
		waitUntil(t, "no connection is open", e.callerConns.isEmpty)
		_ = server.Close()
		if len(lines.Entries) != c.want {
			t.Errorf("%s: %d lines logged, want %d", name, len(lines.Entries), c.want)
		}
	}
}

// startCallerServer serves callers of e with a handler, through a listener whose
// connections count what is read from them if reads is set.
func startCallerServer(t *testing.T, e *Entry, handler http.Handler, reads *readRecorder) (*http.Server, *callerListener) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	if reads != nil {
		reads.TCPListener = lis.(*net.TCPListener)
		lis = reads
	}
	server := e.newCallerServer(handler)
	t.Cleanup(func() { _ = server.Close() })
	callers := e.callerConns.listener(lis)
	go func() { _ = server.Serve(callers) }()
	return server, callers
}

// readRecorder is a listener that records how many bytes are read from each connection. A
// read that brought bytes returns them after a delay, as in a process that gets little
// processor time.
type readRecorder struct {
	*net.TCPListener
	delay time.Duration
	conns chan *recordedConn
}

// Accept implements net.Listener.
func (l *readRecorder) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	c := &recordedConn{TCPConn: conn.(*net.TCPConn), delay: l.delay}
	l.conns <- c
	return c, nil
}

// recordedConn counts the bytes that were read from it.
type recordedConn struct {
	*net.TCPConn
	delay time.Duration
	read  atomic.Int64
}

// Read implements net.Conn.
func (c *recordedConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.read.Add(int64(n))
		time.Sleep(c.delay)
	}
	return n, err
}

// waitUntil waits for up to 10 s.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// Guards against a connection that is ended although its next request has begun: the server's
// background read had taken a byte of it.
func TestConnectionWithRequestBegunIsNotWaiting(t *testing.T) {
	e := newQuietEntry()
	tracker := newConnTracker(e.log, e.meters)
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	caller, err := net.Dial("tcp", lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	raw, err := lis.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c := tracker.add(raw.(tcpConn))
	defer c.Close()
	if _, err := c.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(caller, smallRequest); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	tracker.observe(c, http.StateIdle)
	tracker.endWaiting(0)
	if _, err := c.Read(make([]byte, 100)); err != nil {
		t.Errorf("reading the rest of the request: %v, want no error", err)
	}
}
