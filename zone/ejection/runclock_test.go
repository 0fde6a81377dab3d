package ejection

import (
	"testing"
	"time"
)

// Guards against counting silence while the process was paused.
func TestRunClockExcludesPause(t *testing.T) {
	var clock RunClock
	now := time.Unix(1000, 0)
	startTime := clock.Advance(now)
	for range 20 {
		now = now.Add(advanceInterval)
		clock.Advance(now)
	}
	now = now.Add(10 * time.Second)
	if got := clock.Advance(now) - startTime; got != 21*advanceInterval {
		t.Errorf("Advance() after a pause: ran for %v, want %v", got, 21*advanceInterval)
	}
	if got := clock.Advance(now) - startTime; got != 21*advanceInterval {
		t.Errorf("second Advance() at the same time: ran for %v, want 1.05s", got)
	}
}

// Guards against silence that goes undetected on a busy host: the time before calls that
// come a little late, or from many places, counts in full.
func TestRunClockCountsShortStepsInFull(t *testing.T) {
	var clock RunClock
	now := time.Unix(1000, 0)
	startTime := clock.Advance(now)
	steps := []time.Duration{time.Microsecond, 7 * time.Millisecond, advanceInterval, 80 * time.Millisecond, maxStep}
	total := time.Duration(0)
	for i := range 200 {
		step := steps[i%len(steps)]
		now, total = now.Add(step), total+step
		clock.Advance(now)
	}
	if got := clock.Advance(now) - startTime; got != total {
		t.Errorf("Advance(): ran for %v, want %v", got, total)
	}
}

// Guards against silence that goes undetected because every call comes late.
func TestRunClockAdvancesWhenEveryCallIsLate(t *testing.T) {
	var clock RunClock
	now := time.Unix(1000, 0)
	startTime := clock.Advance(now)
	for range 10 {
		now = now.Add(time.Second)
		clock.Advance(now)
	}
	if got := clock.Advance(now) - startTime; got != 10*advanceInterval {
		t.Errorf("Advance() with late calls only: ran for %v, want %v", got, 10*advanceInterval)
	}
}
