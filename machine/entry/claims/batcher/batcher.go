// Package batcher combines many items of the claims stream into few appends to the
// platform's log.
//
// A Batcher has at most one append in flight. The interval between its appends depends on
// the rate at which all writers append, which each writer observes while it reads the
// stream. The interval is minimal while the rate is below half of the log's maximum
// append rate. It then grows with the rate, up to the interval at which this writer uses
// its fair share of the maximum. Refused appends and lost replies lengthen the interval,
// and successful appends shorten it again. The first item after a pause is appended at
// once.
//
// A batch whose reply is lost may be in the log. It is sent again unchanged, with the
// same sequence number, until it is known to be in the log; readers ignore the copies.
// The items of a batch that certainly is not in the log are queued again, and can be
// withdrawn.
//
// The package does no I/O, starts no goroutines and does not read the clock: each call is
// given the time, and Next returns the append that is due.
package batcher

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Config holds the limits of a Batcher.
type Config struct {
	// Writer identifies this run of this process.
	Writer string
	// MaxAppendRate is the number of appends per second that all writers together may
	// make.
	MaxAppendRate float64
	// MaxInterval bounds the interval between appends while the log refuses them.
	MaxInterval time.Duration
	// MaxBytes bounds the size of the items of one batch, and MaxPendingClaims the number
	// of queued claims and takeovers.
	MaxBytes         int
	MaxPendingClaims int
}

// Status is the result of an append.
type Status uint8

// The results of an append.
const (
	// Uncertain means that the batch may be in the log. It is the zero value.
	Uncertain Status = iota
	// Appended means that the batch is in the log.
	Appended
	// Throttled and Unavailable mean that the batch is not in the log.
	Throttled
	Unavailable
)

// Stats counts appends by how they ended.
type Stats struct {
	Appended, Resent, Throttled, Unavailable, Uncertain, Items uint64
}

// minInterval is the shortest interval between two appends of one writer.
const minInterval = 2 * time.Millisecond

// Batcher queues items and seals them into batches. It is not safe for concurrent use.
type Batcher struct {
	config  Config
	rng     *rand.Rand
	writers int

	pending       []ledger.Item
	pendingClaims int
	// sealed is the batch that was sent and may be in the log. inFlight is set while a
	// reply to it is awaited.
	sealed   *ledger.Batch
	inFlight bool
	// replyLost is set if a reply to the sealed batch was lost.
	replyLost  bool
	seq        uint64
	nextAppend time.Time
	appendRate decayingRate
	// backoffInterval bounds the interval from below after refusals and lost replies. It
	// is 0 before the first of them.
	backoffInterval time.Duration
	stats           Stats
	disabled        mechanism
}

// mechanism is a bit set of the parts that tests can switch off.
type mechanism uint8

const (
	keepUncertainBatch mechanism = 1 << iota
	adaptInterval
)

// New returns an empty batcher. The random source spreads the retries of several writers.
func New(config Config, rng *rand.Rand) *Batcher {
	return &Batcher{config: config, rng: rng, writers: 1}
}

// SetWriterCount sets the number of writers that share the log's append rate.
func (b *Batcher) SetWriterCount(n int) {
	b.writers = max(n, 1)
}

// ObserveAppend records that an append of any writer was read from the stream.
func (b *Batcher) ObserveAppend(now time.Time) { b.appendRate.add(now) }

// fairInterval returns the interval at which all writers together reach the maximum
// append rate.
func (b *Batcher) fairInterval() time.Duration {
	return time.Duration(float64(b.writers) / b.config.MaxAppendRate * float64(time.Second))
}

// interval returns the time from one append to the next.
func (b *Batcher) interval(now time.Time) time.Duration {
	const lowLoad = 0.5
	load := b.appendRate.valueAt(now) / b.config.MaxAppendRate
	paceFactor := min(max((load-lowLoad)/(1-lowLoad), 0), 1)
	if b.disabled&adaptInterval != 0 {
		paceFactor = 0
	}
	paceInterval := time.Duration(paceFactor * float64(b.fairInterval()))
	return max(paceInterval, b.backoffInterval, minInterval)
}

// Add queues an item. It returns false for a claim or takeover if too many are queued.
// Outcomes are always accepted, because only requests that have claimed a key have one.
func (b *Batcher) Add(it ledger.Item) bool {
	if it.Kind != ledger.KindOutcome {
		if b.pendingClaims >= b.config.MaxPendingClaims {
			return false
		}
		b.pendingClaims++
	}
	b.pending = append(b.pending, it)
	return true
}

// Withdraw removes the claims and takeovers of a request from the queue. It returns true
// if none of them is in the log or ever will be.
func (b *Batcher) Withdraw(request contract.RequestID) bool {
	remaining := b.pending[:0]
	for _, it := range b.pending {
		if it.Kind != ledger.KindOutcome && it.Request == request {
			b.pendingClaims--
			continue
		}
		remaining = append(remaining, it)
	}
	b.pending = remaining
	return !b.hasSealedClaim(request)
}

// hasSealedClaim reports whether the sealed batch contains a claim or takeover of the
// request.
func (b *Batcher) hasSealedClaim(request contract.RequestID) bool {
	if b.sealed == nil {
		return false
	}
	for _, it := range b.sealed.Items {
		if it.Kind != ledger.KindOutcome && it.Request == request {
			return true
		}
	}
	return false
}

// Next returns the batch to append now, or nil.
func (b *Batcher) Next(now time.Time) *ledger.Batch {
	if b.inFlight || now.Before(b.nextAppend) {
		return nil
	}
	if b.sealed == nil {
		b.seal()
	} else {
		b.stats.Resent++
	}
	if b.sealed == nil {
		return nil
	}
	b.inFlight = true
	b.nextAppend = now.Add(b.interval(now))
	return b.sealed
}

// seal moves queued items into a batch.
func (b *Batcher) seal() {
	n, size := 0, 0
	for n < len(b.pending) && n < ledger.MaxItems {
		size += b.pending[n].Size()
		if n > 0 && size > b.config.MaxBytes {
			break
		}
		if b.pending[n].Kind != ledger.KindOutcome {
			b.pendingClaims--
		}
		n++
	}
	if n == 0 {
		return
	}
	b.seq++
	items := append([]ledger.Item(nil), b.pending[:n]...)
	b.pending = append(b.pending[:0], b.pending[n:]...)
	b.sealed = &ledger.Batch{Writer: b.config.Writer, Seq: b.seq, Items: items}
	b.replyLost = false
}

// Stats returns the counts so far.
func (b *Batcher) Stats() Stats { return b.stats }

// Interval returns the current interval between appends.
func (b *Batcher) Interval(now time.Time) time.Duration { return b.interval(now) }

// IsIdle reports whether no item waits for the log.
func (b *Batcher) IsIdle() bool { return b.sealed == nil && len(b.pending) == 0 }

// NextWake returns when Next should be called again; ok is false if an event must come
// first.
func (b *Batcher) NextWake() (at time.Time, ok bool) {
	return b.nextAppend, !b.inFlight && !b.IsIdle()
}
