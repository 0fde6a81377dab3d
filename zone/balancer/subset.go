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
	FullMesh = 32
	// LinksPerEntry is how many targets of its own zone an entry knows beyond
	// that, on average.
	LinksPerEntry = 16
	// EntriesPerTarget is how many entries of a target's zone know it at least,
	// and RemoteEntriesPerTarget how many of each other zone.
	EntriesPerTarget       = 3
	RemoteEntriesPerTarget = 1
)

// Entry is an entry as the host list describes it.
type Entry struct {
	Machine contract.MachineID
	Place   Place
}

// Subset returns the targets of a service that self keeps links to. Each target
// is known by the entries of each zone that rendezvous hashing ranks first for
// it, so that no target is forgotten and a change of the list moves few links.
func Subset(self Entry, entries []Entry, targets []Member) []Member {
	if len(targets) <= FullMesh {
		return targets
	}
	peers := hashesIn(entries, self.Place)
	own := xxhash.Sum64String(string(self.Machine))
	inZone := countIn(targets, self.Place)
	kept := make([]Member, 0, 2*LinksPerEntry)
	for _, t := range targets {
		want := RemoteEntriesPerTarget
		if t.Place == self.Place {
			want = entriesFor(len(peers), inZone)
		}
		if rank(peers, own, t.Machine) < want {
			kept = append(kept, t)
		}
	}
	return kept
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
