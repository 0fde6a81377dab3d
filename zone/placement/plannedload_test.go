package placement

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/plannedload"
	"mimosastand.example/mimosastand/zone/roster"
)

// Guards against long requests that keep an engine from loading new weights when its turn comes: it takes no
// others until they have ended, and the rest of the fleet bears its load meanwhile.
func TestLongRequestsAvoidTargetThatIsToLoad(t *testing.T) {
	const short, long = 10, 400
	p := pacedPool(100)
	plans := plannedload.NewTracker()
	p.SetPlannedLoads(plans)
	loading := p.members[0]
	key := roster.ReportKeyOf(loading.Address, loading.Born)
	plans.Observe(start, key, 1, time.Second)
	counts := map[float64]int{}
	for _, tokens := range []float64{short, long} {
		for range 100 {
			if c, r := p.Pick(start, Requirements{AnswerTokens: tokens}, time.Minute); r == Placed && c.ID == loading.ID {
				counts[tokens]++
			}
		}
	}
	if counts[long] > 0 || counts[short] == 0 {
		t.Errorf("the target that is to load got %d long and %d short of 100 requests each, want none and some", counts[long], counts[short])
	}
	for _, m := range p.members[1:] {
		m.Leaving = true
	}
	if c, r := p.Pick(start, Requirements{AnswerTokens: long}, time.Minute); r != Placed || c.ID != loading.ID {
		t.Errorf("as the only target: Pick() = %v, %d, want it to be used", c.ID, r)
	}
}
