package weightcache

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/weights/upgrade"
)

// RankEntries returns the entries in their order of rank for a version, so that all processes
// that know the same members agree: those of the preferred zone first, then those of the other
// zones by a hash. The entries of a zone follow each other as they do in the ring of their links
// (package peers), from a first one that the hash of the version determines. So most of those
// that precede an entry closely are linked to it.
func RankEntries(version Version, members []peers.Member, preferred contract.ZoneName) []peers.Member {
	byZone := map[contract.ZoneName][]peers.Member{}
	for _, m := range members {
		byZone[m.Zone] = append(byZone[m.Zone], m)
	}
	name := version.String()
	weights := map[contract.ZoneName]uint64{}
	var zones []contract.ZoneName
	for zone := range byZone {
		weights[zone] = xxhash.Sum64String(name + "/" + string(zone))
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b contract.ZoneName) int {
		if a == preferred || b == preferred {
			return cmp.Compare(weightOf(b == preferred), weightOf(a == preferred))
		}
		return cmp.Compare(weights[b], weights[a])
	})
	ranked := make([]peers.Member, 0, len(members))
	for _, zone := range zones {
		ring := byZone[zone]
		slices.SortFunc(ring, func(a, b peers.Member) int { return cmp.Compare(a.Machine, b.Machine) })
		first := int(weights[zone] % uint64(len(ring)))
		ranked = append(append(ranked, ring[first:]...), ring[:first]...)
	}
	return ranked
}

func weightOf(isPreferred bool) int {
	if isPreferred {
		return 1
	}
	return 0
}

// parentInZone returns the entry of a zone from which the entry self gets the pieces, given the
// entries in their order of rank: its parent in the tree of the zone or, if that is not linked, one
// of the linked ones that precede it. Which one depends on a hash: after many entries lost power at
// once, the first of them would have to send the pieces to most of the zone.
func parentInZone(ranked []peers.Member, self contract.MachineID, zone contract.ZoneName, isLinked func(contract.MachineID) bool) (contract.MachineID, bool) {
	var preceding []contract.MachineID
	for _, m := range ranked {
		if m.Machine == self {
			break
		}
		if m.Zone == zone {
			preceding = append(preceding, m.Machine)
		}
	}
	if len(preceding) == 0 {
		return "", false
	}
	if parent := preceding[upgrade.ParentIndex(len(preceding))]; isLinked(parent) {
		return parent, true
	}
	linked := slices.DeleteFunc(preceding, func(id contract.MachineID) bool { return !isLinked(id) })
	if len(linked) == 0 {
		return "", false
	}
	return linked[xxhash.Sum64String(string(self))%uint64(len(linked))], true
}
