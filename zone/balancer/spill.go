package balancer

import "time"

// Limits on requests that spill over to other regions.
const (
	// LinkBytesPerSecond is the capacity of a link between regions in one direction.
	LinkBytesPerSecond = 26_000_000 / 8
	// SpillShare is the share of that capacity that spilled requests may use.
	SpillShare = 0.5
	// spillBurst bounds the budget that may be spent at once: what accrues in this time.
	spillBurst = 2 * time.Second
)

// spillBudget is a token bucket in bytes.
type spillBudget struct {
	perSecond  float64
	available  float64
	lastRefill time.Time
}

// setEntryCount divides the capacity for spilled requests among the entries of a region.
func (b *spillBudget) setEntryCount(entries int) {
	initial := b.perSecond == 0
	b.perSecond = LinkBytesPerSecond * SpillShare / float64(max(entries, 1))
	if initial {
		b.available = b.burst()
	}
}

// burst returns the capacity of the bucket.
func (b *spillBudget) burst() float64 {
	return b.perSecond * spillBurst.Seconds()
}

// refill adds the tokens that have accrued since the last call.
func (b *spillBudget) refill(now time.Time) {
	if !b.lastRefill.IsZero() && now.After(b.lastRefill) {
		b.available += b.perSecond * now.Sub(b.lastRefill).Seconds()
	}
	b.lastRefill = now
	b.available = min(b.available, b.burst())
}

// allows reports whether a request may be sent now. A single large request may overdraw
// the budget; no other is allowed until it is positive again.
func (b *spillBudget) allows(now time.Time) bool {
	b.refill(now)
	return b.available > 0
}

// spend removes tokens for a request that was sent.
func (b *spillBudget) spend(bytes int) {
	b.available -= float64(bytes)
}
