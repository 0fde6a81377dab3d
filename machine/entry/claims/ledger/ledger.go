package ledger

import (
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// ErrGap marks a record that does not follow the last one applied.
var ErrGap = errors.New("ledger: gap in the stream")

// Config holds the bounds of a Ledger.
type Config struct {
	// Window is how long a key is kept after its claim, by the log's clock.
	Window time.Duration
	// MaxResultBytes bounds the kept bodies of all results together.
	MaxResultBytes int
}

// State tells how far the holder of a key has come.
type State uint8

// The states of a holder.
const (
	// Open means that no outcome is in the log.
	Open State = iota
	// Uncertain means that the holder itself told that its outcome is unknown.
	Uncertain
	// Done means that the holder ran and that Result is its answer.
	Done
)

// Holder is the request that holds a key.
type Holder struct {
	Request  contract.RequestID
	BodyHash BodyHash
	State    State
	Result   *Result
	// Doubtful tells that records are missing in which another request may have
	// taken the key before.
	Unconfirmed bool
	// Offset and At are the position and the log's time of the claim or takeover.
	Offset  contract.Offset
	LogTime time.Time
	// last is the offset of the newest claim or takeover of the key by anyone.
	last contract.Offset
	// Seen is the local time at which this process read it.
	ReadAt time.Time
}

// Change is what one item of a batch did.
type Change struct {
	Writer string
	Seq    uint64
	Item   *Item
	// Applied tells that the item took effect. A repeated item of the holder
	// counts as applied.
	Applied bool
	// Contradiction tells that a former holder was done after all.
	Contradiction bool
}

// Stats counts what was dropped.
type Stats struct {
	Malformed, Repeated, Contradictions, Expired, BodiesDropped uint64
}

// claimed is one line of the queue of claims by age.
type claimed struct {
	key    Key
	offset contract.Offset
	at     time.Time
}

// Ledger is not safe for concurrent use.
type Ledger struct {
	config  Config
	applied contract.Offset
	// clock is the highest time that the log has shown.
	clock time.Time
	// trimmed tells that records before the first one applied are lost, horizon
	// is the time of that first one.
	trimmed bool
	horizon time.Time
	keys    map[Key]*Holder
	byAge   []claimed
	writers map[string]*writer
	// expired holds keys past the window, for one more window.
	expired      map[Key]time.Time
	expiredByAge []claimed
	// bodies lists the keys with kept bodies, oldest first.
	bodies      []claimed
	resultBytes int
	stats       Stats
	off         mechanism
}

// writer is the last batch of one process run.
type writer struct {
	seq uint64
	at  time.Time
}

// mechanism names parts that tests switch off to show that they are needed.
type mechanism uint8

const (
	firstWins mechanism = 1 << iota
	sequence
	supersedesCheck
	holderOnly
	refresh
	doubt
)

// New returns a ledger that expects the record after the given offset next.
func New(config Config, after contract.Offset) *Ledger {
	return &Ledger{
		config:  config,
		applied: after,
		trimmed: after > 0,
		keys:    map[Key]*Holder{},
		writers: map[string]*writer{},
		expired: map[Key]time.Time{},
	}
}

// Applied returns the offset of the last record applied.
func (l *Ledger) Applied() contract.Offset { return l.applied }

// Clock returns the highest time that the log has shown.
func (l *Ledger) Clock() time.Time { return l.clock }

// Horizon returns the log's time of the first record read if records before it
// are lost; else it is zero.
func (l *Ledger) Horizon() time.Time { return l.horizon }

// IsShort reports whether records are missing that lie within the window: a key
// that looks free may then be held.
func (l *Ledger) IsHistoryIncomplete() bool {
	return l.trimmed && l.clock.Sub(l.horizon) <= l.config.Window
}

// Len returns the number of keys held.
func (l *Ledger) Len() int { return len(l.keys) }

// Stats returns the counts so far.
func (l *Ledger) Stats() Stats { return l.stats }

// Lookup returns the holder of a key; ok is false if the key is free.
func (l *Ledger) Lookup(key Key) (h Holder, ok bool) {
	found := l.keys[key]
	if found == nil {
		return Holder{}, false
	}
	return *found, true
}

// Expired reports whether the key is remembered as older than the window.
func (l *Ledger) IsExpired(key Key) bool {
	_, ok := l.expired[key]
	return ok
}

// Apply takes the next record: its offset, the log's time of it, its data and
// the local time. It fails with ErrGap, and with ErrMalformed for a record that
// it skips.
func (l *Ledger) Apply(offset contract.Offset, at time.Time, data []byte, now time.Time) ([]Change, error) {
	if offset != l.applied+1 {
		return nil, errors.Wrapf(ErrGap, "offset %d after %d", offset, l.applied)
	}
	l.applied = offset
	if at.After(l.clock) {
		l.clock = at
	}
	if l.trimmed && l.horizon.IsZero() {
		l.horizon = l.clock
	}
	l.expire()
	batch, err := Decode(data)
	if err != nil {
		l.stats.Malformed++
		return nil, err
	}
	if !l.admit(batch) {
		l.stats.Repeated++
		return nil, nil
	}
	changes := make([]Change, len(batch.Items))
	for i := range batch.Items {
		changes[i] = Change{Writer: batch.Writer, Seq: batch.Seq, Item: &batch.Items[i]}
		l.applyItem(&changes[i], now)
	}
	return changes, nil
}

// admit reports whether the batch is newer than all of its writer before.
func (l *Ledger) admit(b *Batch) bool {
	w := l.writers[b.Writer]
	if w == nil {
		w = &writer{}
		l.writers[b.Writer] = w
	}
	w.at = l.clock
	if b.Seq <= w.seq && l.off&sequence == 0 {
		return false
	}
	w.seq = max(w.seq, b.Seq)
	return true
}
