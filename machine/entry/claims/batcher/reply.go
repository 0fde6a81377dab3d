package batcher

import (
	"time"

	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// firstBackoff is half of the interval after a first refusal.
const firstBackoff = 10 * time.Millisecond

// Done takes the end of the append in flight.
func (b *Batcher) OnAppendResult(now time.Time, seq uint64, status Status) {
	if b.sealed == nil || b.sealed.Seq != seq {
		return
	}
	b.inFlight = false
	switch status {
	case Appended:
		b.stats.Appended++
		b.succeed()
		return
	case Throttled:
		b.stats.Throttled++
	case Unavailable:
		b.stats.Unavailable++
	default:
		b.stats.Uncertain++
		b.unsure = b.off&keepSealed == 0
	}
	b.dissolve()
	b.backOff(now)
}

// Seen takes a batch of this writer that was read from the log.
func (b *Batcher) OnReadBack(seq uint64) {
	if b.sealed != nil && b.sealed.Seq == seq {
		b.succeed()
	}
}

func (b *Batcher) succeed() {
	const shrink = 0.8
	b.stats.Items += uint64(len(b.sealed.Items))
	b.sealed = nil
	b.inFlight = false
	b.backoff = time.Duration(float64(b.backoff) * shrink)
}

// dissolve returns the items of the sealed batch to those that wait, unless a
// reply to it was lost: then it may be in the log.
func (b *Batcher) dissolve() {
	if b.unsure {
		return
	}
	for _, it := range b.sealed.Items {
		if it.Kind != ledger.KindOutcome {
			b.claims++
		}
	}
	b.pending = append(b.sealed.Items, b.pending...)
	b.sealed = nil
	b.seq--
}

// backOff doubles the interval and spreads the next try over half of it.
func (b *Batcher) backOff(now time.Time) {
	if b.off&adaptInterval == 0 {
		b.backoff = min(2*max(b.backoff, firstBackoff), b.config.MaxInterval)
	}
	half := b.interval(now) / 2
	b.due = now.Add(half + time.Duration(b.rng.Int64N(int64(half)+1)))
}
