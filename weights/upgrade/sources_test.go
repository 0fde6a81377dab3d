package upgrade

import (
	"slices"
	"testing"
)

// In a zone of 27 targets and 13 entries no entry may hand the weights to more than
// a few: one that had to serve all took 7 s of the 8 that a version may take.
func TestNoEntryServesAWholeLargeZone(t *testing.T) {
	const targets = 27
	entries := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	first := map[int]int{}
	for rank := range targets {
		list := OrderSources(entries, rank, targets)
		first[list[0]]++
		sorted := slices.Clone(list)
		slices.Sort(sorted)
		if !slices.Equal(sorted, entries) {
			t.Fatalf("rank %d asks %v", rank, list)
		}
	}
	for entry, n := range first {
		if n > perSource {
			t.Errorf("entry %d serves %d targets", entry, n)
		}
	}
	if first[0] > 0 {
		t.Error("the entry that reads for the zone serves targets")
	}
}

func TestSmallZonesAskTheReader(t *testing.T) {
	if got := OrderSources([]string{"a", "b", "c"}, 2, perSource); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("%v", got)
	}
	if got := OrderSources([]string{"a"}, 2, 9); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v", got)
	}
	if got := OrderSources([]string{"a", "b"}, 5, 9); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("%v", got)
	}
}

// Guards against too little served after a loss of power (klaa-accounts-grown trouble-1):
// the reader of a zone handed the weights to 12 entries over a link of 40 Mbit/s, which
// took 5 s, where each target takes 2 s.
func TestEntriesOfAZoneHandWeightsOnInATree(t *testing.T) {
	const entries = 13
	children := map[int]int{}
	for ahead := 1; ahead < entries; ahead++ {
		parent := ParentIndex(ahead)
		if parent >= ahead {
			t.Errorf("entry %d waits for entry %d, which comes after it", ahead, parent)
		}
		children[parent]++
	}
	for entry, n := range children {
		if n > fanOut {
			t.Errorf("entry %d hands the weights to %d entries", entry, n)
		}
	}
}

// In a zone of 26 targets and 13 entries all entries but the reader serve a few targets.
func TestAllHelpersOfALargeZoneServe(t *testing.T) {
	const targets = 26
	entries := []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12}
	first := map[int]int{}
	for rank := range targets {
		first[OrderSources(entries, rank, targets)[0]]++
	}
	for entry, n := range first {
		if n > perHelper+1 {
			t.Errorf("entry %d serves %d targets", entry, n)
		}
	}
}
