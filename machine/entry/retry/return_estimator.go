package retry

import "time"

const (
	// countWindow is the time over which a service's refused and served requests are
	// counted.
	countWindow = time.Second
	// delayPerRefusal is the delay for each refused request per served one: callers return
	// over a time that grows with this ratio.
	delayPerRefusal = 400 * time.Millisecond
	// MinReturnDelay and MaxReturnDelay bound the delay before RetryAfter applies jitter.
	// Callers wait for at most a third of their time limit, which is 2 s of the usual 6 s.
	MinReturnDelay = 150 * time.Millisecond
	MaxReturnDelay = 2 * time.Second
)

// ReturnEstimator estimates when callers that are refused now may be served, from how many
// requests of a service were refused and served lately. If all refused callers returned at
// once to a service that serves one request in ten, most would be refused again.
type ReturnEstimator struct {
	refused, served []time.Time
}

// RecordRefused records that a request was refused.
func (e *ReturnEstimator) RecordRefused(now time.Time) { e.refused = append(e.refused, now) }

// RecordServed records that a request was served.
func (e *ReturnEstimator) RecordServed(now time.Time) { e.served = append(e.served, now) }

// RetryAfter returns after how long a caller that is refused now should retry.
// predictedWait is the predicted time until a target has capacity. jitter, a random number
// in [0, 1), spreads the result over the last quarter of the delay.
func (e *ReturnEstimator) RetryAfter(now time.Time, predictedWait time.Duration, jitter float64) time.Duration {
	e.refused = dropBefore(e.refused, now.Add(-countWindow))
	e.served = dropBefore(e.served, now.Add(-countWindow))
	loadDelay := delayPerRefusal * time.Duration(len(e.refused)) / time.Duration(max(len(e.served), 1))
	delay := min(max(predictedWait, loadDelay, MinReturnDelay), MaxReturnDelay)
	return time.Duration(float64(delay) * (0.75 + jitter/4))
}
