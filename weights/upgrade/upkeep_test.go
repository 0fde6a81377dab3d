package upgrade

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func view() EngineState {
	return EngineState{
		Now: start, Up: true, Loaded: 1, Desired: 2, BehindSince: start.Add(-2 * time.Second), StagedAt: start,
		Rank: 0, ZoneTargets: 4, Bound: 8 * time.Second,
	}
}

func TestFirstInRankIsAnnouncedThenLoads(t *testing.T) {
	v := view()
	if got := Decide(v); got != NotifyEntries {
		t.Errorf("at its turn: %d", got)
	}
	v.Now = v.Now.Add(notice)
	if got := Decide(v); got != Load {
		t.Errorf("after the notice: %d", got)
	}
}

// The turns of a zone are apart, over all of the time in which an engine is of use with
// the older version: while one loads it serves nobody.
func TestTurnsAreSpreadWithinTheBound(t *testing.T) {
	var last time.Time
	for rank := range 4 {
		v := view()
		v.Rank = rank
		due := v.DueAt()
		if rank > 0 && due.Sub(last) < 500*time.Millisecond {
			t.Errorf("rank %d is due %v after the one before", rank, due.Sub(last))
		}
		if left := v.BehindSince.Add(v.Bound).Sub(due); left < lastTurn {
			t.Errorf("rank %d begins %v before the bound", rank, left)
		}
		last = due
	}
	if apart := last.Sub(start); apart < 3*time.Second {
		t.Errorf("four turns within %v of the 6 s that are left", apart)
	}
}

func TestLateStagingLoadsAtOnce(t *testing.T) {
	v := view()
	v.Rank = 3
	v.BehindSince = start.Add(-7 * time.Second)
	v.Now = start.Add(notice)
	if got := Decide(v); got != Load {
		t.Errorf("late: %d", got)
	}
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	v := view()
	v.Loaded, v.Rank = 0, 3
	if got := Decide(v); got != Load {
		t.Errorf("empty: %d", got)
	}
}

func TestNothingToDo(t *testing.T) {
	for name, change := range map[string]func(*EngineState){
		"down":       func(v *EngineState) { v.Up = false },
		"busy":       func(v *EngineState) { v.Busy = true },
		"loaded":     func(v *EngineState) { v.Loaded = 2 },
		"newer":      func(v *EngineState) { v.Loaded = 3 },
		"unstaged":   func(v *EngineState) { v.StagedAt = time.Time{} },
		"not wanted": func(v *EngineState) { v.Desired = 0 },
		"not yet":    func(v *EngineState) { v.Rank = 3 },
	} {
		v := view()
		change(&v)
		if got := Decide(v); got != Wait {
			t.Errorf("%s: %d", name, got)
		}
	}
}
