package peers

import (
	"context"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/standin/fleet"
)

// look has a removal look at one entry at removalInterval for a time, as set up by change if it is not nil, and
// returns after how long its record is first due; 0 if it is not.
func (c *removalClock) look(r *removal, duration time.Duration, change func(at time.Duration, e *zoneEntry) (canJudge bool)) time.Duration {
	for at := removalInterval; at <= duration; at += removalInterval {
		c.now = c.now.Add(removalInterval)
		e, canJudge := zoneEntry{member: Member{Machine: "a1", Fingerprint: "run-1"}, position: 7}, true
		if change != nil {
			canJudge = change(at, &e)
		}
		if due := r.due(c.now, []zoneEntry{e}, canJudge); len(due) > 0 {
			return at
		}
	}
	return 0
}

// removalClock is the boot clock of a removal.
type removalClock struct{ now time.Time }

// Guards against records of machines that left for good that stay for ever, and against the removal of those whose machine
// restarts, or of which this process merely hears nothing.
func TestOnlyRecordsOfEntriesThatStaySilentAreRemoved(t *testing.T) {
	const half = removalAge / 2
	for name, test := range map[string]struct {
		change func(at time.Duration, e *zoneEntry) (canJudge bool)
		want   time.Duration
	}{
		"left": {nil, removalAge + removalInterval},
		"heard of at times": {func(at time.Duration, e *zoneEntry) bool {
			e.isHeardOf = at%half == 0
			return true
		}, 0},
		"started again": {func(at time.Duration, e *zoneEntry) bool {
			if at >= half {
				e.member.Fingerprint, e.position = "run-2", 8
			}
			return true
		}, half + removalAge},
		"written again by the same run": {func(at time.Duration, e *zoneEntry) bool {
			if at >= half {
				e.position = 8
			}
			return true
		}, half + removalAge},
		"this process is cut off": {func(at time.Duration, _ *zoneEntry) bool { return at%half != 0 }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c := &removalClock{now: time.Unix(1000, 0)}
			if got := c.look(&removal{}, 2*removalAge-removalInterval, test.change); got != test.want {
				t.Errorf("due after %v, want %v", got, test.want)
			}
		})
	}
}

// Guards against a process that stood still and takes others for gone that it did not hear meanwhile.
func TestStandstillIsNoEvidenceForRemoval(t *testing.T) {
	c, r := &removalClock{now: time.Unix(1000, 0)}, &removal{}
	c.look(r, removalAge-removalInterval, nil)
	c.now = c.now.Add(time.Hour)
	if due := c.look(r, removalAge, nil); due != 0 {
		t.Errorf("removed %v after a standstill, want not before %v", due, removalAge)
	}
}

// Guards against an entry without a link that runs and costs the store a removal and a new record every few
// minutes for good.
func TestRecordThatComesBackIsRemovedLater(t *testing.T) {
	c, r := &removalClock{now: time.Unix(1000, 0)}, &removal{}
	position := int64(7)
	written := func(_ time.Duration, e *zoneEntry) bool {
		e.position = position
		return true
	}
	previous := time.Duration(0)
	for range 3 {
		due := c.look(r, maxRemovalAge, written)
		if due < previous*19/10 || due == 0 {
			t.Errorf("due after %v, and %v the time before: want twice as long", due, previous)
		}
		r.removed("a1")
		position++
		previous = due
	}
}

// Guards against lists of members that grow with each replaced machine: targets are linked to listed entries only, and
// what entries share is divided by their number. Only the first entry of the zone writes, and those that run stay.
func TestRecordsOfEntriesThatLeftAreRemoved(t *testing.T) {
	t.Parallel()
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	const left = 30
	listLeftEntries(t, store, left)
	first, second := startEntry(t, store, "b1", nil), startEntry(t, store, "b2", nil)
	awaitRank(t, first, 0)
	awaitRank(t, second, 1)
	pass := func(p *Peers) {
		var r removal
		now := time.Now()
		for range removalAge/removalInterval + 2 {
			now = now.Add(removalInterval)
			p.removeDue(context.Background(), &r, now)
		}
	}
	pass(second)
	// An entry whose store has not answered a call does not judge others: it removes nothing in that pass.
	for until := time.Now().Add(recoveryBound); first.RemovedCount() != left && time.Now().Before(until); {
		pass(first)
	}
	pass(second)
	if n := second.RemovedCount(); n != 0 {
		t.Errorf("the second entry of the zone removed %d records, want none", n)
	}
	if n := first.RemovedCount(); n != left {
		t.Errorf("the first entry of the zone removed %d records, want %d", n, left)
	}
	listed := func() []Member { return second.Members(link.RoleEntry) }
	for until := time.Now().Add(recoveryBound); len(listed()) != 2 && time.Now().Before(until); {
		time.Sleep(10 * time.Millisecond)
	}
	for i, want := range []contract.MachineID{"b1", "b2"} {
		if list := listed(); len(list) != 2 || list[i].Machine != want {
			t.Fatalf("%d entries are listed, want b1 and b2", len(list))
		}
	}
	if n := first.RewrittenCount() + second.RewrittenCount(); n != 0 {
		t.Errorf("entries that run wrote their records again %d times", n)
	}
}
