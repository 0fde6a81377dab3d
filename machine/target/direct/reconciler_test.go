package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/roster"
)

// newIdleReconciler returns a reconciler whose boot time goes by the clock of the test.
func newIdleReconciler() *reconciler {
	booted := time.Now()
	return &reconciler{
		target:   &Target{process: &config.Process{Fleet: &config.Fleet{}}},
		bootTime: func() time.Duration { return time.Since(booted) },
	}
}

// reportOf returns what an engine reports that has loaded a version, 0 for none.
func reportOf(version int64, busy bool) platform.Report {
	layers := 16
	if version == 0 {
		layers = 0
	}
	return platform.Report{Born: 1, Busy: busy, Model: roster.Model{Version: version, Layers: layers}}
}

// Guards against engines that have loaded their weights and get no requests: an empty engine loads in
// less time than a report may lag, and entries learned only with a later heartbeat that it was back.
func TestLoadedEngineIsReportedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newIdleReconciler()
		r.recordReport(reportOf(0, false), true)
		if got := r.nextPollDelay(); got != pollInterval {
			t.Errorf("at rest: nextPollDelay() = %v, want %v", got, pollInterval)
		}
		r.changePending, r.orderedAt, r.orderedVersion = true, time.Now(), 2
		for _, c := range []struct {
			after    time.Duration
			report   platform.Report
			changing bool
		}{
			{10 * time.Millisecond, reportOf(0, false), true},
			{50 * time.Millisecond, reportOf(0, true), true},
			{300 * time.Millisecond, reportOf(2, false), false},
		} {
			time.Sleep(c.after)
			r.recordReport(c.report, true)
			if c.report.Busy {
				// The weights are proved while the engine loads them.
				r.proof.sound = weightsState{born: 1, version: 2}
			}
			if got := r.status(); got.Changing != c.changing {
				t.Errorf("%+v: Changing = %v, want %v", c.report, got.Changing, c.changing)
			}
			if got := r.nextPollDelay(); (got == changePollInterval) != c.changing {
				t.Errorf("%+v: nextPollDelay() = %v", c.report, got)
			}
		}
	})
}

// Guards against an engine that stays out of use because it did not load what it was ordered to.
func TestOrderEndsWithoutEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newIdleReconciler()
		r.recordReport(reportOf(1, false), true)
		r.changePending, r.orderedAt, r.orderedVersion = true, time.Now(), 2
		time.Sleep(orderReportLag)
		r.recordReport(reportOf(1, false), true)
		if !r.status().Changing {
			t.Error("the report may not show the order yet: Changing = false, want true")
		}
		time.Sleep(time.Millisecond)
		r.recordReport(reportOf(1, false), true)
		if r.status().Changing {
			t.Error("the order has had no effect: Changing = true, want false")
		}
	})
}
