package dispatch

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestLossMechanisms runs a scenario for each mechanism that carries requests
// over the loss of targets: without it, requests are refused.
func TestLossMechanisms(t *testing.T) {
	cases := map[string]mechanism{"loss": offLossGrace, "target_dies": offLostMoves}
	for name, off := range cases {
		t.Run(name, func(t *testing.T) {
			h := newHarness()
			h.machine.off = off
			same := true
			datadriven.RunTest(t, "testdata/"+name+".txt", func(t *testing.T, d *datadriven.TestData) string {
				same = h.command(t, d) == d.Expected && same
				return d.Expected
			})
			if same {
				t.Fatal("nothing changes without the mechanism")
			}
		})
	}
}
