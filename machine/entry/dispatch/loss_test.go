package dispatch

import (
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestLossGraceIsNeeded runs the scenario of lost targets without the grace, by
// which requests are refused that a new connection would have served.
func TestLossGraceIsNeeded(t *testing.T) {
	h := newHarness()
	h.machine.off = offLossGrace
	same := true
	datadriven.RunTest(t, "testdata/loss.txt", func(t *testing.T, d *datadriven.TestData) string {
		same = h.command(t, d) == d.Expected && same
		return d.Expected
	})
	if same {
		t.Fatal("nothing changes without the grace")
	}
}
