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
	MaxStarted int
	MaxPast    int
	// MaxTombstones bounds the tombstones outside the filter.
	MaxTombstones int
	// KeepAnswer is how long a finished answer is kept, KeepRecord how long a
	// record is kept after its attempt's deadline.
	KeepAnswer time.Duration
	KeepRecord time.Duration
	// KeepTombstone is how long a tombstone is kept at least.
	KeepTombstone time.Duration
}

// DefaultLimits are the bounds of a target process.
var DefaultLimits = Limits{
	MaxBytes:       16 << 20,
	MaxAnswerBytes: 1 << 20,
	MaxStarted:     8192,
	MaxPast:        1 << 18,
	MaxTombstones:  8192,
	KeepAnswer:     2 * time.Minute,
	KeepRecord:     2 * time.Minute,
	KeepTombstone:  10 * time.Minute,
}

// frameOverheadBytes is the memory of a frame beside its data.
const frameOverheadBytes = 48

// size returns the memory that a frame takes.
func (f Frame) size() int { return len(f.Data) + frameOverheadBytes }

// wholeRequest is the attempt number that stands for every attempt of a request.
const wholeRequest = 0

// Store holds the records of one process.
type Store struct {
	limits   Limits
	requests map[contract.RequestID][]*Record
	expiry   expiryHeap
	// finished holds ended records with answers, oldest first.
	finished   []*Record
	overflow   filter
	past       past
	bytes      int
	started    int
	tombstones int
}

// New returns an empty store.
func New(limits Limits) *Store {
	return &Store{
		limits:   limits,
		requests: map[contract.RequestID][]*Record{},
		overflow: filter{period: limits.KeepTombstone},
		past:     newPast(),
	}
}

// Bytes returns the memory of all answers.
func (s *Store) Bytes() int { return s.bytes }

// Started returns the number of records of started attempts.
func (s *Store) Started() int { return s.started }

// PastRequests returns the number of requests of which only the number of the
// attempt is remembered.
func (s *Store) PastRequests() int { return len(s.past.entries) }

// Tombstones returns the number of tombstones outside the filter.
func (s *Store) Tombstones() int { return s.tombstones }

