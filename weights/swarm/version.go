package swarm

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// version is the state of one desired version.
type version struct {
	digest     contract.Digest
	chunks     int
	chunkBytes int
	priority   int

	held      bitmap
	heldCount int
	// requested contains the chunks with an outstanding request.
	requested bitmap
	inflight  []*inflightRequest
	// regionHeld contains the chunks that are known to be held in the region.
	regionHeld bitmap
	// availability counts, for each chunk, the neighbours that hold it.
	availability []uint16
	// servedCounts counts, for each chunk, how often it has been served to a peer.
	servedCounts []uint16

	neighbours []*peerHoldings
	// remotePeers holds the records of peers in other regions.
	remotePeers []*peerHoldings
	slots       []slot
	// ownSlots is the number of slots that the own target holds.
	ownSlots int
	// nextSlot is the slot whose chunks are requested next.
	nextSlot int
	latency  latency
}

// peerHoldings records what one peer holds of one version.
type peerHoldings struct {
	peer  *peer
	epoch uint64
	have  bitmap
	// announced contains the chunks that were announced to the peer or that it holds.
	announced bitmap
	// greeted means that a Have has been sent to the peer since one last failed to reach
	// it.
	greeted bool
	// announcedAt is when a Have was last sent to the peer.
	announcedAt time.Duration
	// resend means that a Have did not reach the peer and is to be sent again.
	resend bool
	// inTopology means that the peer was chosen by the topology. Other peers got a record
	// because they sent a Have or hold a slot.
	inTopology bool
}

// inflightRequest is one outstanding request.
type inflightRequest struct {
	Download
	// peer is nil for the origin.
	peer     *peer
	class    class
	start    time.Duration
	deadline time.Duration
}

func newVersion(e DesiredVersion, slots int, now time.Duration) *version {
	v := &version{
		digest: e.Version, chunks: e.Chunks, chunkBytes: e.ChunkBytes, priority: e.Priority,
		held: newBitmap(e.Chunks), requested: newBitmap(e.Chunks), regionHeld: newBitmap(e.Chunks),
		availability: make([]uint16, e.Chunks), servedCounts: make([]uint16, e.Chunks),
		slots: make([]slot, slots),
	}
	for i := range v.slots {
		v.slots[i].lastProgress = now
	}
	return v
}

func (v *version) isComplete() bool {
	return v.heldCount == v.chunks
}

func (v *version) slotOf(i int) int {
	return i % len(v.slots)
}

func (v *version) findHoldings(list []*peerHoldings, p *peer) *peerHoldings {
	for _, r := range list {
		if r.peer == p {
			return r
		}
	}
	return nil
}

// rebuildTopology computes the neighbours and slots of a version after the list of targets
// changed.
func (s *Swarm) rebuildTopology(v *version) {
	region, zone := s.localTargets()
	names := ringNeighbours(v.digest, s.cfg.RingOffsets, s.cfg.Self.Machine, zone)
	if len(region) > len(zone) {
		const acrossZones = 1
		names = append(names, ringNeighbours(v.digest, acrossZones, s.cfg.Self.Machine, region)...)
	}
	s.rebuildSlots(v, region)
	if v.ownSlots > 0 {
		for _, sl := range v.slots {
			names = append(names, sl.holder)
		}
	}
	s.setNeighbours(v, names)
	v.remotePeers = slices.DeleteFunc(v.remotePeers, func(r *peerHoldings) bool { return !r.peer.listed })
	for i := range v.slots {
		if v.heldCount > 0 && v.slots[i].rank == 0 {
			s.announceSlot(v, &v.slots[i])
		}
	}
}

// localTargets returns the targets of the own region and of the own zone, both including
// the own machine.
func (s *Swarm) localTargets() (region, zone []contract.MachineID) {
	region = append(region, s.cfg.Self.Machine)
	zone = append(zone, s.cfg.Self.Machine)
	for _, p := range s.peers {
		if p.Region != s.cfg.Self.Region {
			continue
		}
		region = append(region, p.Machine)
		if p.Zone == s.cfg.Self.Zone {
			zone = append(zone, p.Machine)
		}
	}
	slices.Sort(region)
	slices.Sort(zone)
	return region, zone
}

// setNeighbours sets the neighbours chosen by the topology. It keeps the records of all
// peers that are still listed.
func (s *Swarm) setNeighbours(v *version, names []contract.MachineID) {
	for _, r := range v.neighbours {
		r.inTopology = false
	}
	for _, name := range names {
		p := s.byName[name]
		if p == nil {
			continue
		}
		if r := v.findHoldings(v.neighbours, p); r != nil {
			r.inTopology = true
			continue
		}
		v.neighbours = append(v.neighbours, newPeerHoldings(v, p, true))
	}
	v.neighbours = slices.DeleteFunc(v.neighbours, func(r *peerHoldings) bool { return !r.peer.listed })
	v.recount(s.now)
	s.scheduleFlush(0)
}

func newPeerHoldings(v *version, p *peer, inTopology bool) *peerHoldings {
	return &peerHoldings{peer: p, have: newBitmap(v.chunks), announced: newBitmap(v.chunks), inTopology: inTopology}
}

// recount computes which chunks are held in the region, from the chunks held here and those
// of the neighbours that are not doubtful.
func (v *version) recount(now time.Duration) {
	clear(v.availability)
	clear(v.regionHeld)
	v.regionHeld.or(v.held)
	for _, r := range v.neighbours {
		if r.peer.isDoubtful(now) {
			continue
		}
		r.have.each(func(i int) { v.availability[i]++ })
		v.regionHeld.or(r.have)
	}
	for k := range v.slots {
		v.slots[k].missing = 0
	}
	for i := range v.chunks {
		if !v.regionHeld.has(i) {
			v.slots[v.slotOf(i)].missing++
		}
	}
}

// markHeldInRegion marks chunk i as held in the region; it must not be marked yet.
func (v *version) markHeldInRegion(i int) {
	v.regionHeld.set(i)
	v.slots[v.slotOf(i)].missing--
}
