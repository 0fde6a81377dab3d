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

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

func newTestCall(objective time.Duration) *call {
	return &call{
		r:        httptest.NewRequest(http.MethodGet, "/", nil),
		arrived:  time.Now().Add(-time.Second),
		deadline: time.Now().Add(time.Minute),
		route:    &catalog.Route{Objective: objective},
	}
}

// TestLogFieldsOfRefusal checks that the fields of a refusal show which rules excluded
// targets and the age of the data behind that.
func TestLogFieldsOfRefusal(t *testing.T) {
	c := newTestCall(300 * time.Millisecond)
	survey := placement.Survey{Listed: 3, Limit: 250 * time.Millisecond, MinVersion: 2, Nearest: placement.Choice{
		ID: "i-1", FirstEventDelay: 812 * time.Millisecond, Load: 9, Version: 3, ListedAge: 4 * time.Second, StatusAge: 90 * time.Millisecond,
	}}
	survey.Counts[placement.ExcludedFull], survey.Counts[placement.ExcludedVersion] = 2, 1
	c.record.setSurvey(survey)
	got := c.logFields()
	for name, want := range map[string]any{
		"listed": 3, "limit_ms": int64(250), "oldest": int64(2), "targets_full": 2, "targets_other_version": 1, "nearest": "i-1",
		"nearest_load": 9, "nearest_first_ms": int64(812), "nearest_listed_ms": int64(4000), "nearest_told_ms": int64(90),
		"objective_ms": int64(300),
	} {
		if got[name] != want {
			t.Errorf("field %s = %v, want %v", name, got[name], want)
		}
	}
	for _, absent := range []string{"targets_leaving", "load", "outcome", "events", "unsent"} {
		if value, ok := got[absent]; ok {
			t.Errorf("field %s = %v, want none", absent, value)
		}
	}
}

// TestLogFieldsOfLostAttempt checks that the fields of a lost attempt show how it broke
// off, the data that its choice was based on, and why no other attempt followed.
func TestLogFieldsOfLostAttempt(t *testing.T) {
	c := newTestCall(time.Second)
	c.record.attemptStarted(placement.Choice{ID: "i-1", Load: 4, FirstEventDelay: 110 * time.Millisecond, Version: 2}, c.arrived.Add(20*time.Millisecond))
	c.record.replyReceived(platform.Reply{Status: http.StatusOK, OpenRequests: 5, Version: 3}, 2)
	c.record.partDelivered(c.arrived.Add(200 * time.Millisecond))
	c.record.partDelivered(c.arrived.Add(650 * time.Millisecond))
	c.record.attemptEnded(c.arrived.Add(700*time.Millisecond), attempts.Lost, breakageSilent, io.ErrUnexpectedEOF)
	c.record.limit = attempts.LimitBudget
	got := c.logFields()
	for name, want := range map[string]any{
		"outcome": "lost", "broke": "silent", "limit": "retry_budget", "load": 4, "first_ms": int64(110), "version": int64(2),
		"target_status": http.StatusOK, "target_load": 5, "waited_ms": int64(20), "begun_ms": int64(200), "pause_ms": int64(450),
		"attempt_ms": int64(680), "expected_version": int64(2), "target_version": int64(3), "events": 2, "error": io.ErrUnexpectedEOF.Error(),
	} {
		if got[name] != want {
			t.Errorf("field %s = %v, want %v", name, got[name], want)
		}
	}
	c.record.attemptStarted(placement.Choice{ID: "i-2"}, time.Now())
	if got := c.logFields(); got["outcome"] != "done" || got["broke"] != nil || got["limit"] != nil || got["error"] != nil {
		t.Errorf("fields of a new attempt = %v, want none of the end of the attempt before", got)
	}
	if got := c.logFields(); got["target_status"] != nil || got["target_load"] != nil || got["target_version"] != nil || got["expected_version"] != nil {
		t.Errorf("fields of a new attempt = %v, want none of the response to the attempt before", got)
	}
}

func TestIsLate(t *testing.T) {
	c := newTestCall(300 * time.Millisecond)
	if c.isLate() {
		t.Error("isLate() = true without a response, want false")
	}
	c.record.partDelivered(c.arrived.Add(299 * time.Millisecond))
	if c.isLate() {
		t.Error("isLate() = true after 299 ms with an objective of 300 ms, want false")
	}
	c.record = requestRecord{}
	c.record.partDelivered(c.arrived.Add(301 * time.Millisecond))
	if !c.isLate() {
		t.Error("isLate() = false after 301 ms with an objective of 300 ms, want true")
	}
}

func TestClassifyBreakage(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: errors.New("connection reset by peer")}
	goneCtx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name  string
		err   error
		want  breakage
		setup func(x *exchange)
	}{
		{"reset", reset, breakageConnection, func(*exchange) {}},
		{"closed early", io.ErrUnexpectedEOF, breakageEndedEarly, func(*exchange) {}},
		{"deadline passed", reset, breakageDeadline, func(x *exchange) { x.call.deadline = x.call.arrived }},
		{"caller gone", reset, breakageCallerGone, func(x *exchange) { x.call.r = x.call.r.WithContext(goneCtx) }},
	} {
		x := &exchange{call: newTestCall(time.Second)}
		c.setup(x)
		if got := x.classifyBreakage(c.err); got != c.want {
			t.Errorf("%s: classifyBreakage() = %s, want %s", c.name, got, c.want)
		}
	}
	if got := refusalBreakage(platform.Reply{NotRun: true, Misdirected: true}); got != breakageMisdirected {
		t.Errorf("refusalBreakage() of a misdirected attempt = %s, want misdirected", got)
	}
	if got := unusableBreakage(platform.Reply{HasStamp: true}); got != breakageTooLarge {
		t.Errorf("unusableBreakage() of a stamped response = %s, want too_large", got)
	}
}

// Guards against answers whose weights the logs do not show (inc2): each line about an attempt
// names the start of the target and the version that the attempt relied on, and the age of that report.
func TestLinesNameWeightsOfAttempt(t *testing.T) {
	c, _, logged := newHedgingCall(t)
	logged.Entries = nil
	choice := placement.Choice{ID: "i-1", Address: "127.0.0.1:7001", Born: 700, Version: 2, StatusAge: 80 * time.Millisecond}
	c.entry.logPlacement(c, choice)
	c.record.attemptStarted(choice, time.Now())
	c.record.replyReceived(platform.Reply{Status: http.StatusOK, Version: 3}, 2)
	c.entry.logRetry(c, attempts.Lost)
	c.entry.logEnd(c, http.StatusOK, "", 0)
	c.entry.logEnd(c, http.StatusBadGateway, contract.ReasonTruncatedAnswer, 0)
	want := []string{"attempt placed", "sent again", "request served", "request ended"}
	if len(logged.Entries) != len(want) {
		t.Fatalf("%d lines, want %d", len(logged.Entries), len(want))
	}
	for i, l := range logged.Entries {
		if l.Message != want[i] || l.Fields["born"] != int64(700) || l.Fields["version"] != int64(2) || l.Fields["told_ms"] != int64(80) ||
			l.Fields["address"] != choice.Address {
			t.Errorf("line %q with %v, want %q with the weights of the attempt", l.Message, l.Fields, want[i])
		}
		if i > 0 && (l.Fields["expected_version"] != int64(2) || l.Fields["target_version"] != int64(3)) {
			t.Errorf("line %q with %v, want the versions that were expected and answered", l.Message, l.Fields)
		}
	}
}
