package answers

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Tombstones returns the number of tombstones outside the filters.
func (s *Store) TombstoneCount() int { return s.refused + s.asked }

// Buried reports whether the attempt has a tombstone, and why.
func (s *Store) FindTombstone(now time.Time, id contract.AttemptID) (contract.Reason, bool) {
	for _, r := range s.requests[id.Request] {
		if r.HasStarted() {
			continue
		}
		if r.id.N == id.N || r.id.N == wholeRequest {
			return r.reason, true
		}
	}
	whole := contract.AttemptID{Request: id.Request, N: wholeRequest}
	if s.off&offOverflow != 0 {
		return "", false
	}
	hidden := s.refusedOverflow.has(now, id) || s.askedOverflow.has(now, id) || s.askedOverflow.has(now, whole)
	if hidden {
		return contract.ReasonTombstone, true
	}
	return "", false
}

// Refuse puts a tombstone on an attempt that the gate refuses.
func (s *Store) AddRefusal(now time.Time, id contract.AttemptID, reason contract.Reason) {
	if s.Get(id) != nil {
		return
	}
	if s.refused >= s.limits.MaxTombstones {
		s.refusedOverflow.add(now, id)
		return
	}
	s.refused++
	s.add(&Record{id: id, state: contract.AttemptNeverRan, reason: reason, heard: true, expires: now.Add(s.limits.RefusalRetention)})
}

// Bury puts a tombstone on an attempt, as a sender asks; attempt number 0
// stands for every attempt of the request that has not started yet.
func (s *Store) AddTombstone(now time.Time, id contract.AttemptID) {
	if r := s.Get(id); r != nil && (r.HasStarted() || r.asked) {
		return
	}
	if s.asked >= s.limits.MaxTombstones {
		s.askedOverflow.add(now, id)
		return
	}
	s.asked++
	if r := s.Get(id); r != nil {
		s.refused--
		r.asked = true
		r.expires = later(r.expires, now.Add(s.limits.TombstoneRetention))
		heap.Fix(&s.expiry, r.index)
		return
	}
	s.add(&Record{
		id: id, state: contract.AttemptNeverRan, reason: contract.ReasonTombstone,
		asked: true, expires: now.Add(s.limits.TombstoneRetention),
	})
}
