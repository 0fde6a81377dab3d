package swarm

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// slot is a share of a version's chunks that one target of a region draws.
type slot struct {
	holder contract.MachineID
	// rank is the own place in the take-over order; 0 for the holder.
	rank int
	// upstream is the region to draw from; empty for the origin.
	upstream contract.RegionName
	// abroad names the slot's holders in the other regions.
	abroad []contract.MachineID
	// successors names the next ones in the take-over order, if the own target
	// is the holder.
	successors []contract.MachineID
	// lastNews is when a chunk of the slot was last seen for the first time.
	lastNews time.Duration
	// acting tells that the own target took the slot over and heard nothing of
	// the holder since.
	acting bool
	// detour tells that the upstream region was silent for longer than the
	// patience, and has told nothing since.
	detour bool
	// unseen counts the chunks that the region lacks, as far as is known.
	unseen int
	// gap is the smoothed time between news.
	gap time.Duration
	// patience is the jittered time without news after which rank 1 takes over.
	patience time.Duration
}

const (
	// takeOverGaps is how many usual gaps between news a slot may miss.
	takeOverGaps = 4
	// firstNewsFactor lengthens the patience before the first news of a slot,
	// when no gap is known yet.
	firstNewsFactor = 2
	// maxSlotsAtOnce bounds the own slots that are drawn for at the same time.
	maxSlotsAtOnce = 4
)

func (s *Swarm) rebuildSlots(v *version, region []contract.MachineID) {
	holders := SlotHolders(v.digest, s.cfg.Slots, region)
	abroad := s.holdersAbroad(v)
	v.ownSlots = 0
	for i := range v.slots {
		sl := &v.slots[i]
		sl.holder = holders[i]
		sl.acting = false
		sl.rank = slotRank(v.digest, i, s.cfg.Self.Machine, sl.holder, region)
		sl.successors = nil
		if sl.rank == 0 {
			v.ownSlots++
			sl.successors = successors(v.digest, i, sl.holder, region)
		}
		sl.upstream = s.upstream(v, i)
		sl.abroad = abroad[i]
		s.renew(sl)
	}
}

// holdersAbroad names for each slot its holders in the other regions.
func (s *Swarm) holdersAbroad(v *version) [][]contract.MachineID {
	out := make([][]contract.MachineID, s.cfg.Slots)
	for _, region := range s.regions {
		if region == s.cfg.Self.Region {
			continue
		}
		var targets []contract.MachineID
		for _, p := range s.peers {
			if p.Region == region {
				targets = append(targets, p.Machine)
			}
		}
		for i, m := range SlotHolders(v.digest, s.cfg.Slots, targets) {
			out[i] = append(out[i], m)
		}
	}
	return out
}

func (s *Swarm) upstream(v *version, slot int) contract.RegionName {
	order := regionOrder(v.digest, slot, s.cfg.OriginRegion, s.regions)
	at := slices.Index(order, s.cfg.Self.Region)
	if at <= 0 {
		return ""
	}
	return order[at-1]
}

// renew draws a new patience for a slot.
func (s *Swarm) renew(sl *slot) {
	if sl.gap == 0 {
		sl.patience = s.jitter(firstNewsFactor * s.cfg.TakeOverTimeout)
		return
	}
	sl.patience = s.jitter(max(s.cfg.TakeOverTimeout, takeOverGaps*sl.gap))
}

// news tells that chunk i was seen in the region for the first time, at another
// target or, if own, because it was drawn here.
func (s *Swarm) news(v *version, i int, own bool) {
	sl := &v.slots[v.slotOf(i)]
	sl.acting = sl.acting && own
	gap := s.now - sl.lastNews
	if sl.gap == 0 {
		sl.gap = gap
	}
	const smoothing = 4
	sl.gap += (gap - sl.gap) / smoothing
	sl.lastNews = s.now
	s.renew(sl)
}

// mayDraw reports whether the own target may draw a slot's chunks into the region.
func (s *Swarm) mayDraw(sl *slot) bool {
	if !s.on(mechSlots) || sl.rank == 0 || sl.acting {
		return true
	}
	return s.on(mechTakeOver) && s.now >= sl.takeOverAt()
}

func (sl *slot) takeOverAt() time.Duration {
	return sl.lastNews + time.Duration(sl.rank)*sl.patience
}

