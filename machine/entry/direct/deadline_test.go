package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/entry/attempts"
)

// Guards against requests that are held past their route's timeout (CONFIG), and targets that are given more time than
// is left (BUDGET): a deadline was kept by a clock that stands still while the machine is suspended, so that it came
// later by that time.
func TestDeadlineCountsSuspension(t *testing.T) {
	meters := newMeters(metrics.New().Scope())
	synctest.Test(t, func(t *testing.T) {
		const timeout, passed, suspension = 10 * time.Second, time.Second, 3 * time.Second
		asleep := time.Duration(0)
		fs := newStateWithClock(config.Bounds{OldVersionGrace: time.Hour}, func() time.Time { return time.Now().Add(asleep) })
		fs.applyOperatorRecords(initialRecords(3))
		p := newWaitingPair(fs, 3)
		c := p.call
		c.entry.log, c.entry.meters = &log.Logger{Handler: discard.Default}, meters
		c.route.Timeout, c.arrived = timeout, time.Now()
		c.setDeadline()
		time.Sleep(passed)
		asleep = suspension
		if got := p.current.request().header.Get("Deadline-Ms"); got != "6000" {
			t.Errorf("Deadline-Ms: %s for the target, want 6000", got)
		}
		ended := make(chan attempts.Outcome, 1)
		go func() {
			outcome, _ := p.forward()
			ended <- outcome
		}()
		// The loop that looks at attempts ends a little later than the last one.
		defer time.Sleep(2 * checkInterval)
		const left = timeout - passed - suspension
		time.Sleep(left - checkInterval)
		select {
		case <-ended:
			t.Errorf("the attempt ended %v before the deadline", checkInterval)
			return
		default:
		}
		time.Sleep(3 * checkInterval)
		select {
		case <-ended:
		default:
			t.Errorf("the attempt is under way %v after the deadline", 2*checkInterval)
			p.current.parts <- part{ended: true, outcome: attempts.Lost}
			<-ended
			return
		}
		if got := attempts.Decide(attempts.Lost, c.attemptState()); got != attempts.Expire {
			t.Errorf("verdict %v, want %v", got, attempts.Expire)
		}
	})
}
