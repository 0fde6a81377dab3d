package ejection

import (
	"testing"
	"time"
)

// Guards against silence that is counted while the process stood still.
func TestAwakeLeavesOutAStandstill(t *testing.T) {
	var a RunClock
	now := time.Unix(1000, 0)
	begin := a.Advance(now)
	for range 20 {
		now = now.Add(lookInterval)
		a.Advance(now)
	}
	now = now.Add(10 * time.Second)
	if got := a.Advance(now) - begin; got != 21*lookInterval {
		t.Errorf("ran for %v, want %v", got, 21*lookInterval)
	}
	if got := a.Advance(now) - begin; got != 21*lookInterval {
		t.Errorf("a second look at once: ran for %v", got)
	}
}

// Guards against silence that is never noticed on a busy machine: looks that come a
// little late, or from many places, count in full.
func TestAwakeCountsLooksInFull(t *testing.T) {
	var a RunClock
	now := time.Unix(1000, 0)
	begin := a.Advance(now)
	steps := []time.Duration{time.Microsecond, 7 * time.Millisecond, lookInterval, 80 * time.Millisecond, maxStep}
	total := time.Duration(0)
	for i := range 200 {
		step := steps[i%len(steps)]
		now, total = now.Add(step), total+step
		a.Advance(now)
	}
	if got := a.Advance(now) - begin; got != total {
		t.Errorf("ran for %v, want %v", got, total)
	}
}

// Guards against silence that is never noticed when every look comes late.
func TestAwakeGoesOnWhenEveryLookIsLate(t *testing.T) {
	var a RunClock
	now := time.Unix(1000, 0)
	begin := a.Advance(now)
	for range 10 {
		now = now.Add(time.Second)
		a.Advance(now)
	}
	if got := a.Advance(now) - begin; got != 10*lookInterval {
		t.Errorf("ran for %v, want %v", got, 10*lookInterval)
	}
}
