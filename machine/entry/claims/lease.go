package claims

import "time"

// Lease bounds the time in which the holder of a key may send attempts.
type Lease struct {
	from   time.Time
	within time.Duration
}

// NewLease starts the lease of a decision to run, at the time of the decision.
func NewLease(d Decision, now time.Time) Lease {
	return Lease{from: now, within: d.StartTimeout}
}

// MayStart reports whether an attempt may still be sent. It goes by the longer
// of the monotonic and the wall-clock time, because the monotonic clock stands
// still while a machine is suspended.
func (l Lease) MayStart(now time.Time) bool {
	monotonic := now.Sub(l.from)
	wall := now.Round(0).Sub(l.from.Round(0))
	return max(monotonic, wall) < l.within
}
