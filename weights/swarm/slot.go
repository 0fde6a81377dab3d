package swarm

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// slot is the share of a version's chunks that one target downloads into its region.
type slot struct {
	holder contract.MachineID
	// rank is the own position in the take-over order; 0 for the holder.
	rank int
	// upstream is the region to download from; empty for the origin.
	upstream contract.RegionName
	// remoteHolders are the slot's holders in the other regions.
	remoteHolders []contract.MachineID
	// successors are the next targets in the take-over order. They are set only if the
	// own target is the holder.
	successors []contract.MachineID
	// lastProgress is when a chunk of the slot last became known to be held in the
	// region. A take-over and a request to the remote holders reset it as well.
	lastProgress time.Duration
	// actingHolder means that the own target has taken the slot over and that no chunk of
	// the slot has appeared at another target since.
	actingHolder bool
	// bypassUpstream means that the slot made no progress for longer than timeout and that
	// no peer of the upstream region has announced a new chunk of the slot since.
	bypassUpstream bool
	// missing counts the chunks that are not known to be held in the region.
	missing int
	// interval is the smoothed time between two chunks.
	interval time.Duration
	// timeout is the jittered time without progress after which the target of rank 1
	// takes over.
	timeout time.Duration
}

const (
	// takeOverIntervals is the number of smoothed intervals that a slot may go without
	// progress.
	takeOverIntervals = 4
	// firstTimeoutFactor lengthens the timeout before the first progress of a slot, when
	// no interval is known yet.
	firstTimeoutFactor = 2
	// maxSlotsAtOnce limits the own slots whose chunks are downloaded at the same time.
	maxSlotsAtOnce = 4
)

// rebuildSlots computes the slots of a version after the list of targets changed. region
// contains the targets of the own region.
func (s *Swarm) rebuildSlots(v *version, region []contract.MachineID) {
	holders := SlotHolders(v.digest, s.cfg.Slots, region)
	remoteHolders := s.remoteSlotHolders(v)
	v.ownSlots = 0
	for i := range v.slots {
		sl := &v.slots[i]
		sl.holder = holders[i]
		sl.actingHolder = false
		sl.rank = slotRank(v.digest, i, s.cfg.Self.Machine, sl.holder, region)
		sl.successors = nil
		if sl.rank == 0 {
			v.ownSlots++
			sl.successors = successors(v.digest, i, sl.holder, region)
		}
		sl.upstream = s.upstreamRegion(v, i)
		sl.remoteHolders = remoteHolders[i]
		s.renewTimeout(sl)
	}
}

