package placement

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/roster"
)

// runFor advances the time of a test and of the process.
func runFor(p *Pool, now *time.Time, d time.Duration) {
	*now = now.Add(d)
	p.SetRunTime(p.runTime + d)
}

// Guards against requests to a target that wants none, by each way to choose one.
func TestPickSkipsTargetThatBacksOff(t *testing.T) {
	now := start
	p := newPool(engineMember("x", "a"), engineMember("y", "b"))
	if !p.BackOff("x", 0, 3*time.Second) || p.BackOff("x", 0, time.Second) {
		t.Error("want the first word of a target that wants no requests to be new, and the second not")
	}
	if c, _ := p.Pick(now, Requirements{}, time.Second); c.ID != "y" {
		t.Errorf("Pick() = %s, want the other target", c.ID)
	}
	p.BackOff("y", 0, 2*time.Second)
	// Ejected targets are considered if no other has room, those that back off are not.
	for range ejection.FailuresToEject {
		p.Failed(now, "y", false)
	}
	if c, outcome := p.Pick(now, Requirements{}, time.Second); outcome != BackedOff {
		t.Errorf("Pick() = %s, %d, want BackedOff", c.ID, outcome)
	}
	if s := p.Survey(now, Requirements{}, time.Second); s.Counts[ExcludedBackoff] != 2 {
		t.Errorf("Survey() counts %d targets that back off, want 2", s.Counts[ExcludedBackoff])
	}
	if wait, ok := p.PredictWait(now, Requirements{}, time.Second); !ok || wait != 2*time.Second {
		t.Errorf("PredictWait() = %v, %v, want 2s until the first of them takes a request", wait, ok)
	}
	if p.EjectedCount(now) != 1 {
		t.Errorf("%d targets ejected, want 1: one that backs off is not ill", p.EjectedCount(now))
	}
	runFor(p, &now, 3*time.Second)
	if c, outcome := p.Pick(now, Requirements{Tried: []roster.TargetID{"y"}}, time.Second); outcome != Placed || c.ID != "x" {
		t.Errorf("Pick() = %s, %d after the time, want the target", c.ID, outcome)
	}
}

func TestBackoffEnds(t *testing.T) {
	for name, c := range map[string]struct {
		change func(p *Pool, now *time.Time)
		want   bool
	}{
		"time has passed":     {func(p *Pool, now *time.Time) { runFor(p, now, 3*time.Second) }, true},
		"not yet":             {func(p *Pool, now *time.Time) { runFor(p, now, 2900*time.Millisecond) }, false},
		"process stood still": {func(p *Pool, now *time.Time) { *now = now.Add(3 * time.Second) }, false},
		"another answer asks for more": {func(p *Pool, now *time.Time) {
			runFor(p, now, time.Second)
			p.BackOff("x", 0, 3*time.Second)
			runFor(p, now, 2500*time.Millisecond)
		}, false},
		"another answer asks for less": {func(p *Pool, now *time.Time) { p.BackOff("x", 0, time.Second); runFor(p, now, 2*time.Second) }, false},
		"new incarnation": {func(p *Pool, now *time.Time) {
			m := engineMember("x", "a")
			m.Born = 7
			p.SetMembers(*now, []*roster.Member{m})
		}, true},
		"not listed for a while": {func(p *Pool, now *time.Time) {
			p.SetMembers(*now, nil)
			p.SetMembers(*now, []*roster.Member{engineMember("x", "a")})
		}, false},
		"word of a former incarnation": {func(p *Pool, now *time.Time) { runFor(p, now, 3*time.Second); p.BackOff("x", 5, 3*time.Second) }, true},
		"former incarnation speaks late": {func(p *Pool, now *time.Time) {
			m := engineMember("x", "a")
			m.Born = 7
			p.SetMembers(*now, []*roster.Member{m})
			p.BackOff("x", 7, 3*time.Second)
			p.BackOff("x", 0, time.Second)
		}, false},
	} {
		now := start
		p := newPool(engineMember("x", "a"))
		p.BackOff("x", 0, 3*time.Second)
		c.change(p, &now)
		_, outcome := p.Pick(now, Requirements{}, time.Second)
		if got := outcome == Placed; got != c.want {
			t.Errorf("%s: placed = %v, want %v", name, got, c.want)
		}
	}
}
