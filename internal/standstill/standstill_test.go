package standstill

import (
	"testing"
	"testing/synctest"
	"time"
)

const testMin = 250 * time.Millisecond

// Guards against standstills that are not noticed, or taken for ones of another kind: the monotonic clock goes on
// while a process is stopped, and stands still while its machine is suspended.
func TestStandstillsAreNoticedOnce(t *testing.T) {
	for name, c := range map[string]struct {
		stopped, suspended time.Duration
		isNew              bool
	}{
		"ran":       {testMin / 2, 0, false},
		"stopped":   {3 * time.Second, 0, true},
		"suspended": {testMin / 2, 3 * time.Second, true},
	} {
		synctest.Test(t, func(t *testing.T) {
			asleep := time.Duration(0)
			d := NewDetectorWithClock(testMin, func() time.Time { return time.Now().Add(asleep) })
			if _, isNew := d.Observe(); isNew {
				t.Errorf("%s: the first observation notices a standstill", name)
			}
			time.Sleep(c.stopped)
			asleep += c.suspended
			got, isNew := d.Observe()
			want := Standstill{}
			if c.isNew {
				want = Standstill{EndedAt: time.Now(), Lasted: c.stopped + c.suspended, Suspended: c.suspended}
			}
			if got != want || isNew != c.isNew {
				t.Errorf("%s: Observe() = %+v, %v, want %+v, %v", name, got, isNew, want, c.isNew)
			}
			if again, isNew := d.Observe(); again != want || isNew {
				t.Errorf("%s: second Observe() = %+v, %v, want the same, not new", name, again, isNew)
			}
		})
	}
}

func TestRestartedObservationsNoticeNothing(t *testing.T) {
	boot := time.Unix(0, 0)
	d := NewDetectorWithClock(testMin, func() time.Time { return boot })
	d.Observe()
	boot = boot.Add(time.Hour)
	d.Restart()
	if s, isNew := d.Observe(); isNew || !s.EndedAt.IsZero() {
		t.Errorf("Observe() = %+v, %v after Restart(), want no standstill", s, isNew)
	}
}
