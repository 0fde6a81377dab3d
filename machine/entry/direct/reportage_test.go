package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
)

// Guards against answers from weights that are not sound (WHOLE): an entry whose machine had been suspended passed on that
// an engine may be used with an age that lacked that time, and another entry took it for newer than the last report that
// it had of the engine, whose process had found the weights unsound and had ended.
func TestReportsOnEnginesCountSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const passed, suspension = 100 * time.Millisecond, 3500 * time.Millisecond
		asleep := time.Duration(0)
		suspended := newStateWithClock(config.Bounds{OldVersionGrace: time.Hour}, func() time.Time { return time.Now().Add(asleep) })
		fs := newStartedState(time.Hour, 3)
		fs.list(1, 3)
		report := contract.EngineStatus{Address: "x:1", Born: 1, Up: true, Version: 3, Number: 10}
		suspended.applyHeartbeat(contract.Heartbeat{Machine: "target-1", Engine: &report})
		withheld := report
		withheld.Changing, withheld.Number = true, 11
		fs.applyHeartbeat(contract.Heartbeat{Machine: "target-1", Engine: &withheld})
		time.Sleep(passed)
		if got := suspended.reportsFor("r"); len(got) != 1 || got[0].AgeMS != uint32(passed.Milliseconds()) {
			t.Fatalf("reports %+v before the suspension, want one of %v", got, passed)
		}
		time.Sleep(passed)
		asleep = suspension
		passedOn := suspended.reportsFor("r")
		time.Sleep(suspension)
		fs.applyHeartbeat(contract.Heartbeat{Machine: "entry-2", TargetReports: passedOn})
		if fs.isPlaced() {
			t.Errorf("a request is sent by a report of %v ago, passed on as %+v", suspension+2*passed, passedOn)
		}
	})
}
