package peers

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

// Rank is the number of linked entries of this process's zone that come before it, by
// machine.
func (p *Peers) RankInZone() int {
	rank := 0
	for _, m := range p.Members(link.RoleEntry) {
		if m.Zone == p.opts.Self.Zone && m.Machine < p.opts.Self.Machine && p.IsLinked(m.Machine) {
			rank++
		}
	}
	return rank
}

// Alone reports whether no other entry of this process's zone is linked.
func (p *Peers) IsAloneInZone() bool {
	near, _ := p.entriesByDistance()
	for _, m := range near {
		if m.Machine != p.opts.Self.Machine && p.IsLinked(m.Machine) {
			return false
		}
	}
	return true
}

// next returns the linked entries in turn, those of the own zone while there are any.
func (p *Peers) next() (contract.MachineID, bool) {
	near, far := p.entriesByDistance()
	if id, ok := p.nextOf(near); ok {
		return id, true
	}
	return p.nextOf(far)
}

// entriesByDistance lists the entries of the own zone and the others.
func (p *Peers) entriesByDistance() (near, far []Member) {
	for _, m := range p.Members(link.RoleEntry) {
		if m.Zone == p.opts.Self.Zone {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

func (p *Peers) nextOf(entries []Member) (contract.MachineID, bool) {
	p.mu.Lock()
	p.asked++
	asked := p.asked
	p.mu.Unlock()
	for i := range entries {
		id := entries[(asked+i)%len(entries)].Machine
		if p.IsLinked(id) {
			return id, true
		}
	}
	return "", false
}
