package dispatch

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDisabledLossMechanismChangesScenario checks that the scenario of each mechanism
// that saves requests from the loss of targets fails without it: with the mechanism
// disabled, some output differs from the expected one.
func TestDisabledLossMechanismChangesScenario(t *testing.T) {
	cases := map[string]mechanism{"loss": disableLossGrace, "target_dies": disableLossReroute}
	for name, disabled := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.machine.disabled = disabled
			matches := true
			datadriven.RunTest(t, "testdata/"+name+".txt", func(t *testing.T, d *datadriven.TestData) string {
				matches = h.runCommand(t, d) == d.Expected && matches
				return d.Expected
			})
			if matches {
				t.Fatal("output is as expected with the mechanism disabled, want a difference")
			}
		})
	}
}
