package batcher

import (
	"time"

	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// initialBackoff is half of the interval after a first refusal.
const initialBackoff = 10 * time.Millisecond

// OnAppendResult handles the result of the append in flight.
func (b *Batcher) OnAppendResult(now time.Time, seq uint64, status Status) {
	if b.sealed == nil || b.sealed.Seq != seq {
		return
	}
	b.inFlight = false
	switch status {
	case Appended:
		b.stats.Appended++
		b.completeBatch()
		return
	case Throttled:
		b.stats.Throttled++
	case Unavailable:
		b.stats.Unavailable++
	default:
		b.stats.Uncertain++
		b.replyLost = b.disabled&keepUncertainBatch == 0
	}
	b.requeueBatch()
	b.backOff(now)
}

// OnReadBack handles a batch of this writer that was read from the log.
func (b *Batcher) OnReadBack(seq uint64) {
	if b.sealed != nil && b.sealed.Seq == seq {
		b.completeBatch()
	}
}

func (b *Batcher) completeBatch() {
	const shrink = 0.8
	b.stats.Items += uint64(len(b.sealed.Items))
	b.sealed = nil
	b.inFlight = false
	b.backoffInterval = time.Duration(float64(b.backoffInterval) * shrink)
}

// requeueBatch returns the items of the sealed batch to the queue, unless a reply to the
// batch was lost and it may therefore be in the log.
func (b *Batcher) requeueBatch() {
	if b.replyLost {
		return
	}
	for _, it := range b.sealed.Items {
		if it.Kind != ledger.KindOutcome {
			b.pendingClaims++
		}
	}
	b.pending = append(b.sealed.Items, b.pending...)
	b.sealed = nil
	b.seq--
}

// backOff doubles the interval and delays the next append by a random time between half
// of the interval and all of it.
func (b *Batcher) backOff(now time.Time) {
	if b.disabled&adaptInterval == 0 {
		b.backoffInterval = min(2*max(b.backoffInterval, initialBackoff), b.config.MaxInterval)
	}
	half := b.interval(now) / 2
	b.nextAppend = now.Add(half + time.Duration(b.rng.Int64N(int64(half)+1)))
}
