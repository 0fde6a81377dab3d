package placement

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// Every target is counted once, by the rule that excludes it.
func TestSurveyCountsTargetsByExclusion(t *testing.T) {
	leaving, old, tried := engineMember("leaving", "a"), engineMember("old", "a"), engineMember("tried", "a")
	leaving.Leaving = true
	tried.Model.Version, old.Model.Version = 2, 1
	evacuated, far := engineMember("evacuated", "c"), engineMember("far", "b")
	full, fuller := engineMember("full", "a"), engineMember("fuller", "a")
	for _, m := range []*roster.Member{leaving, evacuated, far, full, fuller} {
		m.Model.Version = 2
	}
	p := newPool(leaving, old, tried, evacuated, far, full, fuller)
	p.SetEvacuated(map[contract.ZoneName]bool{"c": true})
	p.SetPeerLoad("full", 6)
	p.SetPeerLoad("fuller", 9)
	req := Requirements{
		RegionAllowed: func(r contract.RegionName) bool { return r != "rb" },
		MinVersion:    2,
		Tried:         []roster.TargetID{"tried"},
	}
	const limit = 300 * time.Millisecond
	if _, outcome := p.Pick(start, req, limit); outcome != Full {
		t.Fatalf("Pick(): refusal %d, want Full", outcome)
	}
	s := p.Survey(start, req, limit)
	sum := 0
	s.Each(func(_ Exclusion, n int) { sum += n })
	if sum != s.Listed || s.Listed != 7 {
		t.Errorf("%d of %d listed targets counted, want 7 of 7", sum, s.Listed)
	}
	for exclusion, want := range map[Exclusion]int{ExcludedLeaving: 1, ExcludedVersion: 1, ExcludedTried: 1, ExcludedEvacuated: 1, ExcludedRegion: 1, ExcludedFull: 2, NotExcluded: 0} {
		if s.Counts[exclusion] != want {
			t.Errorf("Counts[%s] = %d, want %d", exclusion, s.Counts[exclusion], want)
		}
	}
	if s.Nearest.ID != "full" || s.Nearest.Load != 6 || s.Nearest.StatusAge >= 0 || s.MinVersion != 2 || s.Nearest.MinVersion != 2 || s.Limit != limit {
		t.Errorf("Survey() = %+v, want Nearest full with Load 6, a negative StatusAge and MinVersion 2, MinVersion 2, Limit 300ms", s)
	}
}

// An ejected target is not counted as one with room.
func TestSurveyCountsEjectedTargets(t *testing.T) {
	full, ejected := engineMember("full", "a"), engineMember("out", "a")
	p := newPool(full, ejected)
	p.SetPeerLoad("full", 9)
	now := start
	for range 20 {
		p.Sent(now, "out")
		p.Failed(now, "out", true)
		p.Ended("out")
		now = now.Add(10 * time.Millisecond)
	}
	const limit = 300 * time.Millisecond
	if _, outcome := p.Pick(now, Requirements{}, limit); outcome != Full {
		t.Fatalf("Pick(): refusal %d, want Full", outcome)
	}
	s := p.Survey(now, Requirements{}, limit)
	if s.Counts[ExcludedEjected] != 1 || s.Counts[ExcludedFull] != 1 || s.Counts[NotExcluded] != 0 {
		t.Errorf("Survey() = %+v, want 1 ejected, 1 full, none with room", s)
	}
}

// Survey and Pick agree on whether there is room.
func TestSurveyAgreesWithPick(t *testing.T) {
	p := newPool(engineMember("x", "a"), engineMember("y", "b"))
	p.SetColdShares(newColdShares("entry-0", entryIDs(1), 4))
	now := start
	for i := range 200 {
		now = now.Add(15 * time.Millisecond)
		c, outcome := p.Pick(now, Requirements{}, time.Second)
		if free := p.Survey(now, Requirements{}, time.Second).Counts[NotExcluded]; (free > 0) != (outcome == Placed) {
			t.Fatalf("step %d: Survey() counts %d targets with room, Pick(): refusal %d", i, free, outcome)
		}
		if outcome == Placed {
			p.Sent(now, c.ID)
		}
	}
}
