package soak

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// sendLook sends a plain read to an engine.
func sendLook(t *testing.T, e *standins.Engine, attempt string) {
	t.Helper()
	req, err := standins.Request{AttemptID: attempt, Entry: e.Address(), Method: http.MethodGet, Path: standins.LookPath}.NewHTTPRequest()
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Expect-Instance", e.ID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	if err := resp.Body.Close(); err != nil {
		t.Fatal(err)
	}
}

// A back end that turned an entry away for a time, or said to it that it leaves, gets no more than
// allowed from the same entry, unless that was impaired since.
func TestReportsRequestsToBackEndThatWantsNone(t *testing.T) {
	const turnedAway, leaves = "3", ""
	for name, c := range map[string]struct {
		backoff  string
		after    time.Duration
		requests int
		other    bool
		paused   bool
		want     int
	}{
		"two while turned away":     {turnedAway, time.Second, 2, false, false, 0},
		"three while turned away":   {turnedAway, time.Second, 3, false, false, 1},
		"before entries may follow": {turnedAway, 400 * time.Millisecond, 9, false, false, 0},
		"after the time":            {turnedAway, 3100 * time.Millisecond, 9, false, false, 0},
		"from another entry":        {turnedAway, time.Second, 9, true, false, 0},
		"entry was paused":          {turnedAway, time.Second, 9, false, true, 0},
		"leaving":                   {leaves, 2100 * time.Millisecond, 1, false, false, 1},
		"leaving, within the bound": {leaves, 1900 * time.Millisecond, 9, false, false, 0},
		"leaving, paused":           {leaves, 2100 * time.Millisecond, 9, false, true, 0},
	} {
		e := &standins.Engine{ID: "engine", Service: standins.PlainService, Slots: 100, UseRelay: true}
		if err := e.Start(standins.NewStore(), 0); err != nil {
			t.Fatal(err)
		}
		if c.backoff == turnedAway {
			e.TurnAway(c.backoff, time.Second)
		} else {
			e.SetLeaving(true)
		}
		sendLook(t, e, "first")
		at := time.Now().Add(c.after)
		for n := range c.requests {
			e.AddArrival(standins.Arrival{AttemptID: fmt.Sprint("later-", n), At: at})
		}
		entry, other := &harness.Machine{Name: "entry"}, &harness.Machine{Name: "other"}
		if c.paused {
			entry.Impairments.Add(at.Add(-c.after/2), at)
		}
		checker, b := NewChecker(1, func(string) int { return 0 }), &bounds{}
		b.addRefusals(e)
		b.checkRefusals(checker, func(attempt string) *harness.Machine {
			if attempt != "first" && c.other {
				return other
			}
			return entry
		})
		if got := len(checker.Violations()); got != c.want {
			t.Errorf("%s: violations %v, want %d", name, checker.Violations(), c.want)
		}
		e.Stop()
	}
}
