package ledger

import (
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// ErrGap marks a record that does not directly follow the last one applied.
var ErrGap = errors.New("ledger: records are missing from the stream")

// Config holds the bounds of a Ledger.
type Config struct {
	// Window is how long a key is retained after its last claim, by the log's clock.
	Window time.Duration
	// MaxResultBytes bounds the total size of the retained result bodies.
	MaxResultBytes int
}

// State is the progress of a key's holder.
type State uint8

// The states of a holder.
const (
	// Open means that the log contains no outcome.
	Open State = iota
	// Uncertain means that the holder itself reported its outcome as unknown.
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
	// Unconfirmed is set if records are missing in which another request may have claimed
	// the key earlier.
	Unconfirmed bool
	// Offset and LogTime are the position and the log's time of the claim or takeover.
	Offset  contract.Offset
	LogTime time.Time
	// lastClaim is the offset of the newest claim or takeover of the key by any request.
	lastClaim contract.Offset
	// ReadAt is the local time at which this process read the claim or takeover.
	ReadAt time.Time
}

// Change is the effect of one item of a batch.
type Change struct {
	Writer string
	Seq    uint64
	Item   *Item
	// Applied is set if the item took effect. A repeated claim, takeover or outcome of
	// the holder counts as applied.
	Applied bool
	// Contradiction is set if a request that does not hold the key reports "done", or if
	// the holder reports "not run" after "done".
	Contradiction bool
}

// Stats counts the records, keys and bodies that were dropped, and contradictions.
type Stats struct {
	Malformed, Repeated, Contradictions, Expired, BodiesDropped uint64
}

// ageEntry is an entry of a queue of keys, oldest first.
type ageEntry struct {
	key     Key
	offset  contract.Offset
	logTime time.Time
}

// Ledger holds the state of all idempotency keys. It is not safe for concurrent use.
type Ledger struct {
	config  Config
	applied contract.Offset
	// clock is the latest log time of the records applied.
	clock time.Time
	// trimmed is set if records before the first one applied are lost; horizon is then
	// the log's time of that first record.
	trimmed     bool
	horizon     time.Time
	keys        map[Key]*Holder
	claimsByAge []ageEntry
	writers     map[string]*writer
	// expiredKeys holds the keys that have expired within the last window.
	expiredKeys  map[Key]time.Time
	expiredByAge []ageEntry
	// bodiesByAge lists the keys whose result bodies were retained, oldest first.
	bodiesByAge []ageEntry
	resultBytes int
	stats       Stats
	disabled    mechanism
}

// writer is the state of one run of a process that appends to the stream: its highest
// sequence number, and the log's time of its last batch.
type writer struct {
	seq      uint64
	lastSeen time.Time
}

// mechanism is a bit set of the rules that tests can switch off.
type mechanism uint8

const (
	firstClaimWins mechanism = 1 << iota
	sequenceCheck
	supersedesCheck
	holderOnly
	windowRestart
	unconfirmedHolders
)

// New returns a ledger whose next record must be the one after the given offset.
func New(config Config, after contract.Offset) *Ledger {
	return &Ledger{
		config:      config,
		applied:     after,
		trimmed:     after > 0,
		keys:        map[Key]*Holder{},
		writers:     map[string]*writer{},
		expiredKeys: map[Key]time.Time{},
	}
}

// Applied returns the offset of the last record applied.
func (l *Ledger) Applied() contract.Offset { return l.applied }

// Clock returns the latest log time of the records applied.
func (l *Ledger) Clock() time.Time { return l.clock }

// Horizon returns the log's time of the first record applied if earlier records are lost,
// else the zero time.
func (l *Ledger) Horizon() time.Time { return l.horizon }

// IsHistoryIncomplete reports whether records within the window are missing, so that a
// key that looks free may be held.
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

// IsExpired reports whether the key is remembered as expired.
func (l *Ledger) IsExpired(key Key) bool {
	_, ok := l.expiredKeys[key]
	return ok
}

// Apply applies the next record, given its offset, the log's time of it, its data and the
// local time. It returns ErrGap if records are missing, and ErrMalformed for an invalid
// record, which it skips.
func (l *Ledger) Apply(offset contract.Offset, logTime time.Time, data []byte, now time.Time) ([]Change, error) {
	if offset != l.applied+1 {
		return nil, errors.Wrapf(ErrGap, "got offset %d after offset %d", offset, l.applied)
	}
	l.applied = offset
	if logTime.After(l.clock) {
		l.clock = logTime
	}
	if l.trimmed && l.horizon.IsZero() {
		l.horizon = l.clock
	}
	l.removeExpired()
	batch, err := Decode(data)
	if err != nil {
		l.stats.Malformed++
		return nil, err
	}
	if !l.admitBatch(batch) {
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

// admitBatch reports whether the batch is newer than all earlier ones of its writer, and
// records its sequence number.
func (l *Ledger) admitBatch(b *Batch) bool {
	w := l.writers[b.Writer]
	if w == nil {
		w = &writer{}
		l.writers[b.Writer] = w
	}
	w.lastSeen = l.clock
	if b.Seq <= w.seq && l.disabled&sequenceCheck == 0 {
		return false
	}
	w.seq = max(w.seq, b.Seq)
	return true
}
