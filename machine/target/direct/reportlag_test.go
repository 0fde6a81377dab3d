package direct

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/platform"
)

// testReportLag is how old the engine's report is in these tests.
const testReportLag = 300 * time.Millisecond

// Guards against answers from unsound weights (WHOLE, inc2): an engine accepts an order without an answer late,
// and shows it in its report later still, when a bad piece has been staged again.
func TestLaggingReportProvesNothing(t *testing.T) {
	for name, holdsVersion := range map[string]bool{"engine with weights": true, "engine without weights": false} {
		t.Run(name, func(t *testing.T) {
			e := newLoadingEngine(t)
			if !holdsVersion {
				e.restart()
			}
			time.Sleep(testReportLag)
			e.reportLag = testReportLag
			target := newTargetOf(t, e)
			target.reconciler.reconcile(t.Context())
			e.onOrder = func(n int) {
				if n == 1 {
					e.setStaged(3, []byte("bad"))
					// The process repeats the order, or makes it void, a little later.
					time.Sleep(platform.OrderTimeout + orderReportLag - testReportLag/2)
				}
			}
			announce(t, target, 2)
			reconcileUntil(t, target, e, 2)
		})
	}
}

// Guards against sound weights that are given up (inc2): the next version was staged over their pieces before the
// engine's report showed the order, and so before they were proved.
func TestNextVersionIsNotStagedBeforeTheProof(t *testing.T) {
	e := newLoadingEngine(t)
	time.Sleep(testReportLag)
	e.reportLag, e.loadTime = testReportLag, time.Second
	target := newTargetOf(t, e)
	r := target.reconciler
	r.reconcile(t.Context())
	announce(t, target, 2)
	r.stagePieces(t.Context(), r.nextCandidate())
	r.orderLoad(t.Context(), r.nextCandidate())
	announce(t, target, 3)
	for end := time.Now().Add(2 * testReportLag); time.Now().Before(end); time.Sleep(tickInterval) {
		r.reconcile(t.Context())
		if r.proof.unsound.version == 2 {
			t.Fatal("sound weights of version 2 count as unsound")
		}
	}
	if r.proof.sound.version != 2 {
		t.Errorf("proved %+v, want version 2", r.proof.sound)
	}
}
