package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

func newCall(objective time.Duration) *call {
	return &call{
		r:        httptest.NewRequest(http.MethodGet, "/", nil),
		arrived:  time.Now().Add(-time.Second),
		deadline: time.Now().Add(time.Minute),
		route:    &catalog.Route{Objective: objective},
	}
}

// A refusal tells the rules that left targets out and the age of what they rest on.
func TestRefusalTellsItsInputs(t *testing.T) {
	c := newCall(300 * time.Millisecond)
	s := placement.Survey{Listed: 3, Limit: 250 * time.Millisecond, MinVersion: 2, Nearest: placement.Choice{
		ID: "i-1", FirstEventDelay: 812 * time.Millisecond, Load: 9, Version: 3, ListedAge: 4 * time.Second, StatusAge: 90 * time.Millisecond,
	}}
	s.Counts[placement.ExcludedFull], s.Counts[placement.ExcludedVersion] = 2, 1
	c.story.noRoom(s)
	got := c.fields()
	for name, want := range map[string]any{
		"listed": 3, "limit_ms": int64(250), "oldest": int64(2), "targets_full": 2, "targets_other_version": 1, "nearest": "i-1",
		"nearest_load": 9, "nearest_first_ms": int64(812), "nearest_listed_ms": int64(4000), "nearest_told_ms": int64(90),
		"objective_ms": int64(300),
	} {
		if got[name] != want {
			t.Errorf("%s: %v, want %v", name, got[name], want)
		}
	}
	for _, absent := range []string{"targets_leaving", "load", "outcome", "events", "unsent"} {
		if value, ok := got[absent]; ok {
			t.Errorf("%s=%v is told", absent, value)
		}
	}
}

// An attempt that was lost tells how, on what it rested and why none followed.
func TestLostAttemptTellsItsInputs(t *testing.T) {
	c := newCall(time.Second)
	c.story.placed(placement.Choice{ID: "i-1", Load: 4, FirstEventDelay: 110 * time.Millisecond, Version: 2}, c.arrived.Add(20*time.Millisecond))
	c.story.expected = 2
	c.story.replied(platform.Reply{Status: http.StatusOK, Requests: 5, Version: 3})
	c.story.delivered(c.arrived.Add(200 * time.Millisecond))
	c.story.delivered(c.arrived.Add(650 * time.Millisecond))
	c.story.attempted(c.arrived.Add(700*time.Millisecond), attempts.Lost, brokeSilent, io.ErrUnexpectedEOF)
	c.story.limit = attempts.LimitBudget
	got := c.fields()
	for name, want := range map[string]any{
		"outcome": "lost", "broke": "silent", "limit": "retry_budget", "load": 4, "first_ms": int64(110), "version": int64(2),
		"target_status": http.StatusOK, "target_load": 5, "waited_ms": int64(20), "begun_ms": int64(200), "pause_ms": int64(450),
		"attempt_ms": int64(680), "expected_version": int64(2), "target_version": int64(3), "events": 2, "error": io.ErrUnexpectedEOF.Error(),
	} {
		if got[name] != want {
			t.Errorf("%s: %v, want %v", name, got[name], want)
		}
	}
	c.story.placed(placement.Choice{ID: "i-2"}, time.Now())
	if got := c.fields(); got["outcome"] != "done" || got["broke"] != nil || got["limit"] != nil || got["error"] != nil {
		t.Errorf("the former attempt's end is told of another: %v", got)
	}
	if got := c.fields(); got["target_status"] != nil || got["target_load"] != nil || got["target_version"] != nil || got["expected_version"] != nil {
		t.Errorf("the former target's answer is told of another: %v", got)
	}
}

func TestLateIsAfterTheObjective(t *testing.T) {
	c := newCall(300 * time.Millisecond)
	if c.isLate() {
		t.Error("late without an answer")
	}
	c.story.delivered(c.arrived.Add(299 * time.Millisecond))
	if c.isLate() {
		t.Error("late within the objective")
	}
	c.story = story{}
	c.story.delivered(c.arrived.Add(301 * time.Millisecond))
	if !c.isLate() {
		t.Error("not late after the objective")
	}
}

func TestBreakage(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: errors.New("connection reset by peer")}
	gone, leave := context.WithCancel(context.Background())
	leave()
	for _, c := range []struct {
		name  string
		err   error
		want  breakage
		alter func(x *exchange)
	}{
		{"reset", reset, brokeConnection, func(*exchange) {}},
		{"closed early", io.ErrUnexpectedEOF, brokeEarly, func(*exchange) {}},
		{"silent", reset, brokeSilent, func(x *exchange) { x.quiet.Store(true) }},
		{"over time", reset, brokeDeadline, func(x *exchange) { x.call.deadline = x.call.arrived }},
		{"caller gone", reset, brokeCaller, func(x *exchange) { x.call.r = x.call.r.WithContext(gone) }},
	} {
		x := &exchange{call: newCall(time.Second)}
		c.alter(x)
		if got := x.breakage(c.err); got != c.want {
			t.Errorf("%s: %s, want %s", c.name, got, c.want)
		}
	}
	if got := refusal(platform.Reply{NotRun: true, Misdirected: true}); got != brokeMisdirected {
		t.Errorf("misdirected: %s", got)
	}
	if got := unusable(platform.Reply{Stamped: true}); got != brokeTooLarge {
		t.Errorf("too large: %s", got)
	}
}
