package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/platform"
)

// Guards against requests to an engine of which nothing has been heard for a while (WHOLE, inc2): the process
// stood still, or waits in a call to the engine, and its heartbeats repeated what it knew before.
func TestOldReportServesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newIdleReconciler()
		r.recordReport(reportOf(1, false), true)
		time.Sleep(maxReportAge)
		if r.status().Changing {
			t.Errorf("report of %v ago: Changing = true, want false", maxReportAge)
		}
		time.Sleep(time.Millisecond)
		if !r.status().Changing {
			t.Error("older report: Changing = false, want true")
		}
		r.recordReport(reportOf(1, false), true)
		if r.status().Changing {
			t.Error("new report: Changing = true, want false")
		}
	})
}

// Guards against an engine that is out of use while its pieces are staged or read, which takes long on a slow
// machine: the engine is polled meanwhile, and still gets requests.
func TestReportIsRefreshedWhilePiecesAreStaged(t *testing.T) {
	const pieceTime = 2 * maxReportAge / stagedPieces
	e := newLoadingEngine(t)
	target := newTargetOf(t, e)
	target.reconciler.reconcile(t.Context())
	isServed := true
	slow := func() {
		time.Sleep(pieceTime)
		isServed = isServed && wouldBeSentRequests(target) == 1
	}
	e.onPut = func(int, int) { slow() }
	announce(t, target, 2)
	target.reconciler.stagePieces(t.Context(), target.reconciler.nextCandidate())
	if !isServed {
		t.Errorf("the engine was out of use while its pieces were staged for %v", stagedPieces*pieceTime)
	}
}

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
	r := newIdleReconciler()
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
