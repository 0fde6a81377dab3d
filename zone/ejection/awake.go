package ejection

import "time"

const (
	// lookInterval is about the time between two looks at a process that runs.
	lookInterval = 50 * time.Millisecond
	// maxStep is the longest time between two looks that counts in full.
	maxStep = 2 * lookInterval
)

// Awake measures for how long a process has run, so that a time in which it stood still
// and heard nothing is not taken for the silence of others. The zero value is ready.
type RunClock struct {
	ran  time.Duration
	last time.Time
}

// Look returns for how long the process has run, since an arbitrary start. It is to be
// called every lookInterval at least; a look that comes later than maxStep counts as
// one that came in time.
func (a *RunClock) Advance(now time.Time) time.Duration {
	if !a.last.IsZero() {
		a.ran += counted(now.Sub(a.last))
	}
	a.last = now
	return a.ran
}

func counted(step time.Duration) time.Duration {
	if step > maxStep {
		return lookInterval
	}
	return max(step, 0)
}
