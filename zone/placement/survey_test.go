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
	p.SetPeerLoad("full", 6)
	p.SetPeerLoad("fuller", 9)
	want := Requirements{
		RegionAllowed: func(r contract.RegionName) bool { return r != "rb" },
		MinVersion:    2,
		Tried:         []roster.TargetID{"tried"},
	}
	const limit = 300 * time.Millisecond
	if _, refusal := p.Pick(start, want, limit); refusal != Full {
		t.Fatalf("refusal %d", refusal)
	}
	s := p.Survey(start, want, limit)
	sum := 0
	s.Each(func(_ Exclusion, n int) { sum += n })
	if sum != s.Listed || s.Listed != 7 {
		t.Errorf("%d of %d targets told", sum, s.Listed)
	}
	for bar, n := range map[Exclusion]int{ExcludedLeaving: 1, ExcludedVersion: 1, ExcludedTried: 1, ExcludedEvacuated: 1, ExcludedRegion: 1, ExcludedFull: 2, NotExcluded: 0} {
		if s.Counts[bar] != n {
			t.Errorf("%s: %d, want %d", bar, s.Counts[bar], n)
		}
	}
	if s.Nearest.ID != "full" || s.Nearest.Load != 6 || s.Nearest.StatusAge >= 0 || s.MinVersion != 2 || s.Nearest.MinVersion != 2 || s.Limit != limit {
		t.Errorf("survey %+v", s)
	}
}

// A target that is taken out, or due for a trial while its machine is silent, is not
// told as one with room.
func TestSurveyTellsTargetsTakenOut(t *testing.T) {
	full, out := engine("full", "a"), engine("out", "a")
	p := newPool(full, out)
	p.SetPeerLoad("full", 9)
	now := start
	for range 20 {
		p.Sent(now, "out")
		p.Failed(now, "out", true)
		p.Ended("out")
		now = now.Add(10 * time.Millisecond)
	}
	const limit = 300 * time.Millisecond
	if _, refusal := p.Pick(now, Requirements{}, limit); refusal != Full {
		t.Fatalf("refusal %d", refusal)
	}
	s := p.Survey(now, Requirements{}, limit)
	if s.Counts[ExcludedEjected] != 1 || s.Counts[ExcludedFull] != 1 || s.Counts[NotExcluded] != 0 {
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
		c, refusal := p.Pick(now, Requirements{}, time.Second)
		if free := p.Survey(now, Requirements{}, time.Second).Counts[NotExcluded]; (free > 0) != (refusal == Placed) {
			t.Fatalf("step %d: %d free, refusal %d", i, free, refusal)
		}
		if refusal == Placed {
			p.Sent(now, c.ID)
		}
	}
}
