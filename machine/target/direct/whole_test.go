package direct

import (
	"bytes"
	"testing"
	"time"
)

// stallTime is longer than the process waits for the engine to store a piece.
const stallTime = 2500 * time.Millisecond

// Guards against answers from pieces that turned bad while the order to load them was on its way
// (WHOLE, inc2): the engine accepts the order 4 s after the verification.
func TestOrderThatIsAcceptedLateServesNoBadPieces(t *testing.T) {
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	target.reconciler.reconcile(t.Context())
	e.onOrder = func(n int) {
		if n == 1 {
			e.setStaged(3, []byte("bad"))
		}
	}
	announce(t, target, 2)
	reconcileUntil(t, target, e, 2)
	if e.badLoads != 1 {
		t.Errorf("%d loads of bad pieces, want the one that the test brings about", e.badLoads)
	}
}

// Guards against answers from pieces of two versions (WHOLE, inc2): an order that got no answer is
// accepted while the pieces of the next version are being staged.
func TestOrderWithoutAnswerServesNoPiecesOfTwoVersions(t *testing.T) {
	for name, isReplaced := range map[string]bool{"same process": false, "the process was replaced": true} {
		t.Run(name, func(t *testing.T) {
			e := newLoadingEngine(t)
			target := newTargetOf(t, e)
			target.reconciler.reconcile(t.Context())
			ordered, accept := make(chan struct{}), make(chan struct{})
			e.onOrder = func(n int) {
				if n == 1 {
					close(ordered)
					<-accept
				}
			}
			e.onPut = func(n, _ int) {
				switch n {
				case stagedPieces + stagedPieces/2:
					close(accept)
					awaitOrders(t, e, 1)
				case stagedPieces + stagedPieces/2 + 1:
					// The process gets no answer, and polls the engine before it goes on.
					time.Sleep(stallTime)
				}
			}
			announce(t, target, 2)
			reconcileUntilCalled(t, target, ordered)
			if isReplaced {
				target = newTargetOf(t, e)
				target.reconciler.reconcile(t.Context())
			}
			announce(t, target, 3)
			reconcileUntil(t, target, e, 3)
			if e.badLoads != 1 {
				t.Errorf("%d loads of bad pieces, want the one that the test brings about", e.badLoads)
			}
		})
	}
}

// Guards against answers from pieces of two versions (WHOLE, inc2): a piece whose write got no answer
// is stored after the pieces of the next version have been verified.
func TestLateWriteServesNoPiecesOfTwoVersions(t *testing.T) {
	const heldPiece = 2
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	target.reconciler.reconcile(t.Context())
	release := make(chan struct{})
	e.onPut = func(n, _ int) {
		if n == heldPiece+1 {
			<-release
		}
	}
	e.onOrder = func(n int) {
		if n == 1 {
			close(release)
			awaitStaged(t, e, heldPiece, versionPiece(2, heldPiece))
		}
	}
	announce(t, target, 2)
	target.reconciler.reconcile(t.Context())
	announce(t, target, 3)
	reconcileUntil(t, target, e, 3)
	if e.badLoads != 1 {
		t.Errorf("%d loads of bad pieces, want the one that the test brings about", e.badLoads)
	}
}

// Guards against answers from an engine that lacks pieces (WHOLE, inc2): it loses power and starts
// again between the verification of the staged pieces and the order.
func TestOrderToRestartedEngineServesNoMissingPieces(t *testing.T) {
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	target.reconciler.reconcile(t.Context())
	e.onOrder = func(n int) {
		if n == 1 {
			e.restart()
		}
	}
	announce(t, target, 2)
	reconcileUntil(t, target, e, 2)
	if e.badLoads != 1 {
		t.Errorf("%d loads without pieces, want the one that the test brings about", e.badLoads)
	}
}

// awaitOrders waits until the engine has accepted a number of orders.
func awaitOrders(t *testing.T, e *loadingEngine, n int64) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		orders := e.orders
		e.mu.Unlock()
		if orders >= n {
			return
		}
	}
	t.Error("the engine accepted no order")
}

// awaitStaged waits until a staged piece of the engine is the given one.
func awaitStaged(t *testing.T, e *loadingEngine, i int, want []byte) {
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		e.mu.Lock()
		got := e.staged[i]
		e.mu.Unlock()
		if bytes.Equal(got, want) {
			return
		}
	}
	t.Errorf("piece %d was not staged", i)
}

// reconcileUntilCalled calls reconcile until called is closed and the call has ended.
func reconcileUntilCalled(t *testing.T, target *Target, called <-chan struct{}) {
	t.Helper()
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(tickInterval) {
		target.reconciler.reconcile(t.Context())
		select {
		case <-called:
			return
		default:
		}
	}
	t.Fatal("the engine got no order")
}
