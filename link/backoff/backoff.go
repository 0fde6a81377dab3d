// Package backoff computes how long to wait between tries of one kind.
package backoff

import (
	"math/rand/v2"
	"time"
)

// Policy is an exponential backoff with jitter. Zero fields take their defaults.
type Policy struct {
	// Base is the wait after the first failure.
	Base time.Duration
	// Max bounds the wait.
	Max time.Duration
}

const (
	defaultBase = 100 * time.Millisecond
	defaultMax  = 5 * time.Second
	// growth is the factor between two waits.
	growth = 2
)

// Wait returns the wait after the given number of failures in a row, from 1.
// It is drawn evenly from the upper half of the exponential bound, so that many
// callers that failed together do not come back together.
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
