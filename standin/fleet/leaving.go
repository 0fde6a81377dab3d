package fleet

import (
	"net/http"
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
	// refusals lists when requests were turned away with a Retry-After.
	refusals []time.Time
}

// TurnAway has the engine turn all requests away for a time with a Retry-After; an empty one is left
// out.
func (e *Engine) TurnAway(backoff string, d time.Duration) {
	e.withLock(func() { e.refusal.backoff, e.refusal.refuseUntil = backoff, time.Now().Add(d) })
}

// SetLeaving sets whether all answers say that the engine leaves.
func (e *Engine) SetLeaving(on bool) { e.withLock(func() { e.refusal.leaving = on }) }

// Refusals lists when requests were turned away with a Retry-After.
func (e *Engine) Refusals() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.refusal.refusals...)
}

// refuses reports whether a request is to be turned away, and sets the headers of its answer; the
// mutex of the engine must be held.
func (r *refusalState) refuses(h http.Header) bool {
	if r.leaving {
		h.Set("Server-Leaving", "1")
	}
	if !time.Now().Before(r.refuseUntil) {
		return false
	}
	if r.backoff != "" {
		h.Set("Retry-After", r.backoff)
		r.refusals = append(r.refusals, time.Now())
	}
	return true
}
