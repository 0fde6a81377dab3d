package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/poison"
)

// Guards against a group that names a part twice, so that it is not the one that other entries
// mean: candidates with the same crashes were joined again in each round.
func TestGroupNamesEachPartOnce(t *testing.T) {
	for seed := range 20 {
		tr, now := newTracker(), startTime
		name := func(s string) string { return fmt.Sprint(s, "-", seed) }
		for range 5 {
			now = crashSequence(tr, now, name("frequent"))
		}
		for range 3 {
			r := poison.NewRequest(service, []string{name("a"), name("b"), "own"})
			tr.Observe(now, poison.Observation{Crash: uint64(now.UnixNano()), Request: r, SentAt: now.Add(-400 * time.Millisecond), BrokenAt: now})
			now = now.Add(time.Second)
		}
		proveSound(tr, now)
		_, verdicts := tr.Reports(now)
		for _, v := range verdicts {
			if unique := slices.Compact(slices.Clone(v.Parts)); len(unique) != len(v.Parts) {
				t.Fatalf("seed %d: a verdict names parts %x, want each once", seed, v.Parts)
			}
		}
	}
}
