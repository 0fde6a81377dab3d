package fleet

import (
	"testing"
	"time"

	standins "mimosastand.example/mimosastand/standin/fleet"
)

// reportInterval is the interval at which the platform's targets report to its store, and briefLoss a time
// for which an entry loses the store, too short for any of their entries to lapse.
const (
	reportInterval = 1200 * time.Millisecond
	briefLoss      = 600 * time.Millisecond
)

// Guards against requests to a target that left the list without a word while one entry failed to read
// the store for a moment (DRAIN, incident inc1-drain): its entry counted as one that had lapsed with the
// store, and was kept for another two seconds.
func TestTargetRemovedWhileStoreIsLostBrieflyGetsNoRequests(t *testing.T) {
	r := newRig(t)
	access := r.store.NewAccessPoint()
	defer access.Close()
	e, _ := r.startEntry("entry-1", access.Address())
	target := r.plain[0]
	r.sendLooks(e, 3*time.Second, 10*time.Millisecond)
	access.SetDown(true)
	time.Sleep(briefLoss / 3)
	r.store.Put(standins.TopicTargets, target.ID, "")
	removedAt := time.Now()
	time.Sleep(briefLoss * 2 / 3)
	access.SetDown(false)
	if failed := r.sendLooks(e, drainBound+2*time.Second, 10*time.Millisecond); len(failed) > 0 {
		t.Errorf("%d requests failed although another target has room, the first with status %d", len(failed), failed[0].status)
	}
	if n := arrivalsBetween(target, removedAt.Add(drainBound), time.Now()); n > 0 {
		t.Errorf("%d requests reached the target later than %v after it had left the list, want 0", n, drainBound)
	}
}
