package leaving_test

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/leaving"
	"mimosastand.example/mimosastand/zone/ratelimit"
)

var start = time.Unix(1000, 0)

func listed(keys ...ratelimit.Key) func() map[ratelimit.Key]bool {
	set := map[ratelimit.Key]bool{}
	for _, k := range keys {
		set[k] = true
	}
	return func() map[ratelimit.Key]bool { return set }
}

// The word of a target concerns one incarnation, and nothing takes it back.
func TestLeavingHoldsForIncarnation(t *testing.T) {
	tr, key := leaving.NewTracker(), ratelimit.KeyOf("x", 1)
	if !tr.Observe(start, "x", 1) || tr.Observe(start, "x", 1) {
		t.Error("want the first word to be new, and the second not")
	}
	if !tr.IsLeaving("x", 1) || tr.IsLeaving("x", 2) || tr.IsLeaving("y", 1) {
		t.Error("want the incarnation that said it to be leaving, and no other")
	}
	now := start
	for range 10 {
		now = now.Add(time.Minute)
		tr.Prune(now, listed(key))
	}
	if !tr.IsLeaving("x", 1) {
		t.Error("a target that is listed for long is forgotten")
	}
	tr.Prune(now.Add(30*time.Second), listed())
	if !tr.IsLeaving("x", 1) {
		t.Error("a target that is not listed for 30 s is forgotten")
	}
	tr.Prune(now.Add(2*time.Minute), listed())
	if tr.IsLeaving("x", 1) {
		t.Error("a target that is gone is remembered")
	}
}

// Entries tell each other, and stop when the target is gone.
func TestEntriesTellEachOther(t *testing.T) {
	a, b := leaving.NewTracker(), leaving.NewTracker()
	a.Observe(start, "x", 1)
	if n := b.ApplyReports(start, a.Reports(start)); n != 1 || !b.IsLeaving("x", 1) {
		t.Errorf("%d new targets, want 1", n)
	}
	now := start
	for range 300 {
		now = now.Add(time.Second)
		for _, tr := range []*leaving.Tracker{a, b} {
			tr.Prune(now, listed())
		}
		a.ApplyReports(now, b.Reports(now))
		b.ApplyReports(now, a.Reports(now))
	}
	if a.IsLeaving("x", 1) || b.IsLeaving("x", 1) {
		t.Error("entries remind each other of a target that is gone")
	}
}

func TestReportsAreBounded(t *testing.T) {
	tr := leaving.NewTracker()
	for born := range int64(100_000) {
		tr.Observe(start, "x", born)
	}
	if n := len(tr.Reports(start)); n > 128 {
		t.Errorf("%d targets in a report, want at most 128", n)
	}
}

// Guards against targets of which the other entries never hear since the same ones fill each report.
func TestReportsNameNewestFirst(t *testing.T) {
	a, b := leaving.NewTracker(), leaving.NewTracker()
	now := start
	for born := range int64(1000) {
		now = now.Add(10 * time.Millisecond)
		a.Observe(now, "x", born)
		if born%25 == 24 {
			b.ApplyReports(now, a.Reports(now))
		}
	}
	for born := range int64(1000) {
		if !b.IsLeaving("x", born) {
			t.Fatalf("the other entry does not know of target %d", born)
		}
	}
}
