package upgrade

import (
	"math/bits"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// targetsPerSource is the largest number of targets that one entry sends weights to,
	// provided that the zone has enough entries: the link of a small entry carries about four
	// times the rate at which one target receives weights.
	targetsPerSource = 4
	// unlinkedTimeout is how long a target must have had no link to an entry of its zone before it
	// asks those of other zones.
	unlinkedTimeout = 1500 * time.Millisecond
	// zoneSilenceTimeout is how long the linked entries of a target's zone must have brought no piece
	// before the first target in rank asks entries of other zones, zoneSilenceStep how much longer
	// each further one waits. The entries of a zone look for the pieces elsewhere themselves.
	zoneSilenceTimeout = 8 * time.Second
	zoneSilenceStep    = 2 * time.Second
	// targetsPerHelper is how many targets each helper entry serves in a zone that is too
	// large for a single entry.
	targetsPerHelper = 2
)

// ParentIndex returns the place of the entry that sends weights to the entry at the given place.
// Places count within the zone; place must not be 0. The entries of a zone form a tree in which
// each sends to two others at most, because the link of one entry carries only a few copies at the
// rate at which targets receive them. Between the two lies a power of two of places, at most half
// of the zone: entries at such distances are linked.
func ParentIndex(place int) int {
	distance := 1 << max(bits.Len(uint(place))-2, 0)
	return place - distance
}

// OrderSources returns the entries of a zone in the order in which a target requests
// weights from them. rank is the target's place among the given number of targets in the
// zone. entries are ordered by rank too; the first one is the reader, which brings the
// weights into the zone. In a large zone the reader serves only other entries, the helpers,
// which serve a few targets each: alone it could not serve all targets within the time that
// a version may take.
func OrderSources[T any](entries []T, rank, targets int) []T {
	if targets <= targetsPerSource || len(entries) < 2 {
		return entries
	}
	helpers := min((targets+targetsPerHelper-1)/targetsPerHelper, len(entries)-1)
	list := make([]T, 0, len(entries))
	for i := range helpers {
		list = append(list, entries[1+(rank+i)%helpers])
	}
	list = append(list, entries[0])
	return slices.Concat(list, entries[1+helpers:])
}

// SourceState is the state on which a target bases the decision to ask entries of other zones for
// pieces.
type SourceState struct {
	// HasLocal reports whether an entry of the target's zone is linked. Unlinked is for how long
	// none has been.
	HasLocal bool
	Unlinked time.Duration
	// WithoutPiece is for how long no piece has arrived, and Rank the target's place among the
	// targets of its zone.
	WithoutPiece time.Duration
	Rank         int
}

// AsksOtherZones reports whether to ask entries of other zones. Their pieces take the links between
// regions, which one transfer into the zone, by its entries, loads least.
func (s SourceState) AsksOtherZones() bool {
	if !s.HasLocal {
		return s.Unlinked >= unlinkedTimeout
	}
	return s.WithoutPiece >= zoneSilenceTimeout+time.Duration(s.Rank)*zoneSilenceStep
}

// ZoneEntry is an entry and its zone.
type ZoneEntry[T any] struct {
	Entry T
	Zone  contract.ZoneName
}

// AlternateZones returns entries so that those of different zones alternate, the ones of the zone
// own last in each round. Within a zone their order stays.
func AlternateZones[T any](entries []ZoneEntry[T], own contract.ZoneName) []T {
	var zones []contract.ZoneName
	byZone := map[contract.ZoneName][]T{}
	for _, e := range entries {
		if _, ok := byZone[e.Zone]; !ok && e.Zone != own {
			zones = append(zones, e.Zone)
		}
		byZone[e.Zone] = append(byZone[e.Zone], e.Entry)
	}
	if len(byZone[own]) > 0 {
		zones = append(zones, own)
	}
	list := make([]T, 0, len(entries))
	for round := 0; len(list) < len(entries); round++ {
		for _, zone := range zones {
			if round < len(byZone[zone]) {
				list = append(list, byZone[zone][round])
			}
		}
	}
	return list
}