// remoteSlotHolders returns the holders of each slot in the other regions.
func (s *Swarm) remoteSlotHolders(v *version) [][]contract.MachineID {
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

// upstreamRegion returns the region from which the own region downloads a slot, or "" for
// the origin.
func (s *Swarm) upstreamRegion(v *version, slot int) contract.RegionName {
	order := regionOrder(v.digest, slot, s.cfg.OriginRegion, s.regions)
	index := slices.Index(order, s.cfg.Self.Region)
	if index <= 0 {
		return ""
	}
	return order[index-1]
}

// renewTimeout sets a new jittered timeout for a slot.
func (s *Swarm) renewTimeout(sl *slot) {
	if sl.interval == 0 {
		sl.timeout = s.jitter(firstTimeoutFactor * s.cfg.TakeOverTimeout)
		return
	}
	sl.timeout = s.jitter(max(s.cfg.TakeOverTimeout, takeOverIntervals*sl.interval))
}

// recordProgress records that chunk i has become known to be held in the region: by another
// target or, if bySelf is set, by the own target.
func (s *Swarm) recordProgress(v *version, i int, bySelf bool) {
	sl := &v.slots[v.slotOf(i)]
	sl.actingHolder = sl.actingHolder && bySelf
	interval := s.now - sl.lastProgress
	if sl.interval == 0 {
		sl.interval = interval
	}
	const smoothing = 4
	sl.interval += (interval - sl.interval) / smoothing
	sl.lastProgress = s.now
	s.renewTimeout(sl)
}

// mayDownload reports whether the own target may download a slot's chunks into the region.
func (s *Swarm) mayDownload(sl *slot) bool {
	if !s.isEnabled(mechSlots) || sl.rank == 0 || sl.actingHolder {
		return true
	}
	return s.isEnabled(mechTakeOver) && s.now >= sl.takeOverAt()
}

func (sl *slot) takeOverAt() time.Duration {
	return sl.lastProgress + time.Duration(sl.rank)*sl.timeout
}

// nextTakeOver returns when the own target may next take a slot over or stop waiting for the
// upstream region.
func (v *version) nextTakeOver(now time.Duration) time.Duration {
	next := never
	for i := range v.slots {
		sl := &v.slots[i]
		t := sl.lastProgress + max(time.Duration(sl.rank), 1)*sl.timeout
		if sl.missing > 0 && t > now {
			next = min(next, t)
		}
	}
	return next
}

// requestForSlots requests the chunks that the own target is to download into the region.
// It takes one chunk of each slot in turn, so that all slots advance evenly.
func (s *Swarm) requestForSlots(v *version) {
	for idle := 0; idle < len(v.slots); {
		sl := &v.slots[v.nextSlot]
		started := sl.missing > 0 && s.mayDownload(sl) && s.hasSlotCapacity(v, sl) && s.requestNextChunk(v, v.nextSlot)
		v.nextSlot = (v.nextSlot + 1) % len(v.slots)
		idle++
		if started {
			idle = 0
		}
	}
}

// requestNextChunk requests the first chunk of slot k that is missing in the region and can
// be requested. It reports whether there is one.
func (s *Swarm) requestNextChunk(v *version, k int) bool {
	sl := &v.slots[k]
	for i := k; i < v.chunks; i += len(v.slots) {
		if v.regionHeld.has(i) || v.requested.has(i) || !s.requestIntoRegion(v, sl, i) {
			continue
		}
		if sl.rank > 0 {
			s.recordTakeOver(sl)
		}
		return true
	}
	return false
}

// recordTakeOver records that the own target downloads chunks of a slot that it does not
// hold.
func (s *Swarm) recordTakeOver(sl *slot) {
	if !sl.actingHolder {
		s.note(NoteTakeOver, sl.holder)
	}
	sl.actingHolder = true
	sl.lastProgress = s.now
	s.renewTimeout(sl)
}

// hasSlotCapacity reports whether one more chunk may be downloaded into the region.
func (s *Swarm) hasSlotCapacity(v *version, sl *slot) bool {
	n := 0
	for _, f := range v.inflight {
		if f.class != classLocal {
			n++
		}
	}
	if sl.rank > 0 {
		return n < 1
	}
	return n < s.cfg.SlotDownloads*min(v.ownSlots, maxSlotsAtOnce)
}

// requestIntoRegion requests chunk i from the upstream region or the origin. Once the slot's
// timeout has passed, it also uses other regions and, if no other region holds the chunk,
// falls back to the origin. It reports whether a request was made.
func (s *Swarm) requestIntoRegion(v *version, sl *slot, i int) bool {
	if sl.upstream == "" || len(s.regions) == 1 {
		return s.startRequest(v, i, nil, classOrigin)
	}
	waiting := s.isEnabled(mechTakeOver) && s.now < sl.lastProgress+sl.timeout
	sl.bypassUpstream = sl.bypassUpstream || !waiting
	if r := s.remoteSource(v, i, sl.upstream, !sl.bypassUpstream); r != nil {
		return s.startRequest(v, i, r.peer, classRegion)
	}
	if waiting || !s.isEnabled(mechTakeOver) || s.isHeldRemotely(v, i) || s.greetRemoteHolders(v, sl) {
		return false
	}
	if s.startRequest(v, i, nil, classOrigin) {
		s.note(NoteOriginFallback, "")
		return true
	}
	return false
}

// remoteSource returns a usable peer of another region that holds chunk i, preferably one of
// the upstream region, and no other one if upstreamOnly is set.
func (s *Swarm) remoteSource(v *version, i int, upstream contract.RegionName, upstreamOnly bool) *peerHoldings {
	var best *peerHoldings
	for _, r := range v.remotePeers {
		if !r.have.has(i) || !r.peer.isUsable(s.now, s.cfg.SlotDownloads) {
			continue
		}
		if r.peer.Region != upstream && (upstreamOnly || best != nil) {
			continue
		}
		if best == nil || best.peer.Region != upstream || r.peer.inflight < best.peer.inflight {
			best = r
		}
	}
	return best
}

// greetRemoteHolders sends a Have to those of the slot's holders in the other regions that
// have not received one yet. It reports whether there was one.
func (s *Swarm) greetRemoteHolders(v *version, sl *slot) bool {
	greeted := false
	for _, m := range sl.remoteHolders {
		p := s.byName[m]
		if p == nil || !p.isReachable(s.now) {
			continue
		}
		if r := s.holdingsFor(v, p); r != nil && !r.greeted {
			s.sendHave(v, r)
			greeted = true
		}
	}
	if greeted {
		sl.lastProgress = s.now - time.Duration(max(sl.rank, 1)-1)*sl.timeout
	}
	return greeted
}

// isHeldRemotely reports whether a reachable peer of another region that is not banned holds
// chunk i.
func (s *Swarm) isHeldRemotely(v *version, i int) bool {
	return slices.ContainsFunc(v.remotePeers, func(r *peerHoldings) bool {
		return r.have.has(i) && r.peer.isReachable(s.now) && s.now >= r.peer.bannedUntil
	})
}
