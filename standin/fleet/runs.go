package fleet

import "time"

// Run describes a run of an attempt: the version of the weights it runs with and when it
// started.
type Run struct {
	AttemptID string
	Version   int64
	StartedAt time.Time
}

// RunCount returns how often an attempt has run.
func (e *Engine) RunCount(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[attempt]
}

// TotalRuns returns the number of runs of all attempts.
func (e *Engine) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runCounts {
		n += r
	}
	return n
}

// RunLog lists all runs in the order of their start.
func (e *Engine) RunLog() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runLog...)
}
