package direct

import (
	"net/http"
	"testing"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/placement"
)

func (e *Entry) isPaced(service contract.ServiceName) (paced bool) {
	e.fleet.withPool(service, func(now time.Time, p *placement.Pool) { paced = p.IsPaced(now) })
	return paced
}

// Guards against a pace that only successes count, and against one of an answer that belongs to another attempt,
// which may be a late copy.
func TestPaceOfAnyOwnAnswerCounts(t *testing.T) {
	const load = "Server-Load: 1,0,4,250\r\n"
	for _, c := range []struct {
		name, answer string
		want         bool
	}{
		{"success", answerText(http.StatusOK, "a", load, "x"), true},
		{"refusal", answerText(http.StatusServiceUnavailable, "a", load+"Not-Executed: 1\r\n", "x"), true},
		{"failure", answerText(http.StatusInternalServerError, "a", load, "x"), true},
		{"other attempt", answerText(http.StatusOK, "b", load, "x"), false},
		{"no pace", answerText(http.StatusOK, "a", "Server-Load: 1,0,4\r\n", "x"), false},
	} {
		e := newQuietEntry()
		attemptAt(e, scriptedTarget(t, func(int, *http.Request) string { return c.answer }), "a")
		if got := e.isPaced(testService); got != c.want {
			t.Errorf("%s: paced = %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against paces and delays that count as fresh although the answer waited unread while the process stood
// still.
func TestPaceAndDelayAfterStandstillDoNotCount(t *testing.T) {
	for standstill, want := range map[time.Duration]bool{0: true, maxStandstill / 2: true, 5 * time.Second: false} {
		c, _, _ := newHedgingCall(t, "127.0.0.1:1")
		c.entry.fleet.setHedging(config.Hedging{ExtraWork: 1})
		x := newExchange(c, placement.Choice{ID: "target-0"})
		x.start = x.start.Add(-standstill)
		x.recordPace(platform.Reply{Pace: 250})
		if got := c.entry.isPaced(testService); got != want {
			t.Errorf("standstill of %v: paced = %v, want %v", standstill, got, want)
		}
		c.entry.fleet.recordPace(testService, "target-0", 100)
		x.recordResponse(5 * time.Second)
		var correction time.Duration
		c.entry.fleet.withPool(testService, func(now time.Time, p *placement.Pool) { correction = p.Correction(now) })
		if got := correction > 0; got != want {
			t.Errorf("standstill of %v: correction %v, want one: %v", standstill, correction, want)
		}
	}
}

// Guards against lines that do not show why a target was predicted to be fast, or what was observed instead.
func TestLinesCompareDelayWithPrediction(t *testing.T) {
	c, _, logged := newHedgingCall(t)
	c.route.Objective = 300 * time.Millisecond
	logged.Entries = nil
	choice := placement.Choice{ID: "i-1", FirstEventDelay: 250 * time.Millisecond, Pace: 120, Correction: 30 * time.Millisecond}
	c.entry.logPlacement(c, choice)
	c.record.attemptStarted(choice, c.arrived)
	c.record.replyReceived(platform.Reply{Status: http.StatusOK, Pace: 250, OpenRequests: -1}, 0)
	c.record.partDelivered(c.arrived.Add(700 * time.Millisecond))
	c.entry.logEnd(c, http.StatusOK, "", 0)
	c.entry.logPlacement(c, placement.Choice{ID: "i-1"})
	if len(logged.Entries) != 3 || logged.Entries[1].Message != "request served late" {
		t.Fatalf("lines %v, want one of the placement, one of the late answer and one of another placement", logged.Entries)
	}
	checkFields(t, logged.Entries[0].Fields, log.Fields{"pace": 120, "correction_ms": int64(30), "first_ms": int64(250)})
	checkFields(t, logged.Entries[1].Fields, log.Fields{"first_ms": int64(250), "observed_ms": int64(700), "target_pace": 250, "pace": 120})
	checkFields(t, logged.Entries[2].Fields, log.Fields{"pace": nil, "correction_ms": nil})
}

func checkFields(t *testing.T, got, want log.Fields) {
	t.Helper()
	for name, value := range want {
		if got[name] != value {
			t.Errorf("field %s = %v, want %v", name, got[name], value)
		}
	}
}
