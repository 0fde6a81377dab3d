package balancer

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// Limits of the targets that an entry keeps links to.
const (
	// FullMesh is the number of targets of a service up to which every entry
	// knows all.
	FullMeshLimit = 32
	// LinksPerEntry is how many targets of its own zone an entry knows beyond
	// that, on average.
	LinksPerEntry = 12
	// EntriesPerTarget is how many entries of a target's zone know it at least.
	EntriesPerTarget = 2
	// RemotePerZone is how many targets of each other zone an entry knows.
	RemotePerZone = 1
)

// Entry is an entry as the host list describes it.
type Entry struct {
	Machine contract.MachineID
	Place   Place
}

// Subset returns the targets of a service that self keeps links to. In its own
// zone each target is known by the entries that rendezvous hashing ranks first
// for it, so that no target is forgotten and a change of the list moves few
// links. Of each other zone an entry knows the few that rank first for itself.
func Subset(self Entry, entries []Entry, targets []Member) []Member {
	if len(targets) <= FullMeshLimit {
		return targets
	}
	peers := hashesIn(entries, self.Place)
	own := xxhash.Sum64String(string(self.Machine))
	want := entriesFor(len(peers), countIn(targets, self.Place))
	kept := make([]Member, 0, 2*LinksPerEntry)
	remote := map[Place][]Member{}
	for _, t := range targets {
		if t.Place != self.Place {
			remote[t.Place] = nearest(own, remote[t.Place], t)
			continue
		}
		if rank(peers, own, t.Machine) < want {
			kept = append(kept, t)
		}
	}
	for _, list := range remote {
		kept = append(kept, list...)
	}
	sort.Slice(kept, func(i, j int) bool { return kept[i].Machine < kept[j].Machine })
	return kept
}

// nearest adds a target to the RemotePerZone that rank first for an entry.
func nearest(own uint64, list []Member, t Member) []Member {
	weight := func(m Member) uint64 { return rendezvous(xxhash.Sum64String(string(m.Machine)), own) }
	list = append(list, t)
	sort.SliceStable(list, func(i, j int) bool { return weight(list[i]) > weight(list[j]) })
	return list[:min(len(list), RemotePerZone)]
}

// entriesFor is how many of a zone's entries know each of its targets.
func entriesFor(entries, targets int) int {
	if targets == 0 {
		return EntriesPerTarget
	}
	return max(EntriesPerTarget, (LinksPerEntry*entries+targets-1)/targets)
}

// hashesIn hashes the entries of a place, in order.
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

func countIn(targets []Member, place Place) int {
	n := 0
	for _, t := range targets {
		if t.Place == place {
			n++
		}
	}
	return n
}

// rank is how many entries come before own in the target's order.
func rank(peers []uint64, own uint64, target contract.MachineID) int {
	hash := xxhash.Sum64String(string(target))
	mine := rendezvous(hash, own)
	before := 0
	for _, p := range peers {
		if p != own && rendezvous(hash, p) > mine {
			before++
		}
	}
	return before
}
