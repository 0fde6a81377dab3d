package balancer

import "time"

// Limits of live work between regions.
const (
	// LinkBytesPerSecond is the capacity of a link between regions one way.
	LinkBytesPerSecond = 26_000_000 / 8
	// LiveShare is the part of it that spilled live work may take.
	SpillShare = 0.5
	// spillBurst is how much of the budget may be spent at once.
	spillBurst = 2 * time.Second
)

// spillBudget is a token bucket in bytes.
type spillBudget struct {
	perSecond float64
	level     float64
	last      time.Time
}

// setPeers divides the live share among the entries of a region.
func (b *spillBudget) setPeers(entries int) {
	first := b.perSecond == 0
	b.perSecond = LinkBytesPerSecond * SpillShare / float64(max(entries, 1))
	if first {
		b.level = b.burst()
	}
}

func (b *spillBudget) burst() float64 {
	return b.perSecond * spillBurst.Seconds()
}

func (b *spillBudget) refill(now time.Time) {
	if !b.last.IsZero() && now.After(b.last) {
		b.level += b.perSecond * now.Sub(b.last).Seconds()
	}
	b.last = now
	b.level = min(b.level, b.burst())
}

// allows reports whether the budget can pay for any work now. A single large
// request may overdraw it, and is paid off before the next.
func (b *spillBudget) allows(now time.Time) bool {
	b.refill(now)
	return b.level > 0
}

func (b *spillBudget) take(bytes int) {
	b.level -= float64(bytes)
}
