package upkeep

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
		list := Sources(entries, rank, targets)
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
	if got := Sources([]string{"a", "b", "c"}, 2, perSource); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("%v", got)
	}
	if got := Sources([]string{"a"}, 2, 9); !slices.Equal(got, []string{"a"}) {
		t.Errorf("%v", got)
	}
	if got := Sources([]string{"a", "b"}, 5, 9); !slices.Equal(got, []string{"b", "a"}) {
		t.Errorf("%v", got)
	}
}
