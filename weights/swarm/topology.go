package swarm

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
)

// score returns the rendezvous score of a name for a version, a kind and a number.
func score(version contract.Digest, kind byte, n int, name string) uint64 {
	var h xxhash.Digest
	h.Reset()
	var num [9]byte
	num[0] = kind
	binary.BigEndian.PutUint64(num[1:], uint64(n))
	_, _ = h.WriteString(string(version))
	_, _ = h.Write(num[:])
	_, _ = h.WriteString(name)
	return h.Sum64()
}

// Kinds of score. Each order has its own kind, so that the orders are independent.
const (
	scoreSlot byte = iota
	scoreRing
	scoreOffset
	scoreRegion
)

// SlotHolders returns, for each slot of a version, the target of one region that downloads
// the slot's chunks into the region. A target holds two slots only if there are fewer
// targets than slots.
func SlotHolders(version contract.Digest, slots int, targets []contract.MachineID) []contract.MachineID {
	if len(targets) == 0 {
		return nil
	}
	holders := make([]contract.MachineID, slots)
	assigned := make(map[contract.MachineID]int, slots)
	for s := range slots {
		rounds := s / len(targets)
		var best contract.MachineID
		var bestScore uint64
		for _, m := range targets {
			if assigned[m] > rounds {
				continue
			}
			if v := score(version, scoreSlot, s, string(m)); best == "" || v > bestScore {
				best, bestScore = m, v
			}
		}
		assigned[best]++
		holders[s] = best
	}
	return holders
}

// slotRank returns the number of targets before self in a slot's take-over order; it is 0
// for the holder.
func slotRank(version contract.Digest, slot int, self, holder contract.MachineID, targets []contract.MachineID) int {
	if self == holder {
		return 0
	}
	selfScore := score(version, scoreSlot, slot, string(self))
	rank := 1
	for _, m := range targets {
		if m != holder && m != self && score(version, scoreSlot, slot, string(m)) > selfScore {
			rank++
		}
	}
	return rank
}

// maxSuccessors is the number of targets that receive the Have messages of a slot's holder
// directly, so that they know whether to take the slot over.
const maxSuccessors = 2

// successors returns the first targets after the holder in a slot's take-over order.
func successors(version contract.Digest, slot int, holder contract.MachineID, targets []contract.MachineID) []contract.MachineID {
	var out []contract.MachineID
	for range maxSuccessors {
		var best contract.MachineID
		var bestScore uint64
		for _, m := range targets {
			if m == holder || slices.Contains(out, m) {
				continue
			}
			if v := score(version, scoreSlot, slot, string(m)); best == "" || v > bestScore {
				best, bestScore = m, v
			}
		}
		if best == "" {
			return out
		}
		out = append(out, best)
	}
	return out
}

// regionOrder returns the regions in the order in which a slot's chunks reach them. The
// region of the origin comes first. The others follow in a rotation of one order by hash
// that depends on the slot, half of the rotations reversed, so that the slots are spread
// evenly over the links.
func regionOrder(version contract.Digest, slot int, origin contract.RegionName, regions []contract.RegionName) []contract.RegionName {
	var originFirst, rest []contract.RegionName
	for _, r := range regions {
		if r == origin {
			originFirst = append(originFirst, r)
		} else {
			rest = append(rest, r)
		}
	}
	slices.SortFunc(rest, func(a, b contract.RegionName) int {
		return cmp.Compare(score(version, scoreRegion, 0, string(a)), score(version, scoreRegion, 0, string(b)))
	})
	if n := len(rest); n > 0 {
		k := slot % n
		rest = slices.Concat(rest[k:], rest[:k])
		if slot/n%2 == 1 {
			slices.Reverse(rest)
		}
	}
	return append(originFirst, rest...)
}

// ringNeighbours returns the neighbours of self in a circulant graph over targets, which
// include self. The graph is symmetric, and all targets that know the same targets compute
// the same graph.
func ringNeighbours(version contract.Digest, offsets int, self contract.MachineID, targets []contract.MachineID) []contract.MachineID {
	n := len(targets)
	if n <= 2*offsets+1 {
		return slices.DeleteFunc(slices.Clone(targets), func(m contract.MachineID) bool { return m == self })
	}
	ring := slices.Clone(targets)
	slices.SortFunc(ring, func(a, b contract.MachineID) int {
		return cmp.Compare(score(version, scoreRing, 0, string(a)), score(version, scoreRing, 0, string(b)))
	})
	index := slices.Index(ring, self)
	var out []contract.MachineID
	for _, o := range ringOffsets(version, offsets, n) {
		for _, k := range []int{index + o, index - o + n} {
			if m := ring[k%n]; m != self && !slices.Contains(out, m) {
				out = append(out, m)
			}
		}
	}
	return out
}

// ringOffsets returns count distinct distances on a ring of n targets. The first is 1, so
// that the graph is connected.
func ringOffsets(version contract.Digest, count, n int) []int {
	out := []int{1}
	for k := 0; len(out) < count; k++ {
		o := 1 + int(score(version, scoreOffset, k, "")%uint64(n/2))
		if !slices.Contains(out, o) {
			out = append(out, o)
		}
	}
	return out
}
