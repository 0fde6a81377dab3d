package peers

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// RankInZone returns the number of entries of this process's zone that precede it by machine
// name and may be running.
func (p *Peers) RankInZone() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	rank := 0
	for _, m := range p.zoneEntries[p.opts.Self.Zone] {
		if m.Machine >= p.opts.Self.Machine {
			break
		}
		if p.mayBeRunning(m) {
			rank++
		}
	}
	return rank
}

// PlaceInZone returns the number of listed entries of this process's zone that precede it by
// machine name, running or not, and the number of all of them. ok is false if the members have not
// been read.
func (p *Peers) PlaceInZone() (place, size int, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := p.zoneEntries[p.opts.Self.Zone]
	for _, m := range entries {
		if m.Machine < p.opts.Self.Machine {
			place++
		}
	}
	return place, len(entries), !p.firstReadAt.IsZero()
}

// MayBeRunning reports whether an entry may be running: a neighbour if it is linked, another entry of this
// process's zone if it has recently reported itself to others of the zone, and one of another zone if any
// neighbour of that zone is linked, or if there is none. In the own zone, whose ranks decide who reads the store,
// being listed is no evidence: the record of a machine that has left stays for a time.
func (p *Peers) MayBeRunning(id contract.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[id]
	return ok && p.mayBeRunning(m)
}

// mayBeRunning is MayBeRunning with p.mu held.
func (p *Peers) mayBeRunning(m Member) bool {
	if _, ok := p.neighbours[m.Machine]; ok || p.isLinked(m.Machine) {
		return p.isLinked(m.Machine)
	}
	if !p.isZoneEntry(m) {
		return p.isZoneInReach(m.Zone)
	}
	return p.sightings.isRecent(m, p.listedAt[m.Machine])
}

// isZoneEntry reports whether a member is an entry of the same zone as this entry.
func (p *Peers) isZoneEntry(m Member) bool {
	return p.opts.Self.Role == link.RoleEntry && m.Role == link.RoleEntry && m.Zone == p.opts.Self.Zone
}

// isZoneInReach reports whether an entry of a zone is linked, or none is a neighbour. p.mu must be held.
func (p *Peers) isZoneInReach(zone contract.ZoneName) bool {
	hasNeighbour := false
	for id, neighbour := range p.neighbours {
		if neighbour.Zone != zone || neighbour.Role != link.RoleEntry {
			continue
		}
		if p.isLinked(id) {
			return true
		}
		hasNeighbour = true
	}
	return !hasNeighbour
}

// PropagationDelay returns about how long it takes until heartbeats have told all entries of this
// process's zone what one of them knows.
func (p *Peers) PropagationDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(stepsAcross(len(p.zoneEntries[p.opts.Self.Zone]))) * p.endpoint.HeartbeatInterval(link.RoleEntry)
}

// IsAloneInZone reports whether no other entry of this process's zone is linked.
func (p *Peers) IsAloneInZone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.zoneEntries[p.opts.Self.Zone] {
		if m.Machine != p.opts.Self.Machine && p.isLinked(m.Machine) {
			return false
		}
	}
	return true
}

// nextEntry returns the linked entries in turn: those of this process's zone, or the
// others if none of these is linked.
func (p *Peers) nextEntry() (contract.MachineID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if id, ok := p.nextLinked(p.zoneEntries[p.opts.Self.Zone]); ok {
		return id, true
	}
	var remote []Member
	for zone, entries := range p.zoneEntries {
		if zone != p.opts.Self.Zone {
			remote = append(remote, entries...)
		}
	}
	return p.nextLinked(remote)
}

// nextLinked returns the linked ones among entries in turn. p.mu must be held.
func (p *Peers) nextLinked(entries []Member) (contract.MachineID, bool) {
	p.turns++
	for i := range entries {
		id := entries[(p.turns+i)%len(entries)].Machine
		if p.isLinked(id) {
			return id, true
		}
	}
	return "", false
}

// HasLinkedEntryIn reports whether any entry of a zone is linked to this process.
func (p *Peers) HasLinkedEntryIn(zone contract.ZoneName) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.zoneEntries[zone] {
		if p.isLinked(m.Machine) {
			return true
		}
	}
	return false
}

// LinksAllEntries reports whether all other entries are neighbours of this process.
func (p *Peers) LinksAllEntries() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, entries := range p.zoneEntries {
		for _, m := range entries {
			if _, ok := p.neighbours[m.Machine]; !ok && m.Machine != p.opts.Self.Machine {
				return false
			}
		}
	}
	return true
}
