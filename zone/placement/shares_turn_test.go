package placement

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Guards against several entries that do at once what only one should do.
func TestEntriesTakeTurns(t *testing.T) {
	const step = 50 * time.Millisecond
	entries := []contract.MachineID{"a", "b", "c", "d"}
	turns := map[contract.MachineID]bool{}
	for key := range uint64(8) {
		last, lastAt := contract.MachineID(""), time.Duration(0)
		for elapsed := time.Duration(0); elapsed < 12*time.Second; elapsed += step {
			count := 0
			for _, e := range entries {
				if !(EntryShares{Self: e, Entries: entries}).IsTurn(key, elapsed) {
					continue
				}
				count++
				if last != "" && last != e && elapsed-lastAt < 500*time.Millisecond {
					t.Fatalf("turn of %s at %v, %v after that of %s", e, elapsed, elapsed-lastAt, last)
				}
				turns[e], last, lastAt = true, e, elapsed
			}
			if count > 1 {
				t.Fatalf("turn of %d entries at %v", count, elapsed)
			}
		}
	}
	if len(turns) != len(entries) {
		t.Errorf("%d entries had a turn, want %d", len(turns), len(entries))
	}
}
