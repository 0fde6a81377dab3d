package peers

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

const (
	// maxRemoteEntryLinks is about how many entries of other zones an entry links to, the
	// same number in each zone.
	maxRemoteEntryLinks = 8
	// entriesPerTarget is how many entries link to one target, localEntriesPerTarget how many
	// of them are of the target's zone if the other zones have enough.
	entriesPerTarget      = 9
	localEntriesPerTarget = 6
)

// topology determines which processes link to each other. Processes that know the same members
// agree on it. The number of links of a process does not grow with the number of other zones'
// processes, and within a zone with its logarithm only; in a small fleet all entries are linked
// with each other.
//
// The entries of a zone, in the order of their names, form a ring in which each links to those at
// the distances 1, 2, 4 and so on, so that what one knows reaches the others in few steps and the
// ring holds together when several are lost. Each entry of the smaller one of two zones links to
// a few of the larger one. A target links to some entries of its zone and to a few others.
type topology struct {
	self Member
	// zones lists the names of the zones with entries in ascending order, and entries the
	// entries of each zone in the order of the ring.
	zones   []contract.ZoneName
	entries map[contract.ZoneName][]Member
	targets []Member
}

// newTopology returns the topology of a fleet, as seen by one of its members.
func newTopology(self Member, members map[contract.MachineID]Member) *topology {
	t := &topology{self: self, entries: map[contract.ZoneName][]Member{}}
	isSelfListed := false
	for _, m := range members {
		isSelfListed = isSelfListed || m.Machine == self.Machine
		t.add(m)
	}
	if !isSelfListed {
		t.add(self)
	}
	for zone, entries := range t.entries {
		t.zones = append(t.zones, zone)
		slices.SortFunc(entries, func(a, b Member) int { return cmp.Compare(a.Machine, b.Machine) })
	}
	slices.Sort(t.zones)
	return t
}

func (t *topology) add(m Member) {
	if m.Role == link.RoleEntry {
		t.entries[m.Zone] = append(t.entries[m.Zone], m)
		return
	}
	t.targets = append(t.targets, m)
}

// neighbours returns the members that self is linked to.
func (t *topology) neighbours() map[contract.MachineID]Member {
	list := map[contract.MachineID]Member{}
	add := func(m Member) {
		if m.Machine != t.self.Machine {
			list[m.Machine] = m
		}
	}
	if t.self.Role == link.RoleTarget {
		for _, zone := range t.zones {
			for _, m := range t.entriesOf(t.self, zone) {
				add(m)
			}
		}
		return list
	}
	t.eachRingNeighbour(add)
	for _, zone := range t.zones {
		if zone != t.self.Zone {
			t.eachRemoteNeighbour(zone, add)
		}
	}
	for _, target := range t.targets {
		if t.linksTo(target) {
			add(target)
		}
	}
	return list
}

// eachRingNeighbour calls visit with the entries of self's zone at the distances 1, 2, 4 and so
// on, up to about half of the ring, in both directions.
func (t *topology) eachRingNeighbour(visit func(Member)) {
	ring := t.entries[t.self.Zone]
	own := indexOf(ring, t.self.Machine)
	for distance := 1; distance <= (len(ring)+1)/2 && distance < len(ring); distance *= 2 {
		visit(ring[(own+distance)%len(ring)])
		visit(ring[(own-distance+len(ring))%len(ring)])
	}
}

// eachRemoteNeighbour calls visit with the entries of another zone that self links to.
func (t *topology) eachRemoteNeighbour(zone contract.ZoneName, visit func(Member)) {
	own, other := t.entries[t.self.Zone], t.entries[zone]
	index := indexOf(own, t.self.Machine)
	if isSmaller(own, other) {
		for _, i := range t.partners(index, len(own), len(other)) {
			visit(other[i])
		}
		return
	}
	for i := range other {
		if slices.Contains(t.partners(i, len(other), len(own)), index) {
			visit(other[i])
		}
	}
}

// partners returns the indexes of the entries of a larger zone that the entry with an index of a
// smaller one links to.
func (t *topology) partners(index, smaller, larger int) []int {
	count := min(max(maxRemoteEntryLinks/max(len(t.zones)-1, 1), 1), larger)
	first := index * larger / smaller
	var list []int
	for i := range count {
		list = append(list, (first+i)%larger)
	}
	return list
}

// isSmaller reports whether zone a has fewer entries than b; of two with as many the name
// decides.
func isSmaller(a, b []Member) bool {
	return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a[0].Zone, b[0].Zone)) < 0
}

// entriesOf returns the entries of a zone that link to a target. Rendezvous hashing chooses them.
func (t *topology) entriesOf(target Member, zone contract.ZoneName) []Member {
	count := t.entryQuota(target)[zone]
	if count == 0 {
		return nil
	}
	return byRendezvous(target.Machine, t.entries[zone])[:count]
}

// entryQuota returns how many entries of each zone link to a target: those of its own zone first,
// and the others from zones in turn.
func (t *topology) entryQuota(target Member) map[contract.ZoneName]int {
	remote := 0
	var others []contract.ZoneName
	for _, zone := range t.zones {
		if zone != target.Zone {
			others = append(others, zone)
			remote += len(t.entries[zone])
		}
	}
	local := min(len(t.entries[target.Zone]), max(localEntriesPerTarget, entriesPerTarget-remote))
	quota := map[contract.ZoneName]int{target.Zone: local}
	if len(others) == 0 {
		return quota
	}
	first := int(hashPair(target.Machine, "zone") % uint64(len(others)))
	for open := min(entriesPerTarget-local, remote); open > 0; first++ {
		if zone := others[first%len(others)]; quota[zone] < len(t.entries[zone]) {
			quota[zone]++
			open--
		}
	}
	return quota
}

func hashPair(a, b contract.MachineID) uint64 { return xxhash.Sum64String(string(a) + "/" + string(b)) }

// byRendezvous returns entries in the order of rendezvous hashing for a machine.
func byRendezvous(id contract.MachineID, entries []Member) []Member {
	ordered := slices.Clone(entries)
	slices.SortFunc(ordered, func(a, b Member) int { return compareRendezvous(id, a, b) })
	return ordered
}

// compareRendezvous compares the places of two entries in the order of rendezvous hashing.
func compareRendezvous(id contract.MachineID, a, b Member) int {
	return cmp.Or(cmp.Compare(hashPair(id, b.Machine), hashPair(id, a.Machine)), cmp.Compare(a.Machine, b.Machine))
}

// linksTo reports whether self, an entry, links to a target.
func (t *topology) linksTo(target Member) bool {
	quota := t.entryQuota(target)[t.self.Zone]
	preceding := 0
	for _, e := range t.entries[t.self.Zone] {
		if preceding >= quota {
			return false
		}
		if compareRendezvous(target.Machine, e, t.self) < 0 {
			preceding++
		}
	}
	return preceding < quota
}

func indexOf(ring []Member, id contract.MachineID) int {
	return slices.IndexFunc(ring, func(m Member) bool { return m.Machine == id })
}

// stepsAcross returns about how many links lie between two entries of a zone with n entries.
func stepsAcross(n int) int { return max(bits.Len(uint(n))/2, 1) }

// shouldDial reports whether self is the one that dials a neighbour. Entries dial targets; of two
// entries the one with the lower machine name dials.
func shouldDial(self, other Member) bool {
	if self.Role != link.RoleEntry {
		return false
	}
	return other.Role == link.RoleTarget || self.Machine < other.Machine
}
