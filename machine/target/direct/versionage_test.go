package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/weights/upgrade"
)

// Guards against requests that begin on weights that are too old (VERSION, incident inc1): the process beside an engine
// told entries that had started again an age that lacked the time for which its machine had been suspended, and the
// engine took its turn to load by that age.
func TestVersionAgeCountsSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const suspension, passed = 3 * time.Second, 4 * time.Second
		asleep := time.Duration(0)
		bootClock := func() time.Time { return time.Now().Add(asleep) }
		target := &Target{
			log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}, bound: 8 * time.Second,
			bootClock: bootClock, announced: upgrade.NewVersionTracker(bootClock()),
		}
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
