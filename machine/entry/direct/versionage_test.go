package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights/upgrade"
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
func TestVersionAgeReadAfterStandstillMayBeShort(t *testing.T) {
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

// Guards against requests that begin on weights that are too old (VERSION, incident inc1): the only process that knew the
// age of a version had read the record late, since it stood still or the store did not wake its read, and dated the version by that.
func TestVersionReadLateIsDatedByItsAbsence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, late, restart = 8 * time.Second, 2300 * time.Millisecond, 6 * time.Second
		announced := time.Now()
		witness := newEmptyState(config.Bounds{OldVersionGrace: bound})
		witness.applyOperatorRecords(initialRecords(2))
		update := announcementOf(3)
		time.Sleep(late)
		witness.applyOperatorRecords(update)
		time.Sleep(restart - late)
		fs := newStartedState(bound, 3)
		fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: witness.versionAges()})
		for time.Since(announced) < bound {
			time.Sleep(50 * time.Millisecond)
		}
		if fs.mayBegin(testService, 2) {
			t.Errorf("requests may begin on version 2 %v after version 3 was announced, want %v at most", time.Since(announced), bound)
		}
	})
}

// Guards against requests that are refused although they may begin on the weights of an engine: after a short
// standstill a version that had just been announced counted as past its bound.
func TestVersionHeardAfterShortStandstillHasItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound, standstill = 8 * time.Second, 600 * time.Millisecond
		fs := newEmptyState(config.Bounds{OldVersionGrace: bound})
		fs.applyOperatorRecords(initialRecords(2))
		for range 240 {
			time.Sleep(maintenanceInterval)
			fs.pauses.Observe()
		}
		time.Sleep(standstill)
		announced := time.Now()
		fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", Zone: "a", Announced: []contract.AnnouncedVersion{
			{Model: testModel, Version: 3, Witnessed: true},
		}})
		for time.Since(announced) < bound-upgrade.SendMargin-standstill {
			time.Sleep(100 * time.Millisecond)
			if got := fs.oldestAllowed(); got >= 3 {
				t.Fatalf("oldestAllowed() = %d, %v after version 3 was announced, want 2 at most", got, time.Since(announced))
			}
		}
	})
}
