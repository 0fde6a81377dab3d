package direct

import (
	"bufio"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosastand.example/mimosastand/config"
)

// stoppingEntry is an entry with a route in a planned stop.
type stoppingEntry struct {
	callers net.Addr
	start   time.Time
	// stopped is closed when the stop is over.
	stopped chan struct{}
}

// newStoppingEntry starts an entry whose only target is at an address, and has it stop.
func newStoppingEntry(t *testing.T, kind, target string) *stoppingEntry {
	e := newRoutedEntry(t, kind, target)
	e.process = &config.Process{ShutdownGrace: 8 * time.Second}
	e.callerConns = newConnTracker(e.log, e.meters)
	server, callers := startCallerServer(t, e, callerHandler{e}, nil)
	s := &stoppingEntry{callers: callers.Addr(), start: time.Now(), stopped: make(chan struct{})}
	go func() {
		defer close(s.stopped)
		e.drain(server, callers)
	}()
	return s
}

// ask connects shortly before the first part is due and the notice of the stop ends, and sends parts of
// a request at times after the start of the stop. It returns the answer, and when the last part had been sent.
func (s *stoppingEntry) ask(t *testing.T, parts map[time.Duration]string) (resp *http.Response, body string, sent time.Time) {
	t.Helper()
	times := slices.Sorted(maps.Keys(parts))
	time.Sleep(time.Until(s.start.Add(min(times[0], readinessNotice) - stopDialLead)))
	conn, err := net.Dial("tcp", s.callers.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	for _, at := range times {
		time.Sleep(time.Until(s.start.Add(at)))
		if _, err := io.WriteString(conn, parts[at]); err != nil {
			t.Fatal(err)
		}
	}
	sent = time.Now()
	resp, err = http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatalf("answer broke off: %v", err)
	}
	return resp, string(data), sent
}

const (
	// stopDialLead is how long before the first part of its request a caller connects, or before the
	// notice ends. A first part 400 ms after the notice can be 300 ms late until newConnGrace is over.
	stopDialLead    = 300 * time.Millisecond
	stopRequestHead = "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\nContent-Length: 2\r\n\r\n"
	stopRequestBody = "ab"
)

// Guards against a request that a stopping entry takes and then aborts at the end of its grace
// period (LOST): one that is read after the notice and may last longer is refused at once, also if it began
// before.
func TestStopRefusesRequestThatWouldBeAborted(t *testing.T) {
	t.Parallel()
	for name, parts := range map[string]map[time.Duration]string{
		"sent after the notice":         {readinessNotice + 400*time.Millisecond: stopRequestHead + stopRequestBody},
		"body arrives after the notice": {readinessNotice - 200*time.Millisecond: stopRequestHead, readinessNotice + time.Second: stopRequestBody},
	} {
		for _, kind := range []string{"streaming", "non_idempotent", "idempotent"} {
			t.Run(name+", "+kind, func(t *testing.T) {
				t.Parallel()
				s := newStoppingEntry(t, kind, "127.0.0.1:1")
				resp, body, sent := s.ask(t, parts)
				if resp.StatusCode != http.StatusServiceUnavailable || !resp.Close {
					t.Errorf("response %+v, want 503 that closes the connection", resp)
				}
				if !strings.Contains(body, `"shutting_down"`) {
					t.Errorf("body %q, want reason shutting_down", body)
				}
				if took := time.Since(sent); took > 500*time.Millisecond {
					t.Errorf("refused after %v, want at once", took)
				}
				<-s.stopped
			})
		}
	}
}

// Guards against callers that get no answer at the end of a planned stop (LOST): their requests, sent
// early in the grace period, are still at a target. They are told that the request may have run.
func TestStopAnswersRequestsThatLastTooLong(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"streaming", "non_idempotent", "idempotent"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			silent := make(chan struct{})
			t.Cleanup(func() { close(silent) })
			target := scriptedTarget(t, func(int, *http.Request) string { <-silent; return "" })
			s := newStoppingEntry(t, kind, target)
			resp, body, _ := s.ask(t, map[time.Duration]string{readinessNotice - 1200*time.Millisecond: stopRequestHead + stopRequestBody})
			if resp.StatusCode != http.StatusBadGateway || !strings.Contains(body, `"shutting_down"`) {
				t.Errorf("status %d, body %q, want 502 with reason shutting_down", resp.StatusCode, body)
			}
			<-s.stopped
			if took := time.Since(s.start); took > 8*time.Second-killMargin/2 {
				t.Errorf("stop took %v, want less than the grace period", took)
			}
		})
	}
}

// lookTestTimeout bounds how long the look at a target lasts in a test. It is shorter than the
// timeout of the route.
const lookTestTimeout = 3 * time.Second

// Guards against callers that get no answer at the end of a planned stop (LOST) since the entry first
// looks whether their target has crashed. The look ends only after the answer, so this does not depend
// on how fast the machine is.
func TestStopAnswersBeforeLookAtTarget(t *testing.T) {
	t.Parallel()
	for _, kind := range []string{"streaming", "non_idempotent", "idempotent"} {
		t.Run(kind, func(t *testing.T) {
			t.Parallel()
			arrived, answered := make(chan struct{}), make(chan struct{})
			target := scriptedTarget(t, func(int, *http.Request) string { close(arrived); <-answered; return "" })
			e := newRoutedEntry(t, kind, target)
			e.callerConns = newConnTracker(e.log, e.meters)
			_, callers := startCallerServer(t, e, callerHandler{e}, nil)
			var dials atomic.Int64
			e.conns.dialer.Control = func(string, string, syscall.RawConn) error {
				if dials.Add(1) > 1 {
					<-answered
				}
				return nil
			}
			var watchdog atomic.Bool
			release := sync.OnceFunc(func() { close(answered) })
			timer := time.AfterFunc(lookTestTimeout, func() { watchdog.Store(true); release() })
			defer timer.Stop()
			go func() {
				<-arrived
				e.openCalls.endAll()
			}()
			status, body, err := postTo(t, callers.Addr().String())
			release()
			if err != nil || status != http.StatusBadGateway || !strings.Contains(body, `"shutting_down"`) {
				t.Errorf("status %d, body %q, error %v, want 502 with reason shutting_down", status, body, err)
			}
			if watchdog.Load() {
				t.Error("the answer waited for a look at the target, want it at once")
			}
			waitUntil(t, "the entry looks at the target", func() bool { return dials.Load() > 1 })
		})
	}
}
