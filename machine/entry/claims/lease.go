package claims

import "time"

// Lease is the time in which the holder of a key may send attempts.
type Lease struct {
	startedAt time.Time
	timeout   time.Duration
}

// NewLease starts the lease of a decision to run. now is the time of the decision.
func NewLease(d Decision, now time.Time) Lease {
	return Lease{startedAt: now, timeout: d.StartTimeout}
}

// MayStart reports whether an attempt may still be sent. It uses the longer of the
// monotonic and the wall-clock time, because the monotonic clock stops while a machine is
// suspended.
func (l Lease) MayStart(now time.Time) bool {
	monotonic := now.Sub(l.startedAt)
	wall := now.Round(0).Sub(l.startedAt.Round(0))
	return max(monotonic, wall) < l.timeout
}
