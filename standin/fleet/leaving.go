package fleet

import (
	"net/http"
	"slices"
	"time"
)

// refusalState is what an engine says of requests that it does not want. The mutex of the engine
// guards it.
type refusalState struct {
	// backoff is the Retry-After of the refusals until refuseUntil.
	backoff     string
	refuseUntil time.Time
	// leaving is set if all answers say that the engine leaves.
	leaving bool
	// refusals lists the requests that were turned away with a Retry-After, and words those
	// whose answers said that the engine leaves.
	refusals, words []Arrival
}

// TurnAway has the engine turn all requests away for a time with a Retry-After; an empty one is left
// out.
func (e *Engine) TurnAway(backoff string, d time.Duration) {
	e.withLock(func() { e.refusal.backoff, e.refusal.refuseUntil = backoff, time.Now().Add(d) })
}

// SetLeaving sets whether all answers say that the engine leaves.
func (e *Engine) SetLeaving(on bool) { e.withLock(func() { e.refusal.leaving = on }) }

// Refusals lists the requests that were turned away with a Retry-After, in order.
func (e *Engine) Refusals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.refusal.refusals)
}

// LeavingWords lists the requests whose answers said that the engine leaves, in order.
func (e *Engine) LeavingWords() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.refusal.words)
}

// refuses reports whether a request is to be turned away, and sets the headers of its answer; the
// mutex of the engine must be held.
func (r *refusalState) refuses(h http.Header, a Arrival) bool {
	if r.leaving {
		h.Set("Server-Leaving", "1")
		r.words = append(r.words, a)
	}
	if !time.Now().Before(r.refuseUntil) {
		return false
	}
	if r.backoff != "" {
		h.Set("Retry-After", r.backoff)
		r.refusals = append(r.refusals, a)
	}
	return true
}
