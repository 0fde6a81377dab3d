package swarm

import (
	"math/bits"
	"slices"
	"time"
)

// class is the class of a request by the links that it crosses.
type class uint8

const (
	classLocal class = iota
	classRegion
	classOrigin
	classCount
)

// startRequests starts as many requests as the limits allow, in order of priority.
func (s *Swarm) startRequests() {
	for _, v := range s.versions {
		if v.isComplete() {
			continue
		}
		s.requestForSlots(v)
		s.requestFromNeighbours(v)
	}
}

// localInflight returns the number of outstanding requests to peers of the region.
func (s *Swarm) localInflight() int {
	n := 0
	for _, v := range s.versions {
		for _, f := range v.inflight {
			if f.class == classLocal {
				n++
			}
		}
	}
	return n
}

// requestFromNeighbours requests the rarest chunks that neighbours hold.
func (s *Swarm) requestFromNeighbours(v *version) {
	available := s.cfg.Downloads - s.localInflight()
	if available <= 0 {
		return
	}
	sources := s.usableNeighbours(v)
	for ; available > 0 && len(sources) > 0; available-- {
		i := s.rarestChunk(v, sources)
		if i < 0 {
			s.endgame(v, sources)
			return
		}
		r := s.leastUsedSource(sources, i, nil)
		if !s.startRequest(v, i, r.peer, classLocal) {
			return
		}
		if !r.peer.isUsable(s.now, s.cfg.PerPeer) {
			sources = slices.DeleteFunc(sources, func(o *peerHoldings) bool { return o == r })
		}
	}
}

func (s *Swarm) usableNeighbours(v *version) []*peerHoldings {
	var out []*peerHoldings
	for _, r := range v.neighbours {
		if r.peer.isUsable(s.now, s.cfg.PerPeer) && r.have.missingFrom(v.held) {
			out = append(out, r)
		}
	}
	return out
}

// rarestChunk returns the chunk, among those that a source holds, that the fewest
// neighbours hold, or -1 if there is none. Ties go to the first chunk after a random
// position.
func (s *Swarm) rarestChunk(v *version, sources []*peerHoldings) int {
	start := s.rng.IntN(len(v.held))
	best, bestAvailability := -1, 0
	for k := range v.held {
		w := (start + k) % len(v.held)
		var word uint64
		for _, r := range sources {
			word |= r.have[w]
		}
		word &^= v.held[w] | v.requested[w]
		for ; word != 0; word &= word - 1 {
			i := w*wordBits + bits.TrailingZeros64(word)
			if best < 0 || int(v.availability[i]) < bestAvailability {
				best, bestAvailability = i, int(v.availability[i])
			}
		}
		if best >= 0 && (bestAvailability <= 1 || !s.isEnabled(mechRarest)) {
			break
		}
	}
	return best
}

// leastUsedSource returns the source of chunk i with the fewest outstanding requests, or
// nil. It leaves out the sources from which an element of inflight already requests the
// chunk. Ties are broken at random.
func (s *Swarm) leastUsedSource(sources []*peerHoldings, i int, inflight []*inflightRequest) *peerHoldings {
	var best *peerHoldings
	ties := 0
	for _, r := range sources {
		isRequestedFrom := func(f *inflightRequest) bool { return f.Index == i && f.peer == r.peer }
		if !r.have.has(i) || slices.ContainsFunc(inflight, isRequestedFrom) {
			continue
		}
		switch {
		case best == nil || r.peer.inflight < best.peer.inflight:
			best, ties = r, 1
		case r.peer.inflight == best.peer.inflight:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

// endgame requests late chunks from further sources once all missing chunks are requested.
// A chunk gets one more source each time that another endgameFactor times the typical
// latency has passed.
func (s *Swarm) endgame(v *version, sources []*peerHoldings) {
	if !s.isEnabled(mechEndgame) || v.heldCount+len(v.inflight) < v.chunks {
		return
	}
	for _, f := range slices.Clone(v.inflight) {
		if s.now < s.lateAt(v, f) || v.inflightCount(f.Index) >= endgameSources {
			continue
		}
		r := s.leastUsedSource(sources, f.Index, v.inflight)
		if r != nil && r.peer.isUsable(s.now, s.cfg.PerPeer) {
			s.note(NoteEndgame, f.From)
			s.startRequest(v, f.Index, r.peer, classLocal)
		}
	}
}

// lateAt returns when a request's chunk may be requested from one more source.
func (s *Swarm) lateAt(v *version, f *inflightRequest) time.Duration {
	return f.start + time.Duration(v.inflightCount(f.Index))*endgameFactor*s.typicalLatency(v, classLocal)
}

// startRequest requests chunk i from a peer, or from the origin if p is nil, if the download
// budget and the back-off of the origin allow it. It reports whether it did.
func (s *Swarm) startRequest(v *version, i int, p *peer, c class) bool {
	if p == nil && s.now < s.originRetryAt {
		return false
	}
	if !s.spendDownloadAllowance(v.chunkBytes) {
		return false
	}
	f := &inflightRequest{Download: Download{Version: v.digest, Index: i}, peer: p, class: c, start: s.now}
	if p != nil {
		f.From = p.Machine
		p.inflight++
	}
	f.deadline = s.now + s.requestTimeout(v, c)
	v.inflight = append(v.inflight, f)
	v.requested.set(i)
	s.emit(Request{f.Download})
	return true
}

// nextRetry returns when a request that could not be made may become possible.
func (s *Swarm) nextRetry(v *version) time.Duration {
	next := s.downloadAllowance.readyAt(s.now)
	if s.originRetryAt > s.now {
		next = min(next, s.originRetryAt)
	}
	for _, list := range [][]*peerHoldings{v.neighbours, v.remotePeers} {
		for _, r := range list {
			if t := max(r.peer.busyUntil, r.peer.avoidUntil, r.peer.bannedUntil); t > s.now && r.have.missingFrom(v.held) {
				next = min(next, t)
			}
		}
	}
	if s.isEnabled(mechEndgame) && v.heldCount+len(v.inflight) >= v.chunks {
		for _, f := range v.inflight {
			next = min(next, ifFuture(s.lateAt(v, f), s.now))
		}
	}
	return next
}
