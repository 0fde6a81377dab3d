package swarm

import (
	"slices"
	"time"
)

const (
	originRetryDelay    = 250 * time.Millisecond
	maxOriginRetryDelay = 15 * time.Second
)

// findInflight returns the outstanding request for a download, or nil.
func (v *version) findInflight(d Download) *inflightRequest {
	for _, f := range v.inflight {
		if f.Download == d {
			return f
		}
	}
	return nil
}

// inflightCount returns the number of outstanding requests for chunk i.
func (v *version) inflightCount(i int) int {
	n := 0
	for _, f := range v.inflight {
		if f.Index == i {
			n++
		}
	}
	return n
}

// removeInflight removes a request that has ended.
func (s *Swarm) removeInflight(v *version, f *inflightRequest) {
	if f.peer != nil {
		f.peer.inflight--
	}
	v.inflight = slices.DeleteFunc(v.inflight, func(o *inflightRequest) bool { return o == f })
	if v.inflightCount(f.Index) == 0 {
		v.requested.clear(f.Index)
	}
}

// cancelWhere cancels the requests for which match returns true.
func (s *Swarm) cancelWhere(v *version, match func(*inflightRequest) bool) {
	for _, f := range slices.Clone(v.inflight) {
		if match(f) {
			s.emit(CancelRequest{f.Download})
			s.removeInflight(v, f)
		}
	}
}

func (s *Swarm) handleChunkVerified(d Download) {
	v := s.findVersion(d.Version)
	if v == nil || d.Index < 0 || d.Index >= v.chunks {
		s.note(NoteUnrequested, d.From)
		return
	}
	f := v.findInflight(d)
	if f == nil {
		s.note(NoteUnrequested, d.From)
		return
	}
	v.latency.observe(f.class, s.now-f.start)
	if f.peer != nil {
		s.recordSuccess(f.peer)
	} else {
		s.originFailures = 0
	}
	s.removeInflight(v, f)
	s.cancelWhere(v, func(o *inflightRequest) bool { return o.Index == d.Index })
	s.addChunk(v, d.Index, f.class != classLocal)
}

// addChunk adds a verified chunk; fromOutside means that it came from outside the region.
func (s *Swarm) addChunk(v *version, i int, fromOutside bool) {
	if v.held.has(i) {
		return
	}
	v.held.set(i)
	v.heldCount++
	if !v.regionHeld.has(i) {
		v.markHeldInRegion(i)
		s.recordProgress(v, i, true)
	}
	s.announceChunk(v, i, fromOutside)
	if v.isComplete() {
		s.emit(VersionComplete{Version: v.digest})
	}
}

func (s *Swarm) handleChunkFailed(d Download, cause Failure) {
	v := s.findVersion(d.Version)
	if v == nil {
		return
	}
	f := v.findInflight(d)
	if f == nil {
		s.note(NoteUnrequested, d.From)
		return
	}
	s.removeInflight(v, f)
	if f.peer == nil {
		s.handleOriginFailure(cause)
		return
	}
	s.handlePeerFailure(v, f, cause)
}

// handleOriginFailure counts a corrupt chunk or one of wrong size from the origin; after any
// other failure, it backs off from the origin.
func (s *Swarm) handleOriginFailure(cause Failure) {
	if cause == FailureCorrupt || cause == FailureSize {
		s.note(NoteCorrupt, "")
		return
	}
	s.backOffOrigin()
}

// backOffOrigin makes no requests to the origin for a time that doubles with each
// consecutive failure.
func (s *Swarm) backOffOrigin() {
	d := min(originRetryDelay<<min(s.originFailures, 6), maxOriginRetryDelay)
	s.originFailures++
	s.originRetryAt = s.now + s.jitter(d)
}

func (s *Swarm) handlePeerFailure(v *version, f *inflightRequest, cause Failure) {
	p := f.peer
	switch cause {
	case FailureBusy:
		p.busyUntil = s.now + s.jitter(2*s.typicalLatency(v, f.class))
	case FailureMissing:
		s.note(NoteMissing, p.Machine)
		s.removeHolding(v, f)
		p.busyUntil = s.now + s.jitter(2*s.typicalLatency(v, f.class))
		s.reduceTrust(p, missingChunkPenalty)
	case FailureCorrupt:
		s.note(NoteCorrupt, p.Machine)
		s.reduceTrust(p, corruptChunkPenalty)
	case FailureSize:
		s.note(NoteSize, p.Machine)
		s.reduceTrust(p, corruptChunkPenalty)
	case FailureLink:
		s.suspect(p)
	}
}

// removeHolding removes a chunk from the record of what a peer holds, because the peer
// reported it as missing.
func (s *Swarm) removeHolding(v *version, f *inflightRequest) {
	for _, list := range [][]*peerHoldings{v.neighbours, v.remotePeers} {
		if r := v.findHoldings(list, f.peer); r != nil {
			r.have.clear(f.Index)
		}
	}
	v.recount(s.now)
}

// cancelStalled cancels the requests that are past their deadline.
func (s *Swarm) cancelStalled() {
	for _, v := range s.versions {
		for _, f := range slices.Clone(v.inflight) {
			if s.now < f.deadline {
				continue
			}
			s.emit(CancelRequest{f.Download})
			s.removeInflight(v, f)
			s.note(NoteStalled, f.From)
			v.latency.recordStall(f.class)
			if f.peer != nil {
				s.suspect(f.peer)
			} else {
				s.backOffOrigin()
			}
		}
	}
}

// nextDeadline returns the earliest deadline of a version's requests.
func (s *Swarm) nextDeadline(v *version) time.Duration {
	next := never
	for _, f := range v.inflight {
		next = min(next, f.deadline)
	}
	return next
}
