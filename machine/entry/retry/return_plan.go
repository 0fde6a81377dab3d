package retry

import "time"

// ReturnPlan tells refused callers of a ranked service when to return, so that they find room: each is
// told to return after those of its rank and of more urgent ones that were refused before.
type ReturnPlan struct{ expected []plannedReturn }

// plannedReturn is the return of a refused caller.
type plannedReturn struct {
	at   time.Time
	rank int
}

// RetryAfter returns after how long a caller that is refused now should retry, and counts it as
// expected. predictedWait is the predicted time until one of its rank finds room, perSecond the rate at
// which returning callers do. limit is the longest time that the caller waits. jitter, a random number in [0, 1), spreads the result over the last quarter
// of the delay.
func (p *ReturnPlan) RetryAfter(now time.Time, rank int, predictedWait time.Duration, perSecond float64, limit time.Duration, jitter float64) time.Duration {
	delay := max(predictedWait, MinReturnDelay)
	if n := p.Expected(now, rank); n > 0 {
		delay = MaxReturnDelay
		if perSecond*MaxReturnDelay.Seconds() > float64(n) {
			delay = max(predictedWait+time.Duration(float64(n)/perSecond*float64(time.Second)), MinReturnDelay)
		}
	}
	delay = time.Duration(float64(min(delay, limit, MaxReturnDelay)) * (0.75 + jitter/4))
	p.expected = append(p.expected, plannedReturn{now.Add(delay), rank})
	return delay
}

// Expected returns how many refused callers of a rank or more urgent ones are still to return.
func (p *ReturnPlan) Expected(now time.Time, rank int) int {
	kept, n := p.expected[:0], 0
	for _, e := range p.expected {
		if e.at.Before(now) {
			continue
		}
		kept = append(kept, e)
		if e.rank <= rank {
			n++
		}
	}
	p.expected = kept
	return n
}
