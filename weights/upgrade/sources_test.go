package upgrade

import (
	"math/bits"
	"slices"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// In a zone of 27 targets and 13 entries no entry may send the weights to more than a few
// targets: a single entry that served all took 7 s of the 8 s that a version may take.
func TestNoEntryServesAllTargetsOfLargeZone(t *testing.T) {
	const targets = 27
	entries := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	served := map[int]int{}
	for rank := range targets {
		list := OrderSources(entries, rank, targets)
		served[list[0]]++
		sorted := slices.Clone(list)
		slices.Sort(sorted)
		if !slices.Equal(sorted, entries) {
			t.Fatalf("rank %d: OrderSources() = %v, want every entry once", rank, list)
		}
	}
	for entry, n := range served {
		if n > targetsPerSource {
			t.Errorf("entry %d serves %d targets, want at most 4", entry, n)
		}
	}
	if served[0] > 0 {
		t.Error("the reader of the zone serves targets, want only helpers to serve them")
	}
}

func TestSmallZonesUseReader(t *testing.T) {
	if got := OrderSources([]string{"a", "b", "c"}, 2, targetsPerSource); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("4 targets, 3 entries: OrderSources() = %v, want [a b c]", got)
	}
	if got := OrderSources([]string{"a"}, 2, 9); !slices.Equal(got, []string{"a"}) {
		t.Errorf("9 targets, 1 entry: OrderSources() = %v, want [a]", got)
	}
	if got := OrderSources([]string{"a", "b"}, 5, 9); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("9 targets, 2 entries: OrderSources() = %v, want [b a]", got)
	}
}

// Guards against too few requests served after a power failure: the reader of a zone sent
// the weights to 12 entries over a 40 Mbit/s link, which took 5 s, while each target takes
// 2 s.
func TestEntriesOfZoneFormDistributionTree(t *testing.T) {
	const entries, entryFanOut = 200, 2
	children := map[int]int{}
	for rank := 1; rank < entries; rank++ {
		parent := ParentIndex(rank)
		if distance := rank - parent; bits.OnesCount(uint(distance)) != 1 || 2*distance > max(rank, 2) {
			t.Errorf("ParentIndex(%d) = %d, want an entry that is linked: a power of two places before, half of them at most", rank, parent)
		}
		if parent >= rank {
			t.Errorf("ParentIndex(%d) = %d, want less than the argument", rank, parent)
		}
		children[parent]++
	}
	for entry, n := range children {
		if n > entryFanOut {
			t.Errorf("entry %d sends the weights to %d entries, want at most 2", entry, n)
		}
	}
}

// In a zone of 26 targets and 13 entries every entry except the reader serves a few
// targets.
func TestAllHelpersOfLargeZoneServeTargets(t *testing.T) {
	const targets = 26
	entries := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	served := map[int]int{}
	for rank := range targets {
		served[OrderSources(entries, rank, targets)[0]]++
	}
	for entry, n := range served {
		if n > targetsPerHelper+1 {
			t.Errorf("entry %d serves %d targets, want at most 3", entry, n)
		}
	}
}

// Guards against requests to download that go to all entries of the zone which cannot reach the origin
// before one of another zone gets one.
func TestRequestsToDownloadAlternateBetweenZones(t *testing.T) {
	var entries []ZoneEntry[string]
	for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "c1"} {
		entries = append(entries, ZoneEntry[string]{Entry: name, Zone: contract.ZoneName(name[:1])})
	}
	want := []string{"b1", "c1", "a1", "b2", "a2", "a3"}
	if got := AlternateZones(entries, "a"); !slices.Equal(got, want) {
		t.Errorf("AlternateZones() = %v, want %v", got, want)
	}
	if got := AlternateZones[string](nil, "a"); len(got) != 0 {
		t.Errorf("no entries: AlternateZones() = %v, want none", got)
	}
}

// Guards against links between regions that carry the same version for each target: while a version was
// late, the targets of a zone asked the entries of other zones for all pieces after 1.5 s.
func TestTargetsLeaveLinksBetweenRegionsToEntries(t *testing.T) {
	const originAway = 6500 * time.Millisecond
	for rank := range 20 {
		s := SourceState{HasLocal: true, WithoutPiece: originAway, Rank: rank}
		if s.AsksOtherZones() {
			t.Errorf("rank %d, linked in its zone, origin away for %v: AsksOtherZones() = true, want false", rank, originAway)
		}
	}
	for name, c := range map[string]struct {
		state SourceState
		want  bool
	}{
		"the process has just started":                     {SourceState{Unlinked: unlinkedTimeout / 2}, false},
		"no entry of the zone is linked":                   {SourceState{Unlinked: unlinkedTimeout, Rank: 9}, true},
		"the zone brings nothing, first target":            {SourceState{HasLocal: true, WithoutPiece: zoneSilenceTimeout}, true},
		"the zone brings nothing, the others, a bit later": {SourceState{HasLocal: true, WithoutPiece: zoneSilenceTimeout, Rank: 1}, false},
		"the zone brings nothing for long":                 {SourceState{HasLocal: true, WithoutPiece: zoneSilenceTimeout + 9*zoneSilenceStep, Rank: 9}, true},
	} {
		if got := c.state.AsksOtherZones(); got != c.want {
			t.Errorf("%s: AsksOtherZones() = %v, want %v", name, got, c.want)
		}
	}
}
