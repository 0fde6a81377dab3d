package swarm

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// version is the state of one wanted version.
type version struct {
	digest     contract.Digest
	chunks     int
	chunkBytes int
	priority   int

	held      bitmap
	heldCount int
	// asked holds the chunks with a request outstanding.
	asked   bitmap
	flights []*flight
	// seen holds the chunks that the region holds, as far as is known.
	seen bitmap
	// avail counts for each chunk the neighbours that hold it.
	avail []uint16
	// served counts for each chunk how often it was sent to a peer.
	served []uint16

	neighbours []*remote
	// abroad holds what targets of other regions told.
	abroad []*remote
	slots  []slot
	// ownSlots is how many slots the own target holds.
	ownSlots int
	// turn is the slot that is next to be drawn for.
	turn int
	pace pace
}

// remote is what one peer holds of one version.
type remote struct {
	peer  *peer
	epoch uint64
	have  bitmap
	// told holds the chunks that the peer was told of, or that it holds itself.
	told bitmap
	// greeted tells that the peer was sent a Have since it was last unreachable.
	greeted bool
	// toldAt is when the peer was sent a Have last.
	toldAt time.Duration
	// owed tells that a Have to the peer failed and is to be sent again.
	owed bool
	// ring tells that the peer was chosen by the topology; others announced themselves.
	ring bool
}

// flight is one outstanding request.
type flight struct {
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
		held: newBitmap(e.Chunks), asked: newBitmap(e.Chunks), seen: newBitmap(e.Chunks),
		avail: make([]uint16, e.Chunks), served: make([]uint16, e.Chunks),
		slots: make([]slot, slots),
	}
	for i := range v.slots {
		v.slots[i].lastNews = now
	}
	return v
}

func (v *version) whole() bool {
	return v.heldCount == v.chunks
}

func (v *version) slotOf(i int) int {
	return i % len(v.slots)
}

func (v *version) find(list []*remote, p *peer) *remote {
	for _, r := range list {
		if r.peer == p {
			return r
		}
	}
	return nil
}

// rebuild computes neighbours and slots after the list of targets changed.
func (s *Swarm) rebuild(v *version) {
	region, zone := s.domain()
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
	v.abroad = slices.DeleteFunc(v.abroad, func(r *remote) bool { return !r.peer.listed })
	for i := range v.slots {
		if v.heldCount > 0 && v.slots[i].rank == 0 {
			s.announceSlot(v, &v.slots[i])
		}
	}
}

// domain returns the targets of the own region and of the own zone, with the
// own machine among them.
func (s *Swarm) domain() (region, zone []contract.MachineID) {
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

// setNeighbours keeps what is known of those that stay.
func (s *Swarm) setNeighbours(v *version, names []contract.MachineID) {
	for _, r := range v.neighbours {
		r.ring = false
	}
	for _, name := range names {
		p := s.byName[name]
		if p == nil {
			continue
		}
		if r := v.find(v.neighbours, p); r != nil {
			r.ring = true
			continue
		}
		v.neighbours = append(v.neighbours, newRemote(v, p, true))
	}
	v.neighbours = slices.DeleteFunc(v.neighbours, func(r *remote) bool { return !r.peer.listed })
	v.recount(s.now)
	s.flushSoon(0)
}

func newRemote(v *version, p *peer, ring bool) *remote {
	return &remote{peer: p, have: newBitmap(v.chunks), told: newBitmap(v.chunks), ring: ring}
}

// recount computes from the neighbours that are not doubtful what the region
// holds.
func (v *version) recount(now time.Duration) {
	clear(v.avail)
	clear(v.seen)
	v.seen.or(v.held)
	for _, r := range v.neighbours {
		if r.peer.doubtful(now) {
			continue
		}
		r.have.each(func(i int) { v.avail[i]++ })
		v.seen.or(r.have)
	}
	for k := range v.slots {
		v.slots[k].unseen = 0
	}
	for i := range v.chunks {
		if !v.seen.has(i) {
			v.slots[v.slotOf(i)].unseen++
		}
	}
}

// see marks chunk i, not seen before, as held in the region.
func (v *version) see(i int) {
	v.seen.set(i)
	v.slots[v.slotOf(i)].unseen--
}
