package direct

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"mimosastand.example/mimosastand/config"
)

const (
	drainSeed = 1
	// smallRequest is a whole request.
	smallRequest = "GET /chat/x HTTP/1.1\r\nHost: h\r\n\r\n"
)

// drainedEntry is an entry whose callers are served by a handler of the test.
type drainedEntry struct {
	*Entry
	server  *http.Server
	callers *callerListener
	reads   *readRecorder
	// stopped is closed when the drain is over.
	stopped chan struct{}
}

// newDrainedEntry starts to serve callers; delay is that of reads.
func newDrainedEntry(t *testing.T, delay time.Duration, handler http.HandlerFunc) *drainedEntry {
	d := &drainedEntry{Entry: newQuietEntry(), reads: &readRecorder{delay: delay, conns: make(chan *recordedConn, 1000)}, stopped: make(chan struct{})}
	d.process = &config.Process{ShutdownGrace: 8 * time.Second}
	d.callerConns = newConnTracker(d.log, d.meters)
	d.server, d.callers = startCallerServer(t, d.Entry, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		handler(w, r)
	}), d.reads)
	return d
}

// stop drains the entry and returns when that began.
func (d *drainedEntry) stop() time.Time {
	start := time.Now()
	go func() {
		defer close(d.stopped)
		d.drain(d.server, d.callers)
	}()
	return start
}

// drainCaller is a caller's connection.
type drainCaller struct {
	net.Conn
	reader *bufio.Reader
	// far is the entry's end.
	far *recordedConn
	// sent counts the bytes of whole requests sent.
	sent int64
}

