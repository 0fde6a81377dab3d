package upgrade

import (
	"testing"
	"time"
)

// The rates are those of a link of 5.94 Mbit/s and pieces of 32,768 bytes.
const originRate = 22.7

// after returns the progress of a version of 64 pieces whose bound ends at the given time from start.
func after(end time.Duration, missing int, stalled time.Duration) VersionProgress {
	return VersionProgress{
		End: start.Add(end), Missing: missing, Total: 64, Stalled: stalled, Rate: originRate, PeakRate: originRate,
	}
}

func withoutRate(p VersionProgress) VersionProgress {
	p.Rate, p.PeakRate = 0, 0
	return p
}

// Guards against two versions that share the link of the origin, so that neither arrives within its
// bound, and against an older one that delays the newer one or never arrives when the newer one does not.
func TestPrecedenceOfTwoVersions(t *testing.T) {
	const running, away = 100 * time.Millisecond, 6 * time.Second
	yielded := after(3800*time.Millisecond, 64, running)
	yielded.Yielded = maxYield
	unknown := VersionProgress{End: start.Add(4 * time.Second), Stalled: running}
	for name, c := range map[string]struct {
		older, newer VersionProgress
		want         Precedence
	}{
		"10 pieces missing, origin back, 1.8 s left":       {after(1800*time.Millisecond, 10, running), after(3800*time.Millisecond, 64, running), OlderFirst},
		"10 pieces missing, the origin sends the newer":    {after(1800*time.Millisecond, 10, away), after(3800*time.Millisecond, 64, running), BothAtOnce},
		"10 pieces missing, the newer one waited too long": {after(1800*time.Millisecond, 10, running), yielded, NewerFirst},
		"15 pieces missing, their bound is over":           {after(-time.Millisecond, 15, running), after(2*time.Second, 4, running), NewerFirst},
		"10 pieces missing, their bound is over":           {after(-time.Millisecond, 10, running), after(2*time.Second, 64, running), OlderFirst},
		"10 pieces missing, no longer allowed when loaded": {after(-time.Millisecond, 10, running), after(time.Second, 64, running), NewerFirst},
		"15 pieces missing, the newer one would be late":   {after(1800*time.Millisecond, 15, running), after(3*time.Second, 64, running), NewerFirst},
		"10 pieces missing, the newer one is late anyway":  {after(1800*time.Millisecond, 10, running), after(3*time.Second, 64, running), OlderFirst},
		"21 pieces missing when the newer is announced":    {after(8300*time.Millisecond, 21, running), after(10300*time.Millisecond, 64, running), OlderFirst},
		"10 pieces missing, after an outage, rate unknown": {withoutRate(after(1800*time.Millisecond, 10, running)), withoutRate(after(3800*time.Millisecond, 64, running)), OlderFirst},
		"23 pieces missing, origin back, 1.8 s left":       {after(1800*time.Millisecond, 23, running), after(3800*time.Millisecond, 55, running), NewerFirst},
		"21 pieces missing, rate unknown":                  {withoutRate(after(8300*time.Millisecond, 21, running)), withoutRate(after(10300*time.Millisecond, 64, running)), NewerFirst},
		"44 pieces missing":                                {after(8*time.Second, 44, running), after(10*time.Second, 64, running), NewerFirst},
		"both stalled: the origin is away":                 {after(1800*time.Millisecond, 44, away), after(3800*time.Millisecond, 64, away), BothAtOnce},
		"the newer one does not arrive":                    {after(8*time.Second, 44, running), after(10*time.Second, 60, newerStall), BothAtOnce},
		"the newer one is complete":                        {after(8*time.Second, 2, running), after(10*time.Second, 0, away), OlderSuperseded},
		"the older one is complete":                        {after(8*time.Second, 0, away), after(10*time.Second, 64, running), BothAtOnce},
		"digests of both unknown, just started":            {unknown, unknown, NewerFirst},
	} {
		if got := Precede(start, c.older, c.newer); got != c.want {
			t.Errorf("%s: Precede() = %d, want %d", name, got, c.want)
		}
	}
}

