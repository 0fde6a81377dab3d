package fleet

import (
	"testing"
	"time"
)

// drainBound is the time after an entry has passed on the word of a target that leaves in which
// requests may still reach that target: the least that the platform sets.
const drainBound = 2 * time.Second

// Guards against requests to a target that says in its answers that it leaves while the list still
// has it as ready (DRAIN): nothing read it.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	r := newRig(t)
	first := r.startEntryWithRetryBurst("entry-1", r.store.Address())
	second, _ := r.startEntry("entry-2", r.store.Address())
	target := r.plain[0]
	target.SetLeaving(true)
	before := len(target.Arrivals())
	r.eventually("an answer of the target that leaves", func() bool {
		r.sendLooks(first, 20*time.Millisecond, 10*time.Millisecond)
		return len(target.Arrivals()) > before
	})
	saidAt := time.Now()
	if failed := r.sendLooks(first, drainBound, 10*time.Millisecond); len(failed) > 0 {
		t.Errorf("%d requests failed although another target has room, the first with status %d", len(failed), failed[0].status)
	}
	if n := arrivalsBetween(target, saidAt, time.Now()); n > 0 {
		t.Errorf("%d requests reached the target from the entry to which it said that it leaves, want 0", n)
	}
	toldAt := time.Now()
	if failed := r.sendLooks(second, time.Second, 10*time.Millisecond); len(failed) > 0 {
		t.Errorf("%d requests to the other entry failed, the first with status %d", len(failed), failed[0].status)
	}
	if n := arrivalsBetween(target, toldAt, time.Now()); n > 0 {
		t.Errorf("%d requests reached the target from an entry that its peer has told, want 0", n)
	}
	// What starts at the same address is another incarnation.
	target.SetLeaving(false)
	target.Crash()
	r.eventually("requests to the new incarnation", func() bool {
		from := time.Now()
		r.sendLooks(first, 100*time.Millisecond, 10*time.Millisecond)
		return arrivalsBetween(target, from, time.Now()) > 0
	})
}
