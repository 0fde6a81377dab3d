package placement

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// Every target that a request does not get is counted under one rule.
func TestSurveyNamesTheRuleOfEachTarget(t *testing.T) {
	leaving, old, tried := engine("leaving", "a"), engine("old", "a"), engine("tried", "a")
	leaving.Leaving = true
	tried.Model.Version, old.Model.Version = 2, 1
	evacuated, far := engine("evacuated", "c"), engine("far", "b")
	full, fuller := engine("full", "a"), engine("fuller", "a")
	for _, m := range []*roster.Member{leaving, evacuated, far, full, fuller} {
		m.Model.Version = 2
	}
	p := newPool(leaving, old, tried, evacuated, far, full, fuller)
	p.SetEvacuated(map[contract.ZoneName]bool{"c": true})
	p.SetOthers("full", 6)
	p.SetOthers("fuller", 9)
	want := Want{
		Allowed:    func(r contract.RegionName) bool { return r != "rb" },
		MinVersion: 2,
		Tried:      []roster.TargetID{"tried"},
	}
	const limit = 300 * time.Millisecond
	if _, refusal := p.Pick(start, want, limit); refusal != Full {
		t.Fatalf("refusal %d", refusal)
	}
	s := p.Survey(start, want, limit)
	sum := 0
	s.Each(func(_ Bar, n int) { sum += n })
	if sum != s.Listed || s.Listed != 7 {
		t.Errorf("%d of %d targets told", sum, s.Listed)
	}
	for bar, n := range map[Bar]int{BarLeaving: 1, BarVersion: 1, BarTried: 1, BarEvacuated: 1, BarRegion: 1, BarFull: 2, NoBar: 0} {
		if s.Barred[bar] != n {
			t.Errorf("%s: %d, want %d", bar, s.Barred[bar], n)
		}
	}
	if s.Nearest.ID != "full" || s.Nearest.Load != 6 || s.Nearest.ToldAge >= 0 || s.Oldest != 2 || s.Nearest.Oldest != 2 || s.Limit != limit {
		t.Errorf("survey %+v", s)
	}
}

// A target that is taken out, or due for a trial while its machine is silent, is not
// told as one with room.
func TestSurveyTellsTargetsTakenOut(t *testing.T) {
	full, out := engine("full", "a"), engine("out", "a")
	p := newPool(full, out)
	p.SetOthers("full", 9)
	now := start
	for range 20 {
		p.Sent(now, "out")
		p.Failed(now, "out", true)
		p.Ended("out")
		now = now.Add(10 * time.Millisecond)
	}
	const limit = 300 * time.Millisecond
	if _, refusal := p.Pick(now, Want{}, limit); refusal != Full {
		t.Fatalf("refusal %d", refusal)
	}
	s := p.Survey(now, Want{}, limit)
	if s.Barred[BarOut] != 1 || s.Barred[BarFull] != 1 || s.Barred[NoBar] != 0 {
		t.Errorf("survey %+v", s)
	}
}

// A survey and a choice agree on whether there is room.
func TestSurveyAgreesWithTheChoice(t *testing.T) {
	p := newPool(engine("x", "a"), engine("y", "b"))
	p.SetColdShares(coldShares("entry-0", coldEntries(1), 4))
	now := start
	for i := range 200 {
		now = now.Add(15 * time.Millisecond)
		c, refusal := p.Pick(now, Want{}, time.Second)
		if free := p.Survey(now, Want{}, time.Second).Barred[NoBar]; (free > 0) != (refusal == Placed) {
			t.Fatalf("step %d: %d free, refusal %d", i, free, refusal)
		}
		if refusal == Placed {
			p.Sent(now, c.ID)
		}
	}
}
