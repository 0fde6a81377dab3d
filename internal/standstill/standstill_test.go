package standstill

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
)

const testMin = 250 * time.Millisecond

// Guards against standstills that are not noticed, or taken for ones of another kind: the monotonic clock goes on
// while a process is stopped, and stands still while its machine is suspended.
func TestStandstillsAreNoticedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		stopped, suspended time.Duration
		isNoticed          bool
	}{
		"ran":       {testMin / 2, 0, false},
		"stopped":   {3 * time.Second, 0, true},
		"suspended": {testMin / 2, 3 * time.Second, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			asleep := time.Duration(0)
			d := NewDetectorWithClock(testMin, func() time.Time { return time.Now().Add(asleep) })
			time.Sleep(c.stopped)
			asleep += c.suspended
			want := Standstill{}
			if c.isNoticed {
				want = Standstill{EndedAt: time.Now(), Lasted: c.stopped + c.suspended, Suspended: c.suspended}
			}
			logs := memory.New()
			logger := &log.Logger{Handler: logs, Level: log.InfoLevel}
			for range 2 {
				if got := d.Observe(); got != want {
					t.Errorf("%s: Observe() = %+v, want %+v", name, got, want)
				}
				d.Log(logger)
			}
			if logged := len(logs.Entries) == 1; logged != c.isNoticed || len(logs.Entries) > 1 {
				t.Errorf("%s: %d lines logged, want one for a standstill", name, len(logs.Entries))
			}
			if got := d.ReadDelay(); got != want.Lasted {
				t.Errorf("%s: ReadDelay() = %v, want %v", name, got, want.Lasted)
			}
			for range int(LateReadTime/testMin) * 2 {
				time.Sleep(testMin / 2)
				d.Observe()
			}
			if got := d.ReadDelay(); got != 0 {
				t.Errorf("%s: ReadDelay() = %v %v later, want 0", name, got, LateReadTime)
			}
		})
	}
}

func TestRestartedObservationsNoticeNothing(t *testing.T) {
	boot := time.Unix(0, 0)
	d := NewDetectorWithClock(testMin, func() time.Time { return boot })
	boot = boot.Add(time.Hour)
	d.Restart()
	if s := d.Observe(); !s.EndedAt.IsZero() {
		t.Errorf("Observe() = %+v after Restart(), want no standstill", s)
	}
}
