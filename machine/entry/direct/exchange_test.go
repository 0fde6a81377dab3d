package direct

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// serveOneConn accepts one connection, reads a request from it, calls received, and
// delivers how the connection ends.
func serveOneConn(t *testing.T, received func()) (address string, connEnd <-chan error) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	ends := make(chan error, 1)
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			ends <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			ends <- err
			return
		}
		received()
		_, err = reader.ReadByte()
		ends <- err
	}()
	return lis.Addr().String(), ends
}

// TestConnectionIsResetWhenCallerLeaves guards against work for callers that have left: a
// connection that was closed instead of reset still delivered the request 320 ms after
// its caller had left, when the network path to the target worked again, and the request
// ran to its end.
func TestConnectionIsResetWhenCallerLeaves(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address, connEnd := serveOneConn(t, cancel)
	e := &Entry{fleet: newStartedState(time.Hour, 3), conns: newConnPool()}
	c := &call{
		entry: e, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
		route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(time.Hour),
	}
	x := newExchange(c, placement.Choice{ID: "target-1", Address: address})
	if outcome, _ := x.run(ctx); outcome != attempts.Lost {
		t.Errorf("run() outcome = %v, want 4 (Lost)", outcome)
	}
	if err := <-connEnd; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("connection of the target ended with %v, want a reset (ECONNRESET)", err)
	}
}

// newStreamingExchange returns an attempt of a stream that the target has just begun to
// answer. The retry budget allows another attempt.
func newStreamingExchange() *exchange {
	fleet := newStartedState(time.Hour, 3)
	fleet.setBounds(config.Bounds{OldVersionGrace: time.Hour, RetryWindow: time.Millisecond, RetryBurst: 100})
	fleet.setEntries(entryNames(1))
	c := &call{
		entry: &Entry{fleet: fleet}, service: testService,
		route: &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}, deadline: time.Now().Add(time.Hour),
	}
	x := newExchange(c, placement.Choice{ID: "target-1"})
	x.recordActivity()
	return x
}

// TestProcessStandstillIsNotSilence guards against aborting all streams and ejecting
// their targets at once after a standstill of the process: it took the time in which it
// could not receive anything for silence of the targets.
func TestProcessStandstillIsNotSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newStreamingExchange()
		for range 5 {
			time.Sleep(checkInterval)
			if x.isSilent() {
				t.Fatal("isSilent() = true within 250 ms of the last activity, want false")
			}
		}
		time.Sleep(10 * time.Second)
		for range 5 {
			if x.isSilent() {
				t.Fatal("isSilent() = true after a 10 s standstill of the process, want false")
			}
			time.Sleep(checkInterval)
		}
	})
}

// TestSilenceIsDetectedAcrossStandstill guards against missing a target that hangs: its
// silence counts while the process runs, including the silence before a standstill.
func TestSilenceIsDetectedAcrossStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newStreamingExchange()
		checks := 0
		for !x.isSilent() {
			time.Sleep(checkInterval)
			if checks++; checks == 8 {
				time.Sleep(10 * time.Second)
			}
			if checks > 1000 {
				t.Fatal("isSilent() = false after 1000 checks, want true")
			}
		}
		if silence := time.Duration(checks) * checkInterval; silence > targetSilenceTimeout+2*checkInterval {
			t.Errorf("silence detected after %v of run time, want at most 1s", silence)
		}
	})
}

// Guards against cutting a slow but sound stream when nothing can continue it: the route
// allows no other attempt, so that the caller would get a broken answer instead of a late
// one.
func TestSilentStreamIsKeptIfNoAttemptCanFollow(t *testing.T) {
	for name, c := range map[string]struct {
		maxAttempts int
		burst       float64
		want        bool
	}{
		"no other attempt": {1, 100, false},
		"no retry budget":  {2, 0, false},
		"another attempt":  {2, 100, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			x := newStreamingExchange()
			x.call.route.MaxAttempts = c.maxAttempts
			x.call.entry.fleet.setBounds(config.Bounds{OldVersionGrace: time.Hour, RetryWindow: time.Millisecond, RetryBurst: c.burst})
			hedged := false
			for range 2 * streamSilenceTimeout / checkInterval {
				time.Sleep(checkInterval)
				hedged = x.isSilent() && x.call.mayHedge()
			}
			if hedged != c.want {
				t.Errorf("%s: isSilent() && mayHedge() = %v after %v, want %v", name, hedged, 2*streamSilenceTimeout, c.want)
			}
		})
	}
}

// Guards against a stalled stream that never counts as silent, since it sends something now
// and then that is no event.
func TestCommentsAreNotActivity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newStreamingExchange()
		silent := false
		for range 2 * streamSilenceTimeout / checkInterval {
			time.Sleep(checkInterval)
			silent = x.isSilent()
			ev, err := readEvent(bufio.NewReader(strings.NewReader(": wait\n\n")), newChunkBuffer(&bufferBudget{}))
			if err != nil {
				t.Fatal(err)
			}
			x.recordEvent(ev)
		}
		if !silent {
			t.Errorf("isSilent() = false after %v of comments, want true", 2*streamSilenceTimeout)
		}
	})
}
