package peers

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// RankInZone returns the number of linked entries of this process's zone that precede it
// by machine name.
func (p *Peers) RankInZone() int {
	rank := 0
	for _, m := range p.Members(link.RoleEntry) {
		if m.Zone == p.opts.Self.Zone && m.Machine < p.opts.Self.Machine && p.IsLinked(m.Machine) {
			rank++
		}
	}
	return rank
}

// IsAloneInZone reports whether no other entry of this process's zone is linked.
func (p *Peers) IsAloneInZone() bool {
	local, _ := p.entriesByZone()
	for _, m := range local {
		if m.Machine != p.opts.Self.Machine && p.IsLinked(m.Machine) {
			return false
		}
	}
	return true
}

// nextEntry returns the linked entries in turn: those of this process's zone, or the
// others if none of these is linked.
func (p *Peers) nextEntry() (contract.MachineID, bool) {
	local, remote := p.entriesByZone()
	if id, ok := p.nextLinked(local); ok {
		return id, true
	}
	return p.nextLinked(remote)
}

// entriesByZone returns the entries of this process's zone and those of the other zones.
func (p *Peers) entriesByZone() (local, remote []Member) {
	for _, m := range p.Members(link.RoleEntry) {
		if m.Zone == p.opts.Self.Zone {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}

// nextLinked returns the linked ones among entries in turn.
func (p *Peers) nextLinked(entries []Member) (contract.MachineID, bool) {
	p.mu.Lock()
	p.turns++
	turn := p.turns
	p.mu.Unlock()
	for i := range entries {
		id := entries[(turn+i)%len(entries)].Machine
		if p.IsLinked(id) {
			return id, true
		}
	}
	return "", false
}
