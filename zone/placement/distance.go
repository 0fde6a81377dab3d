package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// distance tells how far a target is from the entry.
type distance uint8

const (
	sameZone distance = iota
	otherZone
	otherRegion

	distanceCount = iota
)

// distancePenalty holds what is added to the cost of a target at a distance.
var distancePenalty = [distanceCount]time.Duration{sameZone: 0, otherZone: otherZonePenalty, otherRegion: otherRegionPenalty}

func (p *Pool) distanceOf(m *roster.Member) distance {
	switch {
	case m.Zone == p.home.Zone:
		return sameZone
	case p.regions[m.Zone] == p.home.Region:
		return otherZone
	default:
		return otherRegion
	}
}

// penalty returns the part of a target's cost that does not depend on its load.
func (p *Pool) penalty(now time.Time, m *roster.Member) time.Duration {
	total := distancePenalty[p.distanceOf(m)]
	if m.IsSilent(now) {
		total += silentTargetPenalty
	}
	return total
}
