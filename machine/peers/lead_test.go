package peers

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// All that lag asked the one peer that had told first, and its link was full.
func TestAllPeersThatAreAheadAreAsked(t *testing.T) {
	l := newLead()
	for _, id := range []contract.MachineID{"entry-1", "entry-2", "entry-3"} {
		l.tell(time.Now(), id, 7)
	}
	asked := map[contract.MachineID]bool{}
	for range 200 {
		asked[l.any()] = true
	}
	if len(asked) != 3 {
		t.Errorf("asked %v", asked)
	}
	l.drop("entry-2")
	l.drop("entry-1")
	if !l.ahead(-1) || l.any() != "entry-3" {
		t.Errorf("left %+v", l)
	}
	if l.drop("entry-3"); l.ahead(-1) {
		t.Errorf("ahead with nobody left: %+v", l)
	}
}
