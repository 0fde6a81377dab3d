package upgrade

import (
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func newState() EngineState {
	return EngineState{
		Now: start, Up: true, Loaded: 1, Desired: 2, BehindSince: start.Add(-2 * time.Second), StagedAt: start,
		Rank: 0, ZoneTargets: 4, Bound: 8 * time.Second,
	}
}

func TestFirstTargetNotifiesEntriesThenLoads(t *testing.T) {
	s := newState()
	if got := Decide(s); got != NotifyEntries {
		t.Errorf("at the start of the turn: Decide() = %d, want NotifyEntries", got)
	}
	s.Now = s.Now.Add(s.NewsDelay + notifyMargin)
	if got := Decide(s); got != Load {
		t.Errorf("after the lead time: Decide() = %d, want Load", got)
	}
}

// The turns of a zone must be spread over the whole time in which entries still send
// requests to the older version, because an engine serves no requests while it loads.
func TestTurnsAreSpreadWithinBound(t *testing.T) {
	var previous time.Time
	for rank := range 4 {
		s := newState()
		s.Rank = rank
		due := s.DueAt()
		if rank > 0 && due.Sub(previous) < 500*time.Millisecond {
			t.Errorf("rank %d is due %v after the previous rank, want at least 500ms", rank, due.Sub(previous))
		}
		if remaining := s.BehindSince.Add(s.Bound).Sub(due); remaining < lastTurnMargin {
			t.Errorf("turn of rank %d starts %v before the bound ends, want at least %v", rank, remaining, lastTurnMargin)
		}
		previous = due
	}
	if apart := previous.Sub(start); apart < 3*time.Second {
		t.Errorf("four turns are spread over %v of the remaining 6 s, want at least 3s", apart)
	}
}

func TestLateStagingLoadsAtOnce(t *testing.T) {
	s := newState()
	s.Rank = 3
	s.BehindSince = start.Add(-7 * time.Second)
	s.Now = start.Add(s.NewsDelay + notifyMargin)
	if got := Decide(s); got != Load {
		t.Errorf("pieces staged late: Decide() = %d, want Load", got)
	}
}

// Guards against engines that stay without an allowed version for longer than it takes to load: pieces
// that arrive about when the bound of the loaded version ends were loaded only after a notification of
// entries, which sent no requests any more.
func TestEngineDoesNotNotifyPastBound(t *testing.T) {
	s := newState()
	s.Rank, s.NewsDelay = 3, 250*time.Millisecond
	for name, c := range map[string]struct {
		behind time.Duration
		after  time.Duration
		want   Action
	}{
		"past the bound when the pieces are staged": {s.Bound + time.Second, 0, Load},
		"bound not over":                     {s.Bound - 100*time.Millisecond, 50 * time.Millisecond, NotifyEntries},
		"bound ends during the notification": {s.Bound - 100*time.Millisecond, 100 * time.Millisecond, Load},
		"in time":                            {s.Bound - lastTurnMargin, 300 * time.Millisecond, NotifyEntries},
	} {
		s.BehindSince, s.Now = s.StagedAt.Add(-c.behind), s.StagedAt.Add(c.after)
		if got := Decide(s); got != c.want {
			t.Errorf("%s: Decide() = %d, want %d", name, got, c.want)
		}
	}
}

func TestEmptyEngineLoadsAtOnce(t *testing.T) {
	s := newState()
	s.Loaded, s.Rank = 0, 3
	if got := Decide(s); got != Load {
		t.Errorf("engine without weights: Decide() = %d, want Load", got)
	}
}

func TestDecideWaits(t *testing.T) {
	for name, change := range map[string]func(*EngineState){
		"down":       func(s *EngineState) { s.Up = false },
		"busy":       func(s *EngineState) { s.Busy = true },
		"loaded":     func(s *EngineState) { s.Loaded = 2 },
		"newer":      func(s *EngineState) { s.Loaded = 3 },
		"unstaged":   func(s *EngineState) { s.StagedAt = time.Time{} },
		"no version": func(s *EngineState) { s.Desired = 0 },
		"not yet":    func(s *EngineState) { s.Rank = 3 },
	} {
		s := newState()
		change(&s)
		if got := Decide(s); got != Wait {
			t.Errorf("%s: Decide() = %d, want Wait", name, got)
		}
	}
}