// nextTakeOver is when the own target may take a slot over or fall back.
func (v *version) nextTakeOver(now time.Duration) time.Duration {
	next := never
	for i := range v.slots {
		sl := &v.slots[i]
		t := sl.lastNews + max(time.Duration(sl.rank), 1)*sl.patience
		if sl.unseen > 0 && t > now {
			next = min(next, t)
		}
	}
	return next
}

// fillSlots requests chunks that the own target is to draw into the region, one
// of each slot in turn, so that all slots keep pace.
func (s *Swarm) fillSlots(v *version) {
	for idle := 0; idle < len(v.slots); {
		sl := &v.slots[v.turn]
		drawn := sl.unseen > 0 && s.mayDraw(sl) && s.slotRoom(v, sl) && s.drawNext(v, v.turn)
		v.turn = (v.turn + 1) % len(v.slots)
		idle++
		if drawn {
			idle = 0
		}
	}
}

// drawNext requests the first chunk of a slot that the region lacks.
func (s *Swarm) drawNext(v *version, k int) bool {
	sl := &v.slots[k]
	for i := k; i < v.chunks; i += len(v.slots) {
		if v.seen.has(i) || v.asked.has(i) || !s.drawInto(v, sl, i) {
			continue
		}
		if sl.rank > 0 {
			s.takeOver(sl)
		}
		return true
	}
	return false
}

// takeOver notes that the own target draws for a slot that it does not hold.
func (s *Swarm) takeOver(sl *slot) {
	if !sl.acting {
		s.note(NoteTakeOver, sl.holder)
	}
	sl.acting = true
	sl.lastNews = s.now
	s.renew(sl)
}

// slotRoom reports whether one more chunk may be drawn into the region.
func (s *Swarm) slotRoom(v *version, sl *slot) bool {
	n := 0
	for _, f := range v.flights {
		if f.class != classLocal {
			n++
		}
	}
	if sl.rank > 0 {
		return n < 1
	}
	return n < s.cfg.SlotDownloads*min(v.ownSlots, maxSlotsAtOnce)
}

// drawInto requests chunk i from the upstream region or the origin.
func (s *Swarm) drawInto(v *version, sl *slot, i int) bool {
	if sl.upstream == "" || len(s.regions) == 1 {
		return s.request(v, i, nil, classOrigin)
	}
	patient := s.on(mechTakeOver) && s.now < sl.lastNews+sl.patience
	sl.detour = sl.detour || !patient
	if r := s.holderAbroad(v, i, sl.upstream, !sl.detour); r != nil {
		return s.request(v, i, r.peer, classRegion)
	}
	if patient || !s.on(mechTakeOver) || s.anyAbroad(v, i) || s.askAbroad(v, sl) {
		return false
	}
	if s.request(v, i, nil, classOrigin) {
		s.note(NoteOriginFallback, "")
		return true
	}
	return false
}

// holderAbroad returns a usable peer of another region that holds chunk i, of
// the upstream region only while strict.
func (s *Swarm) holderAbroad(v *version, i int, upstream contract.RegionName, strict bool) *remote {
	var best *remote
	for _, r := range v.abroad {
		if !r.have.has(i) || !r.peer.usable(s.now, s.cfg.SlotDownloads) {
			continue
		}
		if r.peer.Region != upstream && (strict || best != nil) {
			continue
		}
		if best == nil || best.peer.Region != upstream || r.peer.flights < best.peer.flights {
			best = r
		}
	}
	return best
}

// askAbroad greets the slot's holders in the other regions, which then tell
// what they hold. It reports whether there was one to greet.
func (s *Swarm) askAbroad(v *version, sl *slot) bool {
	asked := false
	for _, m := range sl.abroad {
		p := s.byName[m]
		if p == nil || !p.alive(s.now) {
			continue
		}
		if r := s.remoteFor(v, p); r != nil && !r.greeted {
			s.sendHave(v, r)
			asked = true
		}
	}
	if asked {
		sl.lastNews = s.now - time.Duration(max(sl.rank, 1)-1)*sl.patience
	}
	return asked
}

// anyAbroad reports whether a peer that is alive in another region holds chunk i.
func (s *Swarm) anyAbroad(v *version, i int) bool {
	return slices.ContainsFunc(v.abroad, func(r *remote) bool {
		return r.have.has(i) && r.peer.alive(s.now) && s.now >= r.peer.bannedTill
	})
}
