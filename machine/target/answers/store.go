package answers

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Limits are the bounds of a Store.
type Limits struct {
	// MaxBytes bounds the memory of all answers, MaxAnswerBytes that of a single answer.
	// Each running answer and the newest finished one may exceed them by one frame, so
	// that work can continue.
	MaxBytes       int
	MaxAnswerBytes int
	// MaxStarted bounds the records of attempts that are running or whose answer is
	// stored. MaxDroppedRecords bounds these records and the requests of which only the
	// number of an attempt is remembered, together.
	MaxStarted        int
	MaxDroppedRecords int
	// MaxTombstones bounds the tombstones outside the filters: those of refusals and
	// those that senders requested, each on their own.
	MaxTombstones int
	// AnswerRetention is how long a finished answer is stored. RecordRetention is how
	// long after its deadline a started attempt is remembered at least.
	AnswerRetention time.Duration
	RecordRetention time.Duration
	// RefusalRetention is the minimum time for which the tombstone of a refusal is
	// retained: as long as copies of the attempt may be in transit.
	RefusalRetention time.Duration
	// TombstoneRetention is the minimum time for which a tombstone that a sender
	// requested is retained: as long as another sender may still try to start the
	// attempt.
	TombstoneRetention time.Duration
}

// DefaultLimits are the bounds of a target process.
var DefaultLimits = Limits{
	MaxBytes:           4 << 20,
	MaxAnswerBytes:     1 << 20,
	MaxStarted:         4096,
	MaxDroppedRecords:  1 << 16,
	MaxTombstones:      4096,
	AnswerRetention:    time.Minute,
	RecordRetention:    time.Minute,
	RefusalRetention:   90 * time.Second,
	TombstoneRetention: time.Hour,
}

// allAttempts is the attempt number that stands for every attempt of a request.
const allAttempts = 0

// mechanism identifies a part of the store that the package's tests can switch off.
type mechanism uint8

const (
	offOverflow mechanism = 1 << iota
	offDroppedIndex
	offEvict
	offBackPressure
)

// Store holds the records of one process.
type Store struct {
	limits   Limits
	requests map[contract.RequestID][]*Record
	expiry   expiryHeap
	// finished holds the finished records that have answers, oldest first.
	finished []*Record
	dropped  droppedIndex
	bytes    int
	started  int
	// refusedCount and requestedCount count the tombstones of each kind; the filters hold
	// those beyond MaxTombstones.
	refusedCount, requestedCount       int
	refusedOverflow, requestedOverflow filter
	off                                mechanism
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{
		limits:            limits,
		requests:          map[contract.RequestID][]*Record{},
		dropped:           newDroppedIndex(),
		refusedOverflow:   filter{period: limits.RefusalRetention},
		requestedOverflow: filter{period: limits.TombstoneRetention},
	}
}

// Bytes returns the memory that all answers take.
func (s *Store) Bytes() int { return s.bytes }

// StartedCount returns the number of records of started attempts.
func (s *Store) StartedCount() int { return s.started }

// DroppedRequestCount returns the number of requests of which only the number of an
// attempt is remembered.
func (s *Store) DroppedRequestCount() int { return len(s.dropped.entries) }

// HasRoom reports whether one more attempt may start in addition to those that are
// queued.
func (s *Store) HasRoom(queued int) bool {
	fits := s.started+queued < s.limits.MaxStarted+len(s.finished)
	return fits && s.started+queued+len(s.dropped.entries) < s.limits.MaxDroppedRecords
}

// Get returns the record of an attempt, or nil if there is none.
func (s *Store) Get(id contract.AttemptID) *Record {
	for _, r := range s.requests[id.Request] {
		if r.id.N == id.N {
			return r
		}
	}
	return nil
}

// NewestStarted returns the record of the request's newest started attempt, or nil if
// there is none.
func (s *Store) NewestStarted(request contract.RequestID) *Record {
	var newest *Record
	for _, r := range s.requests[request] {
		if r.HasStarted() && (newest == nil || r.id.N > newest.id.N) {
			newest = r
		}
	}
	return newest
}

