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

// Guards against requests that begin on weights that are too old (VERSION): an entry that has started again stood still
// with a heartbeat unread. The age in it was short by then, and replaced the assumption that a version that is
// found at the start is nearly due.
func TestVersionAgeReadAfterStandstillIsNoWitness(t *testing.T) {
	const bound, standstill, age = 8 * time.Second, 4 * time.Second, 4 * time.Second
	heartbeat := func(age time.Duration) contract.Heartbeat {
		return contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: []contract.AnnouncedVersion{
			{Model: testModel, Version: 3, AgeMS: uint32(age.Milliseconds()), Witnessed: true},
		}}
	}
	for name, suspended := range map[string]bool{"stopped": false, "suspended": true} {
		synctest.Test(t, func(t *testing.T) {
			asleep := time.Duration(0)
			fs := newStateWithClock(config.Bounds{OldVersionGrace: bound}, func() time.Time { return time.Now().Add(asleep) })
			fs.applyOperatorRecords(initialRecords(3))
			fs.pauses.Observe()
			if suspended {
				asleep = standstill
			} else {
				time.Sleep(standstill)
			}
			fs.applyHeartbeat(heartbeat(age))
			if got := fs.oldestAllowed(); got != 3 {
				t.Errorf("%s: oldestAllowed() = %d, %v after version 3 was announced, want 3", name, got, age+standstill)
			}
			for range 20 {
				time.Sleep(maintenanceInterval)
				fs.pauses.Observe()
			}
			// A version whose age is heard long after the standstill has its bound.
			fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: []contract.AnnouncedVersion{
				{Model: testModel, Version: 4, AgeMS: 1000, Witnessed: true},
			}})
			if got := fs.oldestAllowed(); got != 3 {
				t.Errorf("%s: oldestAllowed() = %d, 1 s after version 4 was announced, want 3", name, got)
			}
		})
	}
}
