package direct

import (
	"testing"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/platform"
)

// Guards against weights that are proved only after the engine has loaded them, so that it serves nothing for
// longer than it loads: the look is made while it is busy, and its report shows no version.
func TestWeightsAreProvedWhileTheEngineLoads(t *testing.T) {
	e := newLoadingEngine(t)
	e.loadTime = settleTimeout
	target := newTargetOf(t, e)
	target.reconciler.reconcile(t.Context())
	announce(t, target, 2)
	r := target.reconciler
	r.stagePieces(t.Context(), r.nextCandidate())
	r.orderLoad(t.Context(), r.nextCandidate())
	if want := (weightsState{born: 1, orders: 1, version: 2}); r.proof.sound != want || !r.lastReport().Busy {
		t.Errorf("proved %+v while busy = %v, want %+v while busy", r.proof.sound, r.lastReport().Busy, want)
	}
}

// Guards against unproved weights that keep an engine from its next version until its turn in the zone: it
// serves nothing, so it has none to wait for.
func TestUnprovedWeightsAreNotServed(t *testing.T) {
	r := &reconciler{target: &Target{process: &config.Process{Fleet: &config.Fleet{}}}}
	r.recordReport(reportOf(1, false), true)
	if got := r.servedVersion(); got != 1 {
		t.Errorf("servedVersion() = %d, want 1", got)
	}
	report := reportOf(2, false)
	report.Orders = 1
	r.recordReport(report, true)
	if got := r.servedVersion(); got != 0 {
		t.Errorf("after an order: servedVersion() = %d, want 0", got)
	}
	if r.recordReport(platform.Report{Born: 1, Orders: 2}, true); r.isUnproved() {
		t.Error("an engine that holds nothing counts as unproved")
	}
}
