package weightcache

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/peers"
)

// RankEntries returns the entries in their order of rank for a version: those of the
// preferred zone first, then by rendezvous hash, so that all processes that know the same
// members agree.
func RankEntries(version Version, members []peers.Member, preferred contract.ZoneName) []peers.Member {
	ranked := append([]peers.Member(nil), members...)
	weight := func(m peers.Member) uint64 { return xxhash.Sum64String(version.String() + "/" + string(m.Machine)) }
	sort.Slice(ranked, func(i, j int) bool {
		a, b := ranked[i], ranked[j]
		if near := a.Zone == preferred; near != (b.Zone == preferred) {
			return near
		}
		return weight(a) > weight(b)
	})
	return ranked
}
