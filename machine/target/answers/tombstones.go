package answers

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// TombstoneCount returns the number of tombstones outside the filters.
func (s *Store) TombstoneCount() int { return s.refusedCount + s.requestedCount }

// FindTombstone reports whether the attempt has a tombstone, and the reason for it.
func (s *Store) FindTombstone(now time.Time, id contract.AttemptID) (contract.Reason, bool) {
	for _, r := range s.requests[id.Request] {
		if r.HasStarted() {
			continue
		}
		if r.id.N == id.N || r.id.N == allAttempts {
			return r.reason, true
		}
	}
	all := contract.AttemptID{Request: id.Request, N: allAttempts}
	if s.off&offOverflow != 0 {
		return "", false
	}
	found := s.refusedOverflow.has(now, id) || s.requestedOverflow.has(now, id) || s.requestedOverflow.has(now, all)
	if found {
		return contract.ReasonTombstone, true
	}
	return "", false
}

// AddRefusal adds the tombstone of an attempt that the gate refuses, unless the attempt
// has a record.
func (s *Store) AddRefusal(now time.Time, id contract.AttemptID, reason contract.Reason) {
	if s.Get(id) != nil {
		return
	}
	if s.refusedCount >= s.limits.MaxTombstones {
		s.refusedOverflow.add(now, id)
		return
	}
	s.refusedCount++
	s.addRecord(&Record{id: id, state: contract.AttemptNeverRan, reason: reason, received: true, expiresAt: now.Add(s.limits.RefusalRetention)})
}

// AddTombstone adds a tombstone that a sender requests for an attempt that has not
// started. Attempt number 0 stands for every attempt of the request that has not started
// yet.
func (s *Store) AddTombstone(now time.Time, id contract.AttemptID) {
	if r := s.Get(id); r != nil && (r.HasStarted() || r.requested) {
		return
	}
	if s.requestedCount >= s.limits.MaxTombstones {
		s.requestedOverflow.add(now, id)
		return
	}
	s.requestedCount++
	if r := s.Get(id); r != nil {
		s.refusedCount--
		r.requested = true
		r.expiresAt = later(r.expiresAt, now.Add(s.limits.TombstoneRetention))
		heap.Fix(&s.expiry, r.heapIndex)
		return
	}
	s.addRecord(&Record{
		id: id, state: contract.AttemptNeverRan, reason: contract.ReasonTombstone,
		requested: true, expiresAt: now.Add(s.limits.TombstoneRetention),
	})
}
