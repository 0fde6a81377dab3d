package direct

import (
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// newWaitingPair returns a request for a stream with one attempt, which has not begun at a target
// that holds a version.
func newWaitingPair(fs *fleetState, version int64) *attemptPair {
	c := &call{
		entry: &Entry{fleet: fs, checks: newCheckLoop(fs), meters: newMeters(tally.NoopScope)}, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
		route: &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2}, deadline: time.Now().Add(time.Hour),
	}
	p := &attemptPair{call: c, current: newExchange(c, placement.Choice{ID: "target-1", Version: version}), checks: make(chan struct{}, 1)}
	p.watched.Store(p.current)
	return p
}

// signals counts how often a request is told to look at its attempts within a time.
func signals(p *attemptPair, within time.Duration) int {
	count := 0
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(checkInterval) {
		select {
		case <-p.checks:
			count++
		default:
		}
	}
	return count
}

// Guards against a process that is woken by each of its requests at every interval although all of
// them go on: only a request whose target is silent looks at its attempt.
func TestOnlySilentAttemptsAreLookedAt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newStartedState(time.Hour, 3)
		p := newWaitingPair(fs, 3)
		checks := p.call.entry.checks
		checks.watch(p)
		// The signals come between two looks.
		time.Sleep(checkInterval / 2)
		p.current.recordActivity()
		if got := signals(p, targetSilenceTimeout); got != 0 {
			t.Errorf("%d signals within the time that a target may be silent, want none", got)
		}
		p.current.recordActivity()
		if got := signals(p, targetSilenceTimeout); got != 0 {
			t.Errorf("%d signals after an event, want none", got)
		}
		if got := signals(p, time.Second); got < 18 {
			t.Errorf("%d signals in a second of silence, want one each %v", got, checkInterval)
		}
		checks.unwatch(p)
		time.Sleep(2 * checkInterval)
		synctest.Wait()
		if checks.isRunning {
			t.Error("the loop runs without a request, want it ended")
		}
	})
}

// Guards against work that begins on a version past its bound: a request that waits at a target is
// given up before that, if it may be sent elsewhere.
func TestWaitingAttemptIsGivenUpWhenVersionEnds(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*attemptPair)
		want   breakage
	}{
		"waiting":               {func(*attemptPair) {}, breakageOutdated},
		"begun":                 {func(p *attemptPair) { p.current.begunAt = time.Now() }, ""},
		"may run once only":     {func(p *attemptPair) { p.call.route = &catalog.Route{Kind: catalog.NonIdempotent} }, ""},
		"goes on with a stream": {func(p *attemptPair) { p.current.pinned = 2 }, breakageOutdated},
		"newest version":        {func(p *attemptPair) { p.current.choice.Version = 3 }, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			const bound = 8 * time.Second
			fs := newStartedState(bound, 2)
			time.Sleep(bound)
			fs.applyOperatorRecords(announcementOf(3))
			p := newWaitingPair(fs, 2)
			c.change(p)
			time.Sleep(bound - time.Second)
			if got := p.giveUpReason(); got != "" {
				t.Errorf("%s: giveUpReason() = %q a second before the bound, want none", name, got)
			}
			time.Sleep(time.Second)
			if got := p.giveUpReason(); got != c.want {
				t.Errorf("%s: giveUpReason() = %q at the bound, want %q", name, got, c.want)
			}
		})
	}
}

// Guards against a request that begins at a target after its version's bound: its connection is
// reset, so that the target drops it.
func TestTargetOfOutdatedAttemptSeesItsEnd(t *testing.T) {
	const bound = 1200 * time.Millisecond
	reads := make(chan error, 1)
	address := connTarget(t, func(conn net.Conn, _ *http.Request) {
		_, err := conn.Read(make([]byte, 1))
		reads <- err
	})
	c, _, _ := newHedgingCall(t, address)
	bounds := c.entry.fleet.bounds
	bounds.OldVersionGrace = bound
	c.entry.fleet.setBounds(bounds)
	c.entry.fleet.applyOperatorRecords(announcementOf(2))
	start := time.Now()
	outcome, _ := c.runAttempts(t.Context(), placement.Choice{ID: "target-0", Address: address, Version: 1})
	if took := time.Since(start); outcome != attempts.Lost || c.record.breakage != breakageOutdated || took > bound {
		t.Errorf("attempt ended with %v, %q after %v; want Lost, %q before %v", outcome, c.record.breakage, took, breakageOutdated, bound)
	}
	if err := <-reads; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target's read ended with %v, want a reset", err)
	}
}

// Guards against a hedge that begins on weights that are too old (VERSION): it waited at its target past the bound of
// its version while the first attempt, at a target with newer weights, had not begun either.
func TestWaitingHedgeIsGivenUpWhenVersionEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		fs := newStartedState(bound, 2)
		time.Sleep(bound)
		fs.applyOperatorRecords(announcementOf(3))
		p := newWaitingPair(fs, 3)
		p.setHedge(newExchange(p.call, placement.Choice{ID: "target-2", Version: 2}))
		p.giveUpOutdatedHedge()
		if p.hedge == nil || p.mayNeedCheck(fs.checkBasis()) {
			t.Error("the hedge is looked at or given up within the bound, want it to go on")
		}
		time.Sleep(bound)
		if !p.mayNeedCheck(fs.checkBasis()) {
			t.Error("nobody looks at the hedge at the bound")
		}
		p.giveUpOutdatedHedge()
		if p.hedge != nil {
			t.Error("the hedge goes on at the bound, want it given up")
		}
	})
}

// Guards against a cut answer that is taken for a whole one (ORDER, MIXED): the process stood still just after a request had
// begun, before the loop that notices standstills ran for the first time.
func TestStandstillBeforeLoopRunsIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asleep := time.Duration(0)
		fs := newStateWithClock(config.Bounds{}, func() time.Time { return time.Now().Add(asleep) })
		p := newWaitingPair(fs, 0)
		time.Sleep(time.Hour)
		began := time.Now()
		p.call.entry.checks.watch(p)
		asleep = 3 * time.Second
		synctest.Wait()
		if got := fs.standstills.Observe().EndedAt; got.Before(began) {
			t.Errorf("last standstill at %v, want one since the request began", got)
		}
		p.call.entry.checks.unwatch(p)
		time.Sleep(2 * checkInterval)
	})
}
