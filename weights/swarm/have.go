package swarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// haveOverheadBytes is the size of a Have message on the wire without the bitmap.
	haveOverheadBytes = 120
	// maxHoldings limits the records of peers in the region, and of peers in other
	// regions. Beyond it, only peers chosen by the topology get a record.
	maxHoldings = 48
)

// handleHaveReceived records the chunks that a peer holds. A Have without chunks asks for
// the chunks held here, which are then announced to the peer.
func (s *Swarm) handleHaveReceived(e HaveReceived) {
	v := s.findVersion(e.Version)
	p := s.byName[e.From]
	if v == nil || p == nil {
		return
	}
	r := s.holdingsFor(v, p)
	if r == nil || e.Epoch < r.epoch {
		s.note(NoteBadHave, e.From)
		return
	}
	if e.Epoch > r.epoch && s.isEnabled(mechEpoch) {
		s.resetHoldings(v, r)
	}
	r.epoch = e.Epoch
	isRemote := p.Region != s.cfg.Self.Region
	if len(e.Bitmap) == 0 && v.heldCount > 0 {
		copy(r.announced, r.have)
		s.sendHave(v, r)
	}
	isReliable := !p.isDoubtful(s.now)
	ok := r.have.addBytes(e.First, v.chunks, e.Bitmap, func(i int) {
		r.announced.set(i)
		switch sl := &v.slots[v.slotOf(i)]; {
		case isRemote:
			sl.bypassUpstream = sl.bypassUpstream && p.Region != sl.upstream
		case isReliable:
			s.recordNeighbourChunk(v, i)
		}
	})
	if !ok {
		s.note(NoteBadHave, e.From)
		s.reduceTrust(p, corruptChunkPenalty)
	}
}

// recordNeighbourChunk counts one more neighbour that holds chunk i.
func (s *Swarm) recordNeighbourChunk(v *version, i int) {
	v.availability[i]++
	if !v.regionHeld.has(i) {
		v.markHeldInRegion(i)
		s.recordProgress(v, i, false)
	}
}

// resetHoldings removes the record of what the former process of a restarted peer held.
func (s *Swarm) resetHoldings(v *version, r *peerHoldings) {
	clear(r.have)
	clear(r.announced)
	r.peer.failures = 0
	v.recount(s.now)
	s.scheduleFlush(0)
}

// holdingsFor returns the record of a peer. If there is none, it adds one, or returns nil
// if the limit is reached.
func (s *Swarm) holdingsFor(v *version, p *peer) *peerHoldings {
	list := &v.neighbours
	if p.Region != s.cfg.Self.Region {
		list = &v.remotePeers
	}
	if r := v.findHoldings(*list, p); r != nil {
		return r
	}
	if len(*list) >= maxHoldings {
		return nil
	}
	r := newPeerHoldings(v, p, false)
	*list = append(*list, r)
	return r
}

// announceChunk schedules the announcement of chunk i to the neighbours, without delay if no
// neighbour holds it. If the chunk came from outside the region or the own target holds the
// slot, it also announces the held chunks to the slot's holders in the other regions and to
// the slot's successors.
func (s *Swarm) announceChunk(v *version, i int, fromOutside bool) {
	wait := s.cfg.HaveInterval
	if v.availability[i] == 0 {
		wait = 0
	}
	s.scheduleFlush(wait)
	sl := &v.slots[v.slotOf(i)]
	if fromOutside || sl.rank == 0 {
		s.announceSlot(v, sl)
	}
}

func (s *Swarm) scheduleFlush(wait time.Duration) {
	s.flushAt = min(s.flushAt, s.now+wait)
}

// announceSlot announces the held chunks to the holders of a slot in the other regions and
// to the targets that would take the slot over.
func (s *Swarm) announceSlot(v *version, sl *slot) {
	for _, m := range slices.Concat(sl.remoteHolders, sl.successors) {
		p := s.byName[m]
		if p == nil {
			continue
		}
		if r := s.holdingsFor(v, p); r != nil && v.held.missingFrom(r.announced) {
			s.sendHave(v, r)
		}
	}
}

// handleHaveFailed marks all chunks as not announced to a peer that was not reached, so that
// they are announced again, and avoids the peer for a while.
func (s *Swarm) handleHaveFailed(e HaveFailed) {
	v := s.findVersion(e.Version)
	p := s.byName[e.To]
	if v == nil || p == nil {
		return
	}
	s.suspect(p)
	for _, list := range [][]*peerHoldings{v.neighbours, v.remotePeers} {
		if r := v.findHoldings(list, p); r != nil {
			copy(r.announced, r.have)
			r.greeted = false
			r.resend = true
		}
	}
	s.flushAt = min(s.flushAt, p.avoidUntil)
}

// flush sends the pending Have messages if they are due. Those to neighbours stay within
// the control limit.
func (s *Swarm) flush() {
	if s.now < s.flushAt {
		return
	}
	s.flushAt = never
	for _, v := range s.versions {
		s.flushVersion(v)
	}
}

func (s *Swarm) flushVersion(v *version) {
	for _, r := range v.remotePeers {
		if r.resend && r.peer.isReachable(s.now) {
			s.sendHave(v, r)
		}
	}
	due := slices.Clone(v.neighbours)
	due = slices.DeleteFunc(due, func(r *peerHoldings) bool { return !r.inTopology || !s.needsHave(v, r) })
	slices.SortStableFunc(due, func(a, b *peerHoldings) int { return cmp.Compare(a.announcedAt, b.announcedAt) })
	for _, r := range due {
		if s.isEnabled(mechControlBound) && !s.hasControlAllowance() {
			s.flushAt = s.controlAllowance.readyAt(s.now)
			return
		}
		s.sendHave(v, r)
	}
}

// needsHave reports whether a Have should be sent to a peer: to announce chunks, or, as the
// first message while the version is incomplete, to request what the peer holds.
func (s *Swarm) needsHave(v *version, r *peerHoldings) bool {
	if !r.peer.isReachable(s.now) {
		return false
	}
	return v.held.missingFrom(r.announced) || (!r.greeted && !v.isComplete())
}

func (s *Swarm) hasControlAllowance() bool {
	s.controlAllowance.refill(s.now)
	return s.controlAllowance.level > 0
}

// sendHave announces to one peer all held chunks that have not been announced to it yet.
func (s *Swarm) sendHave(v *version, r *peerHoldings) {
	unannounced := slices.Clone(v.held)
	for w := range unannounced {
		unannounced[w] &^= r.announced[w]
	}
	first, data := unannounced.span()
	r.announced.or(unannounced)
	r.greeted, r.resend = true, false
	r.announcedAt = s.now
	s.controlAllowance.spend(s.now, haveOverheadBytes+len(data))
	s.emit(SendHave{To: r.peer.Machine, Version: v.digest, Epoch: s.cfg.Epoch, First: first, Bitmap: data})
}
