package retry

import "time"

const (
	// comebackWindow is the span over which a service's ends are counted.
	comebackWindow = time.Second
	// Callers refused now come back over a span that grows with the number refused
	// for each one served.
	comebackStep = 400 * time.Millisecond
	// MinComeback and MaxComeback bound what After returns. Callers wait for a third
	// of their time at most, which is 2 s of the usual 6 s.
	MinReturnDelay = 150 * time.Millisecond
	MaxReturnDelay = 2 * time.Second
)

// Comeback estimates when callers that are refused now may be served, from how
// many were refused and served lately: callers that all come back to a service
// which serves one in ten would be refused again.
type ReturnEstimator struct {
	refused, served []time.Time
}

// Refused records a refusal.
func (c *ReturnEstimator) RecordRefused(now time.Time) { c.refused = append(c.refused, now) }

// Served records an answer.
func (c *ReturnEstimator) RecordServed(now time.Time) { c.served = append(c.served, now) }

// After is when a caller that is refused now should come back. room is when a
// target is expected to have room; chance, in [0, 1), spreads the callers.
func (c *ReturnEstimator) RetryAfter(now time.Time, room time.Duration, chance float64) time.Duration {
	c.refused = since(c.refused, now.Add(-comebackWindow))
	c.served = since(c.served, now.Add(-comebackWindow))
	crowd := comebackStep * time.Duration(len(c.refused)) / time.Duration(max(len(c.served), 1))
	wait := min(max(room, crowd, MinReturnDelay), MaxReturnDelay)
	return time.Duration(float64(wait) * (0.75 + chance/4))
}
