package balancer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// Limits on the number of targets that an entry has links to.
const (
	// FullMeshLimit is the number of targets of a service up to which every entry has
	// links to all of them.
	FullMeshLimit = 32
	// LinksPerEntry is how many targets of its own zone an entry has links to on average
	// if the service has more targets than that.
	LinksPerEntry = 12
	// EntriesPerTarget is the minimum number of entries of a target's zone that have
	// links to it.
	EntriesPerTarget = 2
	// RemotePerZone is how many targets of each other zone an entry has links to.
	RemotePerZone = 1
)

// Entry is an entry in the host list.
type Entry struct {
	Machine contract.MachineID
	Place   Place
}

// Subset returns the targets of a service that self has links to. Within its own zone,
// each target is linked to the entries that rendezvous hashing ranks first for that
// target, so that every target has links and a change of the host list moves few of
// them. Of each other zone, self has links to the few targets that rank first for self.
func Subset(self Entry, entries []Entry, targets []Member) []Member {
	if len(targets) <= FullMeshLimit {
		return targets
	}
	peers := hashesIn(entries, self.Place)
	ownHash := xxhash.Sum64String(string(self.Machine))
	entriesEach := linksPerTarget(len(peers), countIn(targets, self.Place))
	selected := make([]Member, 0, 2*LinksPerEntry)
	remote := map[Place][]Member{}
	for _, t := range targets {
		if t.Place != self.Place {
			remote[t.Place] = addRemote(ownHash, remote[t.Place], t)
			continue
		}
		if rank(peers, ownHash, t.Machine) < entriesEach {
			selected = append(selected, t)
		}
	}
	for _, list := range remote {
		selected = append(selected, list...)
	}
	sort.Slice(selected, func(i, j int) bool { return selected[i].Machine < selected[j].Machine })
	return selected
}

// addRemote adds a target to list, of which it returns the RemotePerZone targets that
// rank first for an entry.
func addRemote(ownHash uint64, list []Member, t Member) []Member {
	weight := func(m Member) uint64 { return rendezvous(xxhash.Sum64String(string(m.Machine)), ownHash) }
	list = append(list, t)
	sort.SliceStable(list, func(i, j int) bool { return weight(list[i]) > weight(list[j]) })
	return list[:min(len(list), RemotePerZone)]
}

// linksPerTarget returns how many of a zone's entries have links to each of its targets.
func linksPerTarget(entries, targets int) int {
	if targets == 0 {
		return EntriesPerTarget
	}
	return max(EntriesPerTarget, (LinksPerEntry*entries+targets-1)/targets)
}

// hashesIn returns the hashes of the entries at a place in ascending order.
func hashesIn(entries []Entry, place Place) []uint64 {
	var list []uint64
	for _, e := range entries {
		if e.Place == place {
			list = append(list, xxhash.Sum64String(string(e.Machine)))
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list
}

// countIn returns the number of targets at a place.
func countIn(targets []Member, place Place) int {
	n := 0
	for _, t := range targets {
		if t.Place == place {
			n++
		}
	}
	return n
}

// rank returns how many entries precede the one with ownHash in the target's order.
func rank(peers []uint64, ownHash uint64, target contract.MachineID) int {
	hash := xxhash.Sum64String(string(target))
	ownWeight := rendezvous(hash, ownHash)
	before := 0
	for _, p := range peers {
		if p != ownHash && rendezvous(hash, p) > ownWeight {
			before++
		}
	}
	return before
}
