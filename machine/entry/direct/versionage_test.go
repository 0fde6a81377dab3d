package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
)

// Guards against requests that begin on weights that are too old (VERSION, incident inc1): all entries had started
// again, and heard the age of a version from a process whose machine had been suspended since the
// announcement. It counted the age by a clock that stands still meanwhile.
func TestVersionAgeCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, suspension, passed = 8 * time.Second, 3 * time.Second, 4 * time.Second
		asleep := time.Duration(0)
		witness := newStateWithClock(config.Bounds{OldVersionGrace: bound}, func() time.Time { return time.Now().Add(asleep) })
		witness.applyOperatorRecords(initialRecords(2))
		witness.applyOperatorRecords(announcementOf(3))
		asleep = suspension
		time.Sleep(passed)
		fs := newStartedState(bound, 3)
		fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: witness.versionAges()})
		for name, state := range map[string]*fleetState{"the suspended entry": witness, "the entry that heard from it": fs} {
			if got := state.oldestAllowed(); got != 3 {
				t.Errorf("%s: oldestAllowed() = %d, %v after version 3 was announced, want 3", name, got, suspension+passed)
			}
		}
	})
}
