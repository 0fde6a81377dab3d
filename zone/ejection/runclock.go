package ejection

import "time"

const (
	// advanceInterval is the approximate time between two calls of Advance while the
	// process runs.
	advanceInterval = 50 * time.Millisecond
	// maxStep is the longest time between two calls of Advance that counts in full.
	maxStep = 2 * advanceInterval
)

// RunClock measures how long the process has been running. It excludes pauses of the
// process, during which it receives nothing, so that they are not mistaken for the
// silence of other processes. The zero value is ready to use.
type RunClock struct {
	elapsed time.Duration
	last    time.Time
}

// Advance returns how long the process has been running since an arbitrary start. It
// must be called at least once per advanceInterval. The time since the previous call
// counts as advanceInterval if it is longer than maxStep.
func (c *RunClock) Advance(now time.Time) time.Duration {
	if !c.last.IsZero() {
		c.elapsed += countedStep(now.Sub(c.last))
	}
	c.last = now
	return c.elapsed
}

// countedStep returns how much of the time between two calls of Advance counts.
func countedStep(step time.Duration) time.Duration {
	if step > maxStep {
		return advanceInterval
	}
	return max(step, 0)
}
