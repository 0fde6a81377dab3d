// Package batcher packs many claims into few appends to the platform's log.
//
// # Contract
//
// A Batcher has at most one append in flight. Its interval between appends
// follows the rate at which all writers append, which each of them sees when it
// reads the stream: short while the rate is under half of the log's budget, and
// this writer's fair share of the budget when the rate has reached it. Refusals
// stretch the interval, successes shorten it again. After a pause the first item
// is sent at once. A batch whose reply was lost is sent again unchanged, with the
// same sequence number, until it is known to be in the log: readers drop the
// copies. A batch that the log surely did not take is dissolved, and its items
// may be withdrawn.
//
// The machine has no clock, no goroutine and no I/O: time comes with each call,
// and Next returns the append that is due.
package batcher

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Config holds the limits of a Batcher.
type Config struct {
	// Writer names this run of this process.
	Writer string
	// Budget is how many appends a second all writers together may make.
	MaxAppendRate float64
	// MaxInterval bounds the interval between appends while the log refuses.
	MaxInterval time.Duration
	// MaxBytes bounds the items of one batch, MaxPending the waiting claims.
	MaxBytes         int
	MaxPendingClaims int
}

// Status tells how an append ended.
type Status uint8

// The ends of an append.
const (
	// Uncertain means that the batch may be in the log. It is the zero value.
	Uncertain Status = iota
	// Appended means that the batch is in the log.
	Appended
	// Throttled and Unavailable mean that the log did not take the batch.
	Throttled
	Unavailable
)

// Stats counts appends by how they ended.
type Stats struct {
	Appended, Resent, Throttled, Unavailable, Uncertain, Items uint64
}

// minInterval is the least time between two appends of one writer.
const minInterval = 2 * time.Millisecond

// Batcher is not safe for concurrent use.
type Batcher struct {
	config  Config
	rng     *rand.Rand
	writers int

	pending []ledger.Item
	claims  int
	// sealed is the batch that may be in the log; inFlight tells that a reply to
	// it is awaited.
	sealed   *ledger.Batch
	inFlight bool
	// unsure tells that a reply to the sealed batch was lost.
	unsure bool
	seq    uint64
	due    time.Time
	rate   rate
	// backoff is the least interval after refusals; 0 without any.
	backoff time.Duration
	stats   Stats
	off     mechanism
}

// mechanism names parts that tests switch off to show that they are needed.
type mechanism uint8

const (
	keepSealed mechanism = 1 << iota
	adaptInterval
)

// New returns an empty batcher. The random source spreads retries.
func New(config Config, rng *rand.Rand) *Batcher {
	return &Batcher{config: config, rng: rng, writers: 1}
}

// SetWriters tells how many writers share the log's budget.
func (b *Batcher) SetWriterCount(n int) {
	b.writers = max(n, 1)
}

// Observe takes an append of any writer that was read from the stream.
func (b *Batcher) ObserveAppend(now time.Time) { b.rate.add(now) }

// share is the interval at which all writers together stay in the budget.
func (b *Batcher) share() time.Duration {
	return time.Duration(float64(b.writers) / b.config.MaxAppendRate * float64(time.Second))
}

// interval returns the time from one append to the next.
func (b *Batcher) interval(now time.Time) time.Duration {
	const free = 0.5
	used := b.rate.at(now) / b.config.MaxAppendRate
	pressure := min(max((used-free)/(1-free), 0), 1)
	if b.off&adaptInterval != 0 {
		pressure = 0
	}
	paced := time.Duration(pressure * float64(b.share()))
	return max(paced, b.backoff, minInterval)
}

// Add queues an item. It returns false for a claim or takeover when too many
// wait; outcomes are always taken, because only requests that ran have one.
func (b *Batcher) Add(it ledger.Item) bool {
	if it.Kind != ledger.KindOutcome {
		if b.claims >= b.config.MaxPendingClaims {
			return false
		}
		b.claims++
	}
	b.pending = append(b.pending, it)
	return true
}

// Withdraw takes back the claims and takeovers of a request. It returns true if
// none of them is in the log or ever will be.
func (b *Batcher) Withdraw(request contract.RequestID) bool {
	kept := b.pending[:0]
	for _, it := range b.pending {
		if it.Kind != ledger.KindOutcome && it.Request == request {
			b.claims--
			continue
		}
		kept = append(kept, it)
	}
	b.pending = kept
	return !b.holds(request)
}

func (b *Batcher) holds(request contract.RequestID) bool {
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
	if b.inFlight || now.Before(b.due) {
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
	b.due = now.Add(b.interval(now))
	return b.sealed
}

// seal moves waiting items into a batch.
func (b *Batcher) seal() {
	n, size := 0, 0
	for n < len(b.pending) && n < ledger.MaxItems {
		size += b.pending[n].Size()
		if n > 0 && size > b.config.MaxBytes {
			break
		}
		if b.pending[n].Kind != ledger.KindOutcome {
			b.claims--
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
	b.unsure = false
}

// Stats returns the counts so far.
func (b *Batcher) Stats() Stats { return b.stats }

// Interval returns the present interval between appends.
func (b *Batcher) Interval(now time.Time) time.Duration { return b.interval(now) }

// Idle reports whether nothing waits for the log.
func (b *Batcher) IsIdle() bool { return b.sealed == nil && len(b.pending) == 0 }

// Wake returns when Next should be called again; ok is false if an event must
// come first.
func (b *Batcher) NextWake() (at time.Time, ok bool) {
	return b.due, !b.inFlight && !b.IsIdle()
}
