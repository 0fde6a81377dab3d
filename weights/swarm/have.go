package swarm

import (
	"cmp"
	"slices"
	"time"
)

const (
	// haveOverheadBytes is the size of a Have message on the wire besides the bitmap.
	haveOverheadBytes = 120
	// maxNeighbours bounds the peers that are kept besides those of the topology.
	maxNeighbours = 48
)

func (s *Swarm) haveReceived(e HaveReceived) {
	v := s.version(e.Version)
	p := s.byName[e.From]
	if v == nil || p == nil {
		return
	}
	r := s.remoteFor(v, p)
	if r == nil || e.Epoch < r.epoch {
		s.note(NoteBadHave, e.From)
		return
	}
	if e.Epoch > r.epoch && s.on(mechEpoch) {
		s.restarted(v, r)
	}
	r.epoch = e.Epoch
	abroad := p.Region != s.cfg.Self.Region
	if len(e.Bitmap) == 0 && v.heldCount > 0 {
		copy(r.told, r.have)
		s.sendHave(v, r)
	}
	sound := !p.doubtful(s.now)
	ok := r.have.addBytes(e.First, v.chunks, e.Bitmap, func(i int) {
		r.told.set(i)
		switch sl := &v.slots[v.slotOf(i)]; {
		case abroad:
			sl.detour = sl.detour && p.Region != sl.upstream
		case sound:
			s.seenAt(v, i)
		}
	})
	if !ok {
		s.note(NoteBadHave, e.From)
		s.distrust(p, trustCorrupt)
	}
}

// seenAt counts one more neighbour with chunk i.
func (s *Swarm) seenAt(v *version, i int) {
	v.avail[i]++
	if !v.seen.has(i) {
		v.see(i)
		s.news(v, i, false)
	}
}

// restarted forgets what a peer's former process held.
func (s *Swarm) restarted(v *version, r *remote) {
	clear(r.have)
	clear(r.told)
	r.peer.strikes = 0
	v.recount(s.now)
	s.flushSoon(0)
}

// remoteFor returns the record of a peer, and makes one within the bounds.
func (s *Swarm) remoteFor(v *version, p *peer) *remote {
	list := &v.neighbours
	if p.Region != s.cfg.Self.Region {
		list = &v.abroad
	}
	if r := v.find(*list, p); r != nil {
		return r
	}
	if len(*list) >= maxNeighbours {
		return nil
	}
	r := newRemote(v, p, false)
	*list = append(*list, r)
	return r
}

// announce schedules news of chunk i: at once if no neighbour holds it, and to
// the slot's holders in the other regions.
func (s *Swarm) announce(v *version, i int, drawn bool) {
	wait := s.cfg.HaveInterval
	if v.avail[i] == 0 {
		wait = 0
	}
	s.flushSoon(wait)
	sl := &v.slots[v.slotOf(i)]
	if drawn || sl.rank == 0 {
		s.announceSlot(v, sl)
	}
}

func (s *Swarm) flushSoon(wait time.Duration) {
	s.flushAt = min(s.flushAt, s.now+wait)
}

// announceSlot tells the holders of a slot in the other regions, and those who
// would take the slot over, what is held.
func (s *Swarm) announceSlot(v *version, sl *slot) {
	for _, m := range slices.Concat(sl.abroad, sl.successors) {
		p := s.byName[m]
		if p == nil {
			continue
		}
		if r := s.remoteFor(v, p); r != nil && v.held.missingFrom(r.told) {
			s.sendHave(v, r)
		}
	}
}

// haveFailed makes sure that a peer which was not reached is told again.
func (s *Swarm) haveFailed(e HaveFailed) {
	v := s.version(e.Version)
	p := s.byName[e.To]
	if v == nil || p == nil {
		return
	}
	s.suspect(p)
	for _, list := range [][]*remote{v.neighbours, v.abroad} {
		if r := v.find(list, p); r != nil {
			copy(r.told, r.have)
			r.greeted = false
			r.owed = true
		}
	}
	s.flushAt = min(s.flushAt, p.avoidTill)
}

// flush tells the neighbours what they do not know yet, within the control bound.
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
	for _, r := range v.abroad {
		if r.owed && r.peer.alive(s.now) {
			s.sendHave(v, r)
		}
	}
	due := slices.Clone(v.neighbours)
	due = slices.DeleteFunc(due, func(r *remote) bool { return !r.ring || !s.owes(v, r) })
	slices.SortStableFunc(due, func(a, b *remote) int { return cmp.Compare(a.toldAt, b.toldAt) })
	for _, r := range due {
		if s.on(mechControlBound) && !s.controlRoom() {
			s.flushAt = s.control.readyAt(s.now)
			return
		}
		s.sendHave(v, r)
	}
}

// owes reports whether a peer should be told something: what it lacks, or, at
// first, that the own target is there and wants to be told.
func (s *Swarm) owes(v *version, r *remote) bool {
	if !r.peer.alive(s.now) {
		return false
	}
	return v.held.missingFrom(r.told) || (!r.greeted && !v.whole())
}

func (s *Swarm) controlRoom() bool {
	s.control.refill(s.now)
	return s.control.level > 0
}

// sendHave tells one peer all that it was not told yet.
func (s *Swarm) sendHave(v *version, r *remote) {
	fresh := slices.Clone(v.held)
	for w := range fresh {
		fresh[w] &^= r.told[w]
	}
	first, data := fresh.span()
	r.told.or(fresh)
	r.greeted, r.owed = true, false
	r.toldAt = s.now
	s.control.take(s.now, haveOverheadBytes+len(data))
	s.emit(SendHave{To: r.peer.Machine, Version: v.digest, Epoch: s.cfg.Epoch, First: first, Bitmap: data})
}