// Guards against engines that load a version and are taken out again for the next one a moment later, and
// against engines that wait for one that does not arrive while they hold no allowed version.
func TestStagedVersionIsSkippedOnlyForOneThatArrivesInTime(t *testing.T) {
	const running = 100 * time.Millisecond
	for name, c := range map[string]struct {
		allowed time.Duration
		skipped time.Duration
		newer   VersionProgress
		want    bool
	}{
		"newer in 0.9 s, loaded one allowed for 5 s":       {5 * time.Second, 0, after(0, 20, running), true},
		"newer in 2.6 s, loaded one allowed for 5 s":       {5 * time.Second, 0, after(0, 60, running), false},
		"newer in 0.9 s, loaded one past its bound":        {-time.Second, 0, after(0, 20, running), true},
		"newer in 1.3 s, loaded one past its bound":        {-time.Second, 0, after(0, 30, running), false},
		"newer in 0.9 s for longer than a load":            {-time.Second, engineLoadTime, after(0, 20, running), false},
		"newer stands still":                               {5 * time.Second, 0, after(0, 1, yieldStall), false},
		"newer in 0.9 s, loaded one allowed for 1 s more":  {time.Second, 0, after(0, 20, running), false},
		"digests of the newer one unknown":                 {5 * time.Second, 0, VersionProgress{Rate: originRate}, false},
		"newer has brought no piece, rate unknown":         {5 * time.Second, 0, VersionProgress{Missing: 64, Total: 64}, false},
		"no version loaded, newer in 0.4 s":                {-time.Hour, 0, after(0, 9, running), true},
		"no version loaded, newer in 2.8 s, staged helps":  {-time.Hour, 0, after(0, 64, running), false},
		"loaded one allowed for long, newer in 0.4 s more": {time.Minute, 3 * time.Second, after(0, 9, running), true},
	} {
		s := SkipState{Now: start, AllowedUntil: start.Add(c.allowed), Newer: c.newer}
		if c.skipped > 0 {
			s.SkippedSince = start.Add(-c.skipped)
		}
		if got := s.WaitsForNewer(); got != c.want {
			t.Errorf("%s: WaitsForNewer() = %v, want %v", name, got, c.want)
		}
	}
}

// Guards against a wrong time of arrival: the rate must follow the pieces and fall when they stop, and
// the highest one must stay known during an outage.
func TestRateFollowsPieces(t *testing.T) {
	var m ProgressMeter
	const step = 100 * time.Millisecond
	now := start
	for i := range 20 {
		m.Observe(now, 2*i)
		now = now.Add(step)
	}
	p := m.Progress(now, 64, start)
	if p.Rate < 15 || p.Rate > 21 || p.Missing != 64-38 || p.Stalled != step {
		t.Errorf("20 pieces a second: Progress() = %+v", p)
	}
	for range 20 {
		m.Observe(now, 38)
		now = now.Add(step)
	}
	if q := m.Progress(now, 64, start); q.Rate > 1 || q.PeakRate < p.Rate || q.Stalled < 2*time.Second {
		t.Errorf("2 s without a piece: Progress() = %+v", q)
	}
}

// Guards against a newer version that waits again and again, and against one that never waits after an
// outage in whose first moments it did.
func TestWaitForOlderVersionIsCountedAnewAfterPause(t *testing.T) {
	var y YieldClock
	y.Set(start, true)
	y.Set(start.Add(maxYield/2), false)
	y.Set(start.Add(maxYield), true)
	end := start.Add(maxYield + maxYield/2)
	if got := y.Total(end); got != maxYield {
		t.Errorf("two waits shortly after each other: Total() = %v, want %v", got, maxYield)
	}
	y.Set(end, false)
	if got := y.Total(end.Add(yieldPause)); got != 0 {
		t.Errorf("after %v without a wait: Total() = %v, want 0s", yieldPause, got)
	}
}
