package direct

import "testing"

// Guards against an engine that stays out of use although its weights are sound: another order than the one
// of this process, such as an earlier one without an answer, has loaded the version that it wanted, so that
// its own order was refused and none follows.
func TestEngineServesVersionThatOtherOrderLoaded(t *testing.T) {
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	target.reconciler.reconcile(t.Context())
	e.onOrder = func(n int) {
		if n == 1 {
			e.mu.Lock()
			e.accept(2, testLayers)
			e.mu.Unlock()
		}
	}
	announce(t, target, 2)
	reconcileUntil(t, target, e, 2)
}
