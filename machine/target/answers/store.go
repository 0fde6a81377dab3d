package answers

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Limits bound a Store.
type Limits struct {
	// MaxBytes bounds the data of all answers, MaxAnswerBytes that of one. A
	// running answer may hold one frame beyond them, so that it can go on.
	MaxBytes       int
	MaxAnswerBytes int
	// MaxStarted bounds the records of started attempts, MaxTombstones the
	// tombstones outside the filter.
	MaxStarted    int
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
	MaxTombstones:  8192,
	KeepAnswer:     2 * time.Minute,
	KeepRecord:     2 * time.Minute,
	KeepTombstone:  10 * time.Minute,
}

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
	}
}

// Bytes returns the size of all kept answers.
func (s *Store) Bytes() int { return s.bytes }

// Started and Tombstones return the numbers of records of each kind.
func (s *Store) Started() int { return s.started }

// Tombstones returns the number of tombstones outside the filter.
func (s *Store) Tombstones() int { return s.tombstones }

// Room reports whether one more attempt may start.
func (s *Store) Room() bool { return s.started < s.limits.MaxStarted }

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
	if r.bytes+len(f.Data) > s.limits.MaxAnswerBytes {
		s.trim(r, consumed)
	}
	if r.bytes > 0 && r.bytes+len(f.Data) > s.limits.MaxAnswerBytes {
		return false
	}
	s.evict(len(f.Data))
	if s.bytes+len(f.Data) > s.limits.MaxBytes {
		s.trim(r, consumed)
	}
	if r.bytes > 0 && s.bytes+len(f.Data) > s.limits.MaxBytes {
		return false
	}
	r.frames = append(r.frames, f)
	r.bytes += len(f.Data)
	r.length += uint64(len(f.Data))
	s.bytes += len(f.Data)
	return true
}

// trim drops frames before number consumed.
func (s *Store) trim(r *Record, consumed uint64) {
	for len(r.frames) > 0 && r.first < consumed {
		size := len(r.frames[0].Data)
		r.frames[0] = Frame{}
		r.frames = r.frames[1:]
		r.first++
		r.bytes -= size
		s.bytes -= size
		r.incomplete = true
	}
}

// evict drops the oldest finished answers until size more bytes fit.
func (s *Store) evict(size int) {
	for len(s.finished) > 0 && s.bytes+size > s.limits.MaxBytes {
		s.forgetOldest()
	}
}

func (s *Store) forgetOldest() {
	r := s.finished[0]
	s.finished[0] = nil
	s.finished = s.finished[1:]
	s.forget(r)
}

func (s *Store) forget(r *Record) {
	if r.state == contract.AttemptNeverRan {
		return
	}
	s.release(r)
	if r.state == contract.AttemptDone {
		r.state = contract.AttemptForgotten
	}
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
	s.finished = append(s.finished, r)
}

// Expire drops answers and records whose time is over.
func (s *Store) Expire(now time.Time) {
	for len(s.finished) > 0 && now.Sub(s.finished[0].ended) >= s.limits.KeepAnswer {
		s.forgetOldest()
	}
	for len(s.expiry) > 0 && !s.expiry[0].expires.After(now) {
		r := s.expiry[0]
		if r.state == contract.AttemptRunning {
			r.expires = now.Add(s.limits.KeepRecord)
			heap.Fix(&s.expiry, r.index)
			continue
		}
		heap.Pop(&s.expiry)
		s.remove(r)
	}
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
	return at, ok
}

func (s *Store) add(r *Record) {
	s.requests[r.id.Request] = append(s.requests[r.id.Request], r)
	heap.Push(&s.expiry, r)
}

func (s *Store) remove(r *Record) {
	s.forget(r)
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
