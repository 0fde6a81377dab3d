package dispatch

import (
	"math/rand/v2"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestPromisesUnderFaults checks at-most-once, the truth of not run, whole
// answers and one final answer for each request under random faults.
func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		choices := rapid.Uint64().Draw(t, "choices")
		moves := rapid.IntRange(10, 200).Draw(t, "moves")
		w := newWorld(seeded(choices), 0)
		w.run(moves, true)
		if len(w.faults) > 0 {
			t.Fatalf("choices %d: %s", choices, strings.Join(w.faults, "\n"))
		}
	})
}

func seeded(seed uint64) chooser {
	return rand.New(rand.NewPCG(seed, 7)).IntN
}

// TestMechanisms runs the same seeds with each mechanism on and off: with it on
// nothing is violated, with it off something is.
func TestMechanisms(t *testing.T) {
	const seeds = 300
	cases := []struct {
		name  string
		off   mechanism
		storm bool
		// violation is part of what goes wrong without the mechanism.
		violation string
	}{
		{"frame order", offFrameOrder, false, "parts"},
		{"totals", offTotals, false, "passed off as whole"},
		{"idempotence", offIdempotence, false, "times"},
		{"pin", offPin, false, "is not of"},
		{"budget", offBudget, true, "retries"},
		{"deadline", offDeadline, false, "after its deadline"},
		{"outcome", offOutcome, false, "and ran"},
		{"crossing", offCrossing, false, "is not its own"},
		{"incarnation", offIncarnation, false, "ran"},
	}
	on := ""
	for seed := range uint64(seeds) {
		on += faultsOf(seed, 0, false)
	}
	if on != "" {
		t.Fatalf("with all mechanisms: %s", on)
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if faults := faultsOf(1, 0, c.storm); faults != "" {
				t.Fatal(faults)
			}
			for seed := range uint64(seeds) {
				if strings.Contains(faultsOf(seed, c.off, c.storm), c.violation) {
					return
				}
			}
			t.Fatalf("nothing is violated without %s", c.name)
		})
	}
}

func faultsOf(seed uint64, off mechanism, storm bool) string {
	w := newWorld(seeded(seed), off)
	w.storm = storm
	w.run(150, !storm)
	return strings.Join(w.faults, "\n")
}

// TestQuestionsResolveUnknown checks that broken streams alone, without the
// death of a target, leave no outcome unknown; without questions they do.
func TestQuestionsResolveUnknown(t *testing.T) {
	for _, off := range []mechanism{0, offQuestions} {
		unknown := 0
		for seed := range uint64(200) {
			w := newWorld(seeded(seed), off)
			w.run(100, false)
			unknown += w.unknowns()
		}
		if (unknown > 0) != (off != 0) {
			t.Fatalf("off %d: %d unknown", off, unknown)
		}
	}
}