// Room reports whether one more attempt may start beside waiting others.
func (s *Store) Room(waiting int) bool {
	fits := s.started+waiting < s.limits.MaxStarted+len(s.finished)
	return fits && s.started+waiting+len(s.past.entries) < s.limits.MaxPast
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
func (s *Store) StartedAttempt(request contract.RequestID) *Record {
	var newest *Record
	for _, r := range s.requests[request] {
		if r.Started() && (newest == nil || r.id.N > newest.id.N) {
			newest = r
		}
	}
	return newest
}

// Past returns what is known of an attempt that started and whose record was
// given up; ok is false if it is not one.
func (s *Store) Past(id contract.AttemptID) (state contract.AttemptState, ok bool) {
	e, there := s.past.get(id.Request)
	if !there || e.n != id.N && id.N != wholeRequest {
		return contract.AttemptUnheard, false
	}
	if e.broken {
		return contract.AttemptBroken, true
	}
	return contract.AttemptForgotten, true
}

// OtherStarted reports whether another attempt of the request may have run.
func (s *Store) OtherStarted(id contract.AttemptID) bool {
	if e, ok := s.past.get(id.Request); ok && e.n != id.N {
		return true
	}
	r := s.StartedAttempt(id.Request)
	return r != nil && r.id.N != id.N
}

// Buried reports whether the attempt has a tombstone, and why.
func (s *Store) Buried(now time.Time, id contract.AttemptID) (contract.Reason, bool) {
	for _, r := range s.requests[id.Request] {
		if r.Started() {
			continue
		}
		if r.id.N == id.N || r.id.N == wholeRequest {
			return r.reason, true
		}
	}
	whole := contract.AttemptID{Request: id.Request, N: wholeRequest}
	if s.overflow.has(now, id) || s.overflow.has(now, whole) {
		return contract.ReasonTombstone, true
	}
	return "", false
}

// Bury puts a tombstone on an attempt that has not started; attempt number 0
// stands for every attempt of the request that has not started yet.
func (s *Store) Bury(now time.Time, id contract.AttemptID, reason contract.Reason, deadline time.Time) {
	if s.Get(id) != nil {
		return
	}
	if s.tombstones >= s.limits.MaxTombstones {
		s.overflow.add(now, id)
		return
	}
	s.tombstones++
	s.add(&Record{
		id: id, state: contract.AttemptNeverRan, reason: reason,
		expires: later(now.Add(s.limits.KeepTombstone), deadline.Add(s.limits.KeepRecord)),
	})
}

// Begin records that an attempt is about to start. The caller has checked that
// it has neither a record nor a tombstone, and that there is Room.
func (s *Store) Begin(now time.Time, id contract.AttemptID, deadline time.Time) *Record {
	if s.started >= s.limits.MaxStarted && len(s.finished) > 0 {
		s.forgetOldest()
	}
	r := &Record{
		id: id, state: contract.AttemptRunning,
		expires: later(now, deadline).Add(s.limits.KeepRecord),
	}
	s.started++
	s.add(r)
	return r
}

// Unbegin turns a record of an attempt that provably did not reach the back
// end into a tombstone.
func (s *Store) Unbegin(now time.Time, r *Record, reason contract.Reason) {
	if r.state != contract.AttemptRunning {
		return
	}
	s.release(r)
	r.state = contract.AttemptNeverRan
	r.reason = reason
	r.expires = later(r.expires, now.Add(s.limits.KeepTombstone))
	heap.Fix(&s.expiry, r.index)
	s.started--
	s.tombstones++
}

// Append adds a frame to a running answer. When the answer is over its limit,
// frames before number consumed are dropped; Append reports false if that does
// not make room, and the caller tries again after more has been consumed.
func (s *Store) Append(r *Record, f Frame, consumed uint64) bool {
	size := f.size()
	if r.bytes+size > s.limits.MaxAnswerBytes {
		s.trim(r, consumed)
	}
	if r.bytes > 0 && r.bytes+size > s.limits.MaxAnswerBytes {
		return false
	}
	s.evict(size)
	if s.bytes+size > s.limits.MaxBytes {
		s.trim(r, consumed)
	}
	if r.bytes > 0 && s.bytes+size > s.limits.MaxBytes {
		return false
	}
	r.frames = append(r.frames, f)
	r.bytes += size
	r.length += uint64(len(f.Data))
	s.bytes += size
	return true
}

// trim drops frames before number consumed.
func (s *Store) trim(r *Record, consumed uint64) {
	for len(r.frames) > 0 && r.first < consumed {
		size := r.frames[0].size()
		r.frames[0] = Frame{}
		r.frames = r.frames[1:]
		r.first++
		r.bytes -= size
		s.bytes -= size
	}
}

// evict drops the oldest finished answers until size more bytes fit.
func (s *Store) evict(size int) {
	for len(s.finished) > 0 && s.bytes+size > s.limits.MaxBytes {
		s.forgetOldest()
	}
}

// forgetOldest gives up the oldest finished answer and its record. What stays
// is that the attempt started.
func (s *Store) forgetOldest() {
	r := s.finished[0]
	s.finished[0] = nil
	s.finished = s.finished[1:]
	s.release(r)
	s.past.add(r.id, r.expires, r.state == contract.AttemptBroken)
	if r.state == contract.AttemptDone {
		r.state = contract.AttemptForgotten
	}
	heap.Remove(&s.expiry, r.index)
	s.remove(r)
}

// release gives up the frames of a record.
func (s *Store) release(r *Record) {
	s.bytes -= r.bytes
	r.first = r.Frames()
	r.frames, r.bytes = nil, 0
}

// Finish closes an answer. An outcome other than done makes the attempt broken.
func (s *Store) Finish(now time.Time, r *Record, end contract.End) {
	end.Attempt = r.id
	end.Frames = r.Frames()
	end.Length = r.length
	r.end, r.ended = end, now
	r.state = contract.AttemptBroken
	r.reason = end.Reason
	if end.Outcome == contract.OutcomeDone {
		r.state = contract.AttemptDone
	}
	s.evict(0)
	s.finished = append(s.finished, r)
}

// Expire drops answers and records whose time is over.
func (s *Store) Expire(now time.Time) {
	for len(s.finished) > 0 && now.Sub(s.finished[0].ended) >= s.limits.KeepAnswer {
		s.forgetOldest()
	}
	for len(s.expiry) > 0 && !s.expiry[0].expires.After(now) {
		r := s.expiry[0]
		if r.Started() {
			r.expires = now.Add(s.limits.KeepRecord)
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
		answer := s.finished[0].ended.Add(s.limits.KeepAnswer)
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
	if r.Started() {
		s.started--
	} else {
		s.tombstones--
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
