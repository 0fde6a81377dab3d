package direct

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// freezeTime is for how long the process stands still in these tests.
const freezeTime = 4 * time.Second

// testClock is the boot time of a process. onRead is called before the process reads it.
type testClock struct {
	onRead func()
	passed atomic.Int64
}

func (c *testClock) read() time.Duration {
	if c.onRead != nil {
		c.onRead()
	}
	return c.now()
}

func (c *testClock) now() time.Duration { return time.Duration(c.passed.Load()) }

func (c *testClock) advance(d time.Duration) { c.passed.Add(int64(d)) }

// newOrderingReconciler returns the reconciler beside an engine at which the pieces of version 2 are
// staged, and that version.
func newOrderingReconciler(t *testing.T, e *loadingEngine, clock *testClock) (*reconciler, *candidate) {
	target := newTargetOf(t, e)
	announce(t, target, 2)
	r := target.reconciler
	r.bootTime = clock.read
	r.pollEngine(t.Context())
	c := r.nextCandidate()
	r.stagePieces(t.Context(), c)
	return r, c
}

// Guards against tokens made with pieces that turned bad after their verification (WHOLE): the
// process stands still before the engine accepts the order to load.
func TestPiecesAreVerifiedAgainAfterFreeze(t *testing.T) {
	for name, c := range map[string]struct {
		// readsBefore is the number of pieces that have been read when the process stands still.
		readsBefore int
		hook        func(*loadingEngine, *testClock, func(reads int))
	}{
		"while the pieces are read": {stagedPieces - 2, func(e *loadingEngine, _ *testClock, f func(int)) { e.onRead = f }},
		// After the last piece the clock is read for the engine's report, and then for the order.
		"while the order is connected": {stagedPieces, func(e *loadingEngine, clock *testClock, f func(int)) {
			isReported := false
			clock.onRead = func() {
				reads := e.readCount()
				if reads == stagedPieces && !isReported {
					isReported = true
					return
				}
				f(reads)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e, clock := newLoadingEngine(t), &testClock{}
			var once sync.Once
			c.hook(e, clock, func(reads int) {
				if reads == c.readsBefore {
					once.Do(func() {
						clock.advance(freezeTime)
						e.setStaged(1, []byte("bad"))
						e.setStaged(3, []byte("bad"))
					})
				}
			})
			r, candidate := newOrderingReconciler(t, e, clock)
			r.orderLoad(t.Context(), candidate)
			if e.loads != 1 || e.badLoads > 0 {
				t.Errorf("%d loads, %d of bad pieces %v, want 1 load and none", e.loads, e.badLoads, e.bad)
			}
			if clock.now() != freezeTime {
				t.Errorf("the process stood still for %v, want %v", clock.now(), freezeTime)
			}
		})
	}
}

// Guards against an order on an expired verification (WHOLE) where each verification takes too
// long: no order is sent, and the next call tries again.
func TestNoOrderWithoutRecentVerification(t *testing.T) {
	e, clock := newLoadingEngine(t), &testClock{}
	var isQuick atomic.Bool
	e.onRead = func(int) {
		if !isQuick.Load() {
			clock.advance(maxVerificationAge / (stagedPieces - 1))
		}
	}
	r, c := newOrderingReconciler(t, e, clock)
	r.orderLoad(t.Context(), c)
	if want := maxVerifications * stagedPieces; e.orders != 0 || e.reads != want {
		t.Errorf("%d orders after %d reads, want none after %d", e.orders, e.reads, want)
	}
	isQuick.Store(true)
	r.orderLoad(t.Context(), c)
	if e.orders != 1 {
		t.Errorf("%d orders once verification is quick again, want 1", e.orders)
	}
}
