package placement

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// Guards against requests that are refused although an engine could serve them: after a loss of power
// the target list still named the engines of before, each request went to one of these, was told that
// it is another one by now, and was not sent again.
func TestMisdirectedTargetGetsNothingUntilMoreIsKnown(t *testing.T) {
	service := modelService()
	for name, c := range map[string]struct {
		learn func(*roster.Roster, time.Time)
		want  bool
	}{
		"nothing learned": {func(*roster.Roster, time.Time) {}, false},
		"listed again":    {func(r *roster.Roster, now time.Time) { r.Update(now, listedAgain(r), time.Time{}) }, true},
		"process reports": {func(r *roster.Roster, now time.Time) {
			r.Report(now, "stale:1", 0, roster.Status{Version: 1, Ready: true})
		}, true},
		"older list entry": {func(r *roster.Roster, now time.Time) { r.Update(now.Add(-time.Second), listedAgain(r), time.Time{}) }, false},
	} {
		r := roster.New(0)
		r.Update(start.Add(-time.Minute), engineMember("stale", "a").Target, time.Time{})
		p := newPool(r.Members("")...)
		p.SetService(service)
		p.Misdirected(start, "stale")
		now := start.Add(100 * time.Millisecond)
		if _, refusal := p.Pick(now, Requirements{}, time.Second); refusal != NoTarget {
			t.Errorf("%s: Pick() after the refusal = %d, want NoTarget", name, refusal)
		}
		c.learn(r, now)
		if _, refusal := p.Pick(now.Add(time.Millisecond), Requirements{}, time.Second); (refusal == Placed) != c.want {
			t.Errorf("%s: Pick() = %d, want placed %v", name, refusal, c.want)
		}
		if _, refusal := p.Pick(start.Add(misdirectedMaxAge), Requirements{}, time.Second); refusal != Placed {
			t.Errorf("%s: Pick() %v after the refusal = %d, want Placed", name, misdirectedMaxAge, refusal)
		}
	}
}

// listedAgain returns the next entry of the only target in the list.
func listedAgain(r *roster.Roster) roster.Target {
	t := r.Members("")[0].Target
	t.Seq++
	return t
}