func (d *drainedEntry) dial(t *testing.T) *drainCaller {
	t.Helper()
	conn, err := net.Dial("tcp", d.callers.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &drainCaller{Conn: conn, reader: bufio.NewReader(conn), far: <-d.reads.conns}
}

// ask sends a request in parts, with a pause before each but the first, and reads the
// response. It reports whether the response closes the connection.
func (c *drainCaller) ask(pause time.Duration, parts ...string) (closes bool, err error) {
	for i, part := range parts {
		if i > 0 {
			time.Sleep(pause)
		}
		c.sent += int64(len(part))
		if _, err := io.WriteString(c, part); err != nil {
			return true, err
		}
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return true, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.Close, err
}

// wasReadWhole reports whether the entry has read all that the caller sent.
func (c *drainCaller) wasReadWhole() bool { return c.far.read.Load() == c.sent }

func answerOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

// TestStopAnswersRequestsReadAroundClose guards against requests that were read whole before
// or while a planned stop closes idle connections, and then dropped without a response.
func TestStopAnswersRequestsReadAroundClose(t *testing.T) {
	t.Parallel()
	const callers, spread = 400, 60 * time.Millisecond
	for _, delay := range []time.Duration{0, 15 * time.Millisecond} {
		t.Run(fmt.Sprint("read delay ", delay), func(t *testing.T) {
			t.Parallel()
			d := newDrainedEntry(t, delay, answerOK)
			var conns []*drainCaller
			for range callers {
				c := d.dial(t)
				if _, err := c.ask(0, smallRequest); err != nil {
					t.Fatal(err)
				}
				conns = append(conns, c)
			}
			start := d.stop()
			random := rand.New(rand.NewPCG(drainSeed, 0))
			var wg sync.WaitGroup
			var mu sync.Mutex
			answered, unread, dropped := 0, 0, 0
			for _, c := range conns {
				at := start.Add(readinessNotice - spread/2 + time.Duration(random.Int64N(int64(spread))))
				wg.Go(func() {
					time.Sleep(time.Until(at))
					_, err := c.ask(0, smallRequest)
					mu.Lock()
					defer mu.Unlock()
					switch {
					case err == nil:
						answered++
					case c.wasReadWhole():
						dropped++
					default:
						unread++
					}
				})
			}
			wg.Wait()
			<-d.stopped
			t.Logf("%d answered, %d closed unread, %d read and dropped", answered, unread, dropped)
			if dropped > 0 {
				t.Errorf("%d of %d requests read whole and not answered, want none", dropped, callers)
			}
		})
	}
}

// TestStopAnswersRequestsInParts guards against a planned stop that drops a request of which
// a part was read before idle connections are closed and the rest after.
func TestStopAnswersRequestsInParts(t *testing.T) {
	t.Parallel()
	const pause = 400 * time.Millisecond
	post := "POST /chat/x HTTP/1.1\r\nHost: h\r\nContent-Length: 6\r\n\r\n"
	for name, c := range map[string]struct {
		// used is set if the connection has served a request before; early is how long
		// before the close the request begins.
		used  bool
		early time.Duration
		parts []string
	}{
		"head in two parts on a used connection": {true, pause / 2, []string{smallRequest[:20], smallRequest[20:]}},
		"three bytes first":                      {true, pause / 2, []string{smallRequest[:3], smallRequest[3:]}},
		"head in two parts on a new connection":  {false, pause / 2, []string{smallRequest[:20], smallRequest[20:]}},
		"slow body":                              {true, 3 * pause / 2, []string{post, "ab", "cd", "ef"}},
		"new connection that speaks later":       {false, -pause, []string{smallRequest}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDrainedEntry(t, 0, answerOK)
			var caller *drainCaller
			if c.used {
				caller = d.dial(t)
				if _, err := caller.ask(0, smallRequest); err != nil {
					t.Fatal(err)
				}
			}
			start := d.stop()
			if !c.used {
				time.Sleep(time.Until(start.Add(readinessNotice - pause)))
				caller = d.dial(t)
			}
			time.Sleep(time.Until(start.Add(readinessNotice - c.early)))
			closes, err := caller.ask(pause, c.parts...)
			if err != nil || !closes {
				t.Errorf("response closes the connection: %v, error %v, want true and none", closes, err)
			}
			<-d.stopped
			if took := time.Since(start); took > readinessNotice+2*time.Second {
				t.Errorf("stop took %v, want at most 2s after the notice", took)
			}
		})
	}
}

// TestStopDoesNotWaitForIdleConnections guards against a stop that lasts to the end of the
// grace period for connections on which nothing is under way.
func TestStopDoesNotWaitForIdleConnections(t *testing.T) {
	t.Parallel()
	d := newDrainedEntry(t, 0, answerOK)
	d.dial(t)
	used := d.dial(t)
	if _, err := used.ask(0, smallRequest); err != nil {
		t.Fatal(err)
	}
	start := d.stop()
	time.Sleep(time.Until(start.Add(readinessNotice - 10*time.Millisecond)))
	d.dial(t)
	<-d.stopped
	if took := time.Since(start); took > readinessNotice+2*time.Second {
		t.Errorf("stop took %v, want at most 2s after the notice", took)
	}
}

// TestStopCompletesResponseUnderWay guards against a stop that cuts a response which ends
// within the grace period, and against one that outlasts it.
func TestStopCompletesResponseUnderWay(t *testing.T) {
	t.Parallel()
	for lasts, complete := range map[time.Duration]bool{6 * time.Second: true, 30 * time.Second: false} {
		t.Run(fmt.Sprint("lasts ", lasts), func(t *testing.T) {
			t.Parallel()
			d := newDrainedEntry(t, 0, func(w http.ResponseWriter, r *http.Request) {
				for end := time.Now().Add(lasts); time.Now().Before(end) && r.Context().Err() == nil; time.Sleep(100 * time.Millisecond) {
					_, _ = io.WriteString(w, "data: x\n\n")
					_ = http.NewResponseController(w).Flush()
				}
			})
			caller := d.dial(t)
			start := d.stop()
			if _, err := caller.ask(0, smallRequest); (err == nil) != complete {
				t.Errorf("response of %v ended with error %v, want complete: %v", lasts, err, complete)
			}
			<-d.stopped
			if took := time.Since(start); took > d.process.ShutdownGrace {
				t.Errorf("stop took %v, want at most the grace period", took)
			}
		})
	}
}
