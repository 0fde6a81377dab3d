package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/standstill"
	"mimosastand.example/mimosastand/weights/upgrade"
)

// newSuspendableTarget returns a process that knows no version, on a machine with a clock that goes on while the
// machine is suspended.
func newSuspendableTarget(bootClock func() time.Time) *Target {
	return &Target{
		log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, bound: 8 * time.Second,
		bootClock: bootClock, announced: upgrade.NewVersionTracker(bootClock()), pauses: standstill.NewDetectorWithClock(minPause, bootClock),
	}
}

// Guards against requests that begin on weights that are too old (VERSION, incident inc1): the process beside an engine
// reported to entries that had started again an age that lacked the time for which its machine had been suspended, and the
// engine took its turn to load by that age.
func TestVersionAgeCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspension, passed = 3 * time.Second, 4 * time.Second
		asleep := time.Duration(0)
		bootClock := func() time.Time { return time.Now().Add(asleep) }
		target := newSuspendableTarget(bootClock)
		target.applyAnnouncement(testModel, []byte(`{"version":3}`), time.Now())
		asleep = suspension
		time.Sleep(passed)
		ages := target.versionAges()
		if want := uint32((suspension + passed).Milliseconds()); len(ages) != 1 || ages[0].AgeMS != want {
			t.Errorf("ages in the heartbeat: %+v, want one of %d ms", ages, want)
		}
		if got := time.Since(target.behindSince(testModel, 2)); got != suspension+passed {
			t.Errorf("the engine counts as behind for %v, want %v", got, suspension+passed)
		}
		end, ok := target.versionEnd(testModel, 3)
		if left, want := time.Until(end), target.bound-suspension-passed; !ok || left != want {
			t.Errorf("%v left until the bound ends, want %v", left, want)
		}
	})
}

// Guards against requests that begin on weights that are too old (VERSION): the process beside an engine stood still
// with a heartbeat unread, and passed the age in it on to entries as if no more time had passed. After a short standstill
// the bound must not count as ended.
func TestVersionAgeReadAfterStandstillMayBeShort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const age = time.Second
		for _, standstill := range []time.Duration{4 * time.Second, 600 * time.Millisecond} {
			target := newSuspendableTarget(time.Now)
			time.Sleep(standstill)
			target.applyPeerAges(contract.Heartbeat{Announced: []contract.AnnouncedVersion{{Model: testModel, Version: 3, AgeMS: 1000, Witnessed: true}}})
			ages := target.versionAges()
			if len(ages) != 1 || ages[0].UncertainMS != uint32(standstill.Milliseconds()) {
				t.Errorf("ages in the heartbeat: %+v, want one that is uncertain by %v", ages, standstill)
			}
			if behind := time.Since(target.behindSince(testModel, 2)); behind < age+standstill/2 || behind > age+standstill {
				t.Errorf("the engine counts as behind for %v after a standstill of %v, want %v at most", behind, standstill, age+standstill)
			}
		}
	})
}
