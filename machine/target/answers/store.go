package answers

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Limits bound a Store.
type Limits struct {
	// MaxBytes bounds the memory of all answers, MaxAnswerBytes that of one. Each
	// running answer and the newest finished one may hold one frame beyond them,
	// so that work can go on.
	MaxBytes       int
	MaxAnswerBytes int
	// MaxStarted bounds the records of attempts that run or whose answer is
	// kept, MaxPast those of which only the number is remembered.
	MaxStarted        int
	MaxDroppedRecords int
	// MaxTombstones bounds the tombstones outside the filters, for refusals and
	// for those that senders asked for alike.
	MaxTombstones int
	// KeepAnswer is how long a finished answer is kept, KeepRecord how long a
	// record is kept after its attempt's deadline.
	AnswerRetention time.Duration
	RecordRetention time.Duration
	// KeepRefusal is how long the tombstone of a refusal is kept at least: as
	// long as copies of the attempt may be under way.
	RefusalRetention time.Duration
	// KeepTombstone is how long a tombstone that a sender asked for is kept at
	// least: as long as another sender may still want to start the attempt.
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

// wholeRequest is the attempt number that stands for every attempt of a request.
const wholeRequest = 0

// mechanism names a part of the store that the package's tests can switch off.
type mechanism uint8

const (
	offOverflow mechanism = 1 << iota
	offPast
	offEvict
	offBackPressure
)

// Store holds the records of one process.
type Store struct {
	limits   Limits
	requests map[contract.RequestID][]*Record
	expiry   expiryHeap
	// finished holds ended records with answers, oldest first.
	finished []*Record
	past     past
	bytes    int
	started  int
	// refused and asked count the tombstones of each kind; the filters hold
	// those beyond the bound.
	refused, asked                 int
	refusedOverflow, askedOverflow filter
	off                            mechanism
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{
		limits:          limits,
		requests:        map[contract.RequestID][]*Record{},
		past:            newPast(),
		refusedOverflow: filter{period: limits.RefusalRetention},
		askedOverflow:   filter{period: limits.TombstoneRetention},
	}
}

// Bytes returns the memory of all answers.
func (s *Store) Bytes() int { return s.bytes }

// Started returns the number of records of started attempts.
func (s *Store) StartedCount() int { return s.started }

// PastRequests returns the number of requests of which only the number of the
// attempt is remembered.
func (s *Store) DroppedRequestCount() int { return len(s.past.entries) }

// Room reports whether one more attempt may start beside waiting others.
func (s *Store) HasRoom(waiting int) bool {
	fits := s.started+waiting < s.limits.MaxStarted+len(s.finished)
	return fits && s.started+waiting+len(s.past.entries) < s.limits.MaxDroppedRecords
}

// Get returns the record of an attempt, or nil.
func (s *Store) Get(id contract.AttemptID) *Record {
	for _, r := range s.requests[id.Request] {
		if r.id.N == id.N {
			return r
		}
	}
	return nil
}

// StartedAttempt returns the newest attempt of the request that started, or nil.
func (s *Store) NewestStarted(request contract.RequestID) *Record {
	var newest *Record
	for _, r := range s.requests[request] {
		if r.HasStarted() && (newest == nil || r.id.N > newest.id.N) {
			newest = r
		}
	}
	return newest
}

// Past returns what is known of an attempt that started and whose record was
// given up; ok is false if it is not one.
func (s *Store) DroppedState(id contract.AttemptID) (state contract.AttemptState, ok bool) {
	e, there := s.past.get(id.Request)
	if !there || e.n != id.N && id.N != wholeRequest {
		return contract.AttemptNoRecord, false
	}
	if e.broken {
		return contract.AttemptOutcomeUnknown, true
	}
	return contract.AttemptAnswerDropped, true
}

// OtherStarted reports whether another attempt of the request may have run.
func (s *Store) OtherAttemptStarted(id contract.AttemptID) bool {
	if e, ok := s.past.get(id.Request); ok && e.n != id.N {
		return true
	}
	r := s.NewestStarted(id.Request)
	return r != nil && r.id.N != id.N
}

// Begin records that an attempt is about to start. The caller has checked that
// it has neither a record nor a tombstone, and that there is Room.
func (s *Store) RecordStart(now time.Time, id contract.AttemptID, deadline time.Time) *Record {
	if s.started >= s.limits.MaxStarted && len(s.finished) > 0 {
		s.forgetOldest()
	}
	r := &Record{
		id: id, state: contract.AttemptRunning, heard: true,
		expires: later(now, deadline).Add(s.limits.RecordRetention),
	}
	s.started++
	s.add(r)
	return r
}

// Unbegin turns a record of an attempt that provably did not reach the back
// end into a tombstone.
func (s *Store) RevertStart(now time.Time, r *Record, reason contract.Reason) {
	if r.state != contract.AttemptRunning {
		return
	}
	s.release(r)
	r.state = contract.AttemptNeverRan
	r.reason = reason
	r.expires = later(r.expires, now.Add(s.limits.RefusalRetention))
	heap.Fix(&s.expiry, r.index)
	s.started--
	s.refused++
}

// Expire drops answers and records whose time is over.
func (s *Store) Expire(now time.Time) {
	for len(s.finished) > 0 && now.Sub(s.finished[0].ended) >= s.limits.AnswerRetention {
		s.forgetOldest()
	}
	for len(s.expiry) > 0 && !s.expiry[0].expires.After(now) {
		r := s.expiry[0]
		if r.HasStarted() {
			r.expires = now.Add(s.limits.RecordRetention)
			heap.Fix(&s.expiry, r.index)
			continue
		}
		heap.Pop(&s.expiry)
		s.remove(r)
	}
	s.past.expire(now)
}

// NextExpiry returns when Expire has work next; ok is false if never.
func (s *Store) NextExpiry() (at time.Time, ok bool) {
	if len(s.expiry) > 0 {
		at, ok = s.expiry[0].expires, true
	}
	if len(s.finished) > 0 {
		answer := s.finished[0].ended.Add(s.limits.AnswerRetention)
		if !ok || answer.Before(at) {
			at, ok = answer, true
		}
	}
	if over, some := s.past.next(); some && (!ok || over.Before(at)) {
		at, ok = over, true
	}
	return at, ok
}

func (s *Store) add(r *Record) {
	s.requests[r.id.Request] = append(s.requests[r.id.Request], r)
	heap.Push(&s.expiry, r)
}

func (s *Store) remove(r *Record) {
	switch {
	case r.HasStarted():
		s.started--
	case r.asked:
		s.asked--
	default:
		s.refused--
	}
	list := s.requests[r.id.Request]
	kept := list[:0]
	for _, other := range list {
		if other != r {
			kept = append(kept, other)
		}
	}
	if len(kept) == 0 {
		delete(s.requests, r.id.Request)
		return
	}
	s.requests[r.id.Request] = kept
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
