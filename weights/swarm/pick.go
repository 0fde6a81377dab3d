package swarm

import (
	"math/bits"
	"slices"
	"time"
)

// class tells requests apart by the links that they cross.
type class uint8

const (
	classLocal class = iota
	classRegion
	classOrigin
	classes
)

// fill starts as many requests as the bounds allow, by priority.
func (s *Swarm) fill() {
	for _, v := range s.versions {
		if v.whole() {
			continue
		}
		s.fillSlots(v)
		s.fillLocal(v)
	}
}

// localFlights counts the requests outstanding to peers of the region.
func (s *Swarm) localFlights() int {
	n := 0
	for _, v := range s.versions {
		for _, f := range v.flights {
			if f.class == classLocal {
				n++
			}
		}
	}
	return n
}

// fillLocal requests the rarest chunks that neighbours hold.
func (s *Swarm) fillLocal(v *version) {
	room := s.cfg.Downloads - s.localFlights()
	if room <= 0 {
		return
	}
	sources := s.usableNeighbours(v)
	for ; room > 0 && len(sources) > 0; room-- {
		i := s.rarest(v, sources)
		if i < 0 {
			s.endgame(v, sources)
			return
		}
		r := s.source(sources, i, nil)
		if !s.request(v, i, r.peer, classLocal) {
			return
		}
		if !r.peer.usable(s.now, s.cfg.PerPeer) {
			sources = slices.DeleteFunc(sources, func(o *remote) bool { return o == r })
		}
	}
}

func (s *Swarm) usableNeighbours(v *version) []*remote {
	var out []*remote
	for _, r := range v.neighbours {
		if r.peer.usable(s.now, s.cfg.PerPeer) && r.have.missingFrom(v.held) {
			out = append(out, r)
		}
	}
	return out
}

// rarest returns a chunk that a source holds and that the fewest neighbours
// hold, or -1. Ties go to the first one after a random place.
func (s *Swarm) rarest(v *version, sources []*remote) int {
	start := s.rng.IntN(len(v.held))
	best, bestAvail := -1, 0
	for k := range v.held {
		w := (start + k) % len(v.held)
		var word uint64
		for _, r := range sources {
			word |= r.have[w]
		}
		word &^= v.held[w] | v.asked[w]
		for ; word != 0; word &= word - 1 {
			i := w*wordBits + bits.TrailingZeros64(word)
			if best < 0 || int(v.avail[i]) < bestAvail {
				best, bestAvail = i, int(v.avail[i])
			}
		}
		if best >= 0 && (bestAvail <= 1 || !s.on(mechRarest)) {
			break
		}
	}
	return best
}

// source returns the least used source of chunk i that none of the flights asks
// for it; ties go to one at random.
func (s *Swarm) source(sources []*remote, i int, flights []*flight) *remote {
	var best *remote
	ties := 0
	for _, r := range sources {
		asks := func(f *flight) bool { return f.Index == i && f.peer == r.peer }
		if !r.have.has(i) || slices.ContainsFunc(flights, asks) {
			continue
		}
		switch {
		case best == nil || r.peer.flights < best.peer.flights:
			best, ties = r, 1
		case r.peer.flights == best.peer.flights:
			ties++
			if s.rng.IntN(ties) == 0 {
				best = r
			}
		}
	}
	return best
}

// endgame asks further sources for chunks that are late, one more for each time
// that a chunk usually takes twice over.
func (s *Swarm) endgame(v *version, sources []*remote) {
	if !s.on(mechEndgame) || v.heldCount+len(v.flights) < v.chunks {
		return
	}
	for _, f := range slices.Clone(v.flights) {
		if s.now < s.lateAt(v, f) || v.flightsOf(f.Index) >= endgameSources {
			continue
		}
		r := s.source(sources, f.Index, v.flights)
		if r != nil && r.peer.usable(s.now, s.cfg.PerPeer) {
			s.note(NoteEndgame, f.From)
			s.request(v, f.Index, r.peer, classLocal)
		}
	}
}

// lateAt is when a request's chunk may be asked of one more source.
func (s *Swarm) lateAt(v *version, f *flight) time.Duration {
	return f.start + time.Duration(v.flightsOf(f.Index))*endgameFactor*s.usual(v, classLocal)
}

// request starts one request if the download budget allows it.
func (s *Swarm) request(v *version, i int, p *peer, c class) bool {
	if p == nil && s.now < s.originTill {
		return false
	}
	if !s.takeAllowance(v.chunkBytes) {
		return false
	}
	f := &flight{Download: Download{Version: v.digest, Index: i}, peer: p, class: c, start: s.now}
	if p != nil {
		f.From = p.Machine
		p.flights++
	}
	f.deadline = s.now + s.patience(v, c)
	v.flights = append(v.flights, f)
	v.asked.set(i)
	s.emit(Request{f.Download})
	return true
}

// retryAt is when a request that could not be made may become possible.
func (s *Swarm) retryAt(v *version) time.Duration {
	next := s.allowance.readyAt(s.now)
	if s.originTill > s.now {
		next = min(next, s.originTill)
	}
	for _, list := range [][]*remote{v.neighbours, v.abroad} {
		for _, r := range list {
			if t := max(r.peer.busyTill, r.peer.avoidTill, r.peer.bannedTill); t > s.now && r.have.missingFrom(v.held) {
				next = min(next, t)
			}
		}
	}
	if s.on(mechEndgame) && v.heldCount+len(v.flights) >= v.chunks {
		for _, f := range v.flights {
			next = min(next, later(s.lateAt(v, f), s.now))
		}
	}
	return next
}
