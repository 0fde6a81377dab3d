// Package backoff computes the delays between the retries of a failed operation.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff with jitter. Fields that are zero have their defaults.
type Policy struct {
	// Base bounds the delay after the first failure.
	Base time.Duration
	// Max bounds the delay after any number of failures.
	Max time.Duration
}

const (
	defaultBase = 100 * time.Millisecond
	defaultMax  = 5 * time.Second
	// growth is the factor by which the bound of the delay grows with each failure.
	growth = 2
)

// Delay returns the time to wait after the given number of failures in a row, from 1. It
// is drawn uniformly from the upper half of the range up to the exponential bound, so
// that many callers that failed at the same time do not retry at the same time.
func (p Policy) Delay(failures int, rnd *rand.Rand) time.Duration {
	bound := p.Base
	if bound <= 0 {
		bound = defaultBase
	}
	limit := p.Max
	if limit <= 0 {
		limit = defaultMax
	}
	for i := 1; i < failures && bound < limit; i++ {
		bound *= growth
	}
	bound = min(bound, limit)
	half := bound / 2
	return half + time.Duration(rnd.Int64N(int64(half)+1))
}
