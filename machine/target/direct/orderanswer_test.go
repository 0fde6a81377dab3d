package direct

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/platform"
)

// Guards against an engine that stays out of use because the order to load got no answer, though the engine
// accepted it and has loaded sound weights.
func TestEngineServesAfterOrderWithoutAnswer(t *testing.T) {
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	target.reconciler.reconcile(t.Context())
	e.beforeAnswer = func() { time.Sleep(platform.OrderTimeout + 100*time.Millisecond) }
	announce(t, target, 2)
	reconcileUntil(t, target, e, 2)
}