// DroppedState returns what is known of an attempt that started and whose record was
// dropped. ok is false if the attempt is not known as such.
func (s *Store) DroppedState(id contract.AttemptID) (state contract.AttemptState, ok bool) {
	e, exists := s.dropped.get(id.Request)
	if !exists || e.n != id.N && id.N != allAttempts {
		return contract.AttemptNoRecord, false
	}
	if e.outcomeUnknown {
		return contract.AttemptOutcomeUnknown, true
	}
	return contract.AttemptAnswerDropped, true
}

// OtherAttemptStarted reports whether another attempt of the request may have run.
func (s *Store) OtherAttemptStarted(id contract.AttemptID) bool {
	if e, ok := s.dropped.get(id.Request); ok && e.n != id.N {
		return true
	}
	r := s.NewestStarted(id.Request)
	return r != nil && r.id.N != id.N
}

// RecordStart records that an attempt is about to start. The caller has checked that the
// attempt has neither a record nor a tombstone, and that HasRoom returns true.
func (s *Store) RecordStart(now time.Time, id contract.AttemptID, deadline time.Time) *Record {
	if s.started >= s.limits.MaxStarted && len(s.finished) > 0 {
		s.dropOldest()
	}
	r := &Record{
		id: id, state: contract.AttemptRunning, received: true,
		expiresAt: later(now, deadline).Add(s.limits.RecordRetention),
	}
	s.started++
	s.addRecord(r)
	return r
}

// RevertStart turns the record of an attempt that provably did not reach the back end
// into a tombstone.
func (s *Store) RevertStart(now time.Time, r *Record, reason contract.Reason) {
	if r.state != contract.AttemptRunning {
		return
	}
	s.releaseFrames(r)
	r.state = contract.AttemptNeverRan
	r.reason = reason
	r.expiresAt = later(r.expiresAt, now.Add(s.limits.RefusalRetention))
	heap.Fix(&s.expiry, r.heapIndex)
	s.started--
	s.refusedCount++
}

// Expire drops the answers and tombstones whose retention is over. The record of a
// started attempt is dropped together with its answer.
func (s *Store) Expire(now time.Time) {
	for len(s.finished) > 0 && now.Sub(s.finished[0].endedAt) >= s.limits.AnswerRetention {
		s.dropOldest()
	}
	for len(s.expiry) > 0 && !s.expiry[0].expiresAt.After(now) {
		r := s.expiry[0]
		if r.HasStarted() {
			r.expiresAt = now.Add(s.limits.RecordRetention)
			heap.Fix(&s.expiry, r.heapIndex)
			continue
		}
		heap.Pop(&s.expiry)
		s.removeRecord(r)
	}
	s.dropped.expire(now)
}

// NextExpiry returns when Expire next has something to do; ok is false if the store is
// empty.
func (s *Store) NextExpiry() (at time.Time, ok bool) {
	if len(s.expiry) > 0 {
		at, ok = s.expiry[0].expiresAt, true
	}
	if len(s.finished) > 0 {
		answer := s.finished[0].endedAt.Add(s.limits.AnswerRetention)
		if !ok || answer.Before(at) {
			at, ok = answer, true
		}
	}
	if expiresAt, hasDropped := s.dropped.nextExpiry(); hasDropped && (!ok || expiresAt.Before(at)) {
		at, ok = expiresAt, true
	}
	return at, ok
}

func (s *Store) addRecord(r *Record) {
	s.requests[r.id.Request] = append(s.requests[r.id.Request], r)
	heap.Push(&s.expiry, r)
}

func (s *Store) removeRecord(r *Record) {
	switch {
	case r.HasStarted():
		s.started--
	case r.requested:
		s.requestedCount--
	default:
		s.refusedCount--
	}
	list := s.requests[r.id.Request]
	remaining := list[:0]
	for _, other := range list {
		if other != r {
			remaining = append(remaining, other)
		}
	}
	if len(remaining) == 0 {
		delete(s.requests, r.id.Request)
		return
	}
	s.requests[r.id.Request] = remaining
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
