package gate

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// checker checks the effects of a gate against its guarantees.
type checker struct {
	t *rapid.T
	g *Gate
	// ran holds the attempts with a Run effect, never those that were reported not to run.
	ran, never map[contract.AttemptID]bool
	// started holds the attempt of each request that may have run.
	started map[contract.RequestID]contract.AttemptID
	// units holds the attempts in the back end; true for those that linger.
	units map[contract.AttemptID]bool
	open  map[contract.AttemptID]contract.Start
}

func (c *checker) step(now time.Time, e Event) {
	for _, effect := range c.g.Step(now, e) {
		switch effect := effect.(type) {
		case Run:
			if !effect.Deadline.After(c.g.now) {
				c.t.Fatalf("attempt %s ran after its deadline", effect.Start.Attempt)
			}
			c.handleRun(effect.Start)
		case Refuse:
			c.handleNeverRun(effect.Refusal.Attempt)
		case ReportStatus:
			if effect.Status.State == contract.AttemptNeverRan {
				c.handleNeverRun(effect.Status.Attempt)
			}
		case Close:
			c.handleClose(effect.End)
		}
	}
	held := 0
	for _, a := range c.g.attempts {
		if !a.ended {
			held++
		}
	}
	load := c.g.Load("e")
	if c.g.senders["e"].held != held || load.Credits > load.Limit || load.Credits > 0 && !c.g.Ready() {
		c.t.Fatalf("sender has %d attempts, want %d; credits %d, want at most the limit %d, and 0 if not ready", c.g.senders["e"].held, held, load.Credits, load.Limit)
	}
	if running := c.g.limiter.Running(); running != len(c.units) {
		c.t.Fatalf("limiter.Running() = %d, want %d units as in the back end", running, len(c.units))
	}
}

func (c *checker) handleRun(s contract.Start) {
	id := s.Attempt
	other, hasStarted := c.started[id.Request]
	switch limit := c.g.limiter.Limit(); {
	case c.ran[id]:
		c.t.Fatalf("attempt %s ran twice", id)
	case c.never[id]:
		c.t.Fatalf("attempt %s ran after it was reported not to run", id)
	case !s.Idempotent && hasStarted && other != id:
		c.t.Fatalf("attempt %s ran although attempt %s of the request may have run", id, other)
	case len(c.units) >= limit:
		c.t.Fatalf("attempt %s ran while %d units were running, limit %d", id, len(c.units), limit)
	case c.g.leaving || c.g.settings.ZoneEvacuated || s.Weights != c.g.weights:
		c.t.Fatalf("attempt %s ran although the target is leaving, the zone is evacuated or other weights are active", id)
	}
	c.ran[id] = true
	c.units[id] = false
	c.open[id] = s
	c.started[id.Request] = id
}

func (c *checker) handleNeverRun(id contract.AttemptID) {
	if c.ran[id] {
		c.t.Fatalf("attempt %s was reported not to run after it ran", id)
	}
	c.never[id] = true
}

func (c *checker) handleClose(end contract.End) {
	id := end.Attempt
	if end.Outcome == contract.OutcomeNotRun {
		c.never[id] = true
		delete(c.ran, id)
		if c.started[id.Request] == id {
			delete(c.started, id.Request)
		}
	}
	if end.Outcome == contract.OutcomeDone && end.Weights != c.open[id].Weights {
		c.t.Fatalf("attempt %s is done with other weights than it is pinned to", id)
	}
}

// endAttempt ends an attempt that runs in the back end in a random way.
func (c *checker) endAttempt(now time.Time, id contract.AttemptID) {
	e := Ended{
		Attempt: id, Weights: drawDigest(c.t),
		Outcome: contract.Outcome(rapid.IntRange(0, 2).Draw(c.t, "outcome")),
		Fault:   Fault(rapid.IntRange(0, 2).Draw(c.t, "fault")),
	}
	e.Lingers = e.Outcome == contract.OutcomeUnknown && rapid.Bool().Draw(c.t, "lingers")
	delete(c.open, id)
	if e.Lingers {
		c.units[id] = true
	} else {
		delete(c.units, id)
	}
	c.open[id] = contract.Start{Weights: e.Weights}
	if e.Outcome == contract.OutcomeDone {
		c.open[id] = contract.Start{Weights: c.g.attempts[id].start.Weights}
	}
	c.step(now, e)
}

// TestGuaranteesUnderRandomEvents checks for random orders of arrivals, broken streams,
// ends, reports and settings that an attempt runs at most once, that a refused attempt
// never runs, and that the limit and the pinned weights are observed.
func TestGuaranteesUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Answers.MaxTombstones = rapid.IntRange(0, 4).Draw(t, "tombstones")
		cfg.Answers.MaxStarted = rapid.IntRange(1, 6).Draw(t, "started")
		cfg.Answers.MaxDroppedRecords = rapid.IntRange(4, 20).Draw(t, "past")
		c := &checker{
			t: t, g: newGate(cfg, 0), ran: map[contract.AttemptID]bool{}, never: map[contract.AttemptID]bool{},
			started: map[contract.RequestID]contract.AttemptID{}, units: map[contract.AttemptID]bool{},
			open: map[contract.AttemptID]contract.Start{},
		}
		now := epoch
		c.step(now, Configured{Settings{Ready: true, Limits: testLimits}})
		for i := range uint64(2) {
			now = now.Add(time.Second)
			c.step(now, Reported{coldstart.Report{Boot: "b", Seq: i + 1, Digest: "d1", Warm: true, Limit: 4}})
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 900).Draw(t, "ms")) * time.Millisecond)
			c.stepRandom(now, uint64(i)+3)
		}
	})
}

func (c *checker) stepRandom(now time.Time, seq uint64) {
	id := c.drawAttempt()
	lingers, inBackend := c.units[id]
	switch rapid.IntRange(0, 13).Draw(c.t, "event") {
	case 0, 1, 2:
		c.step(now, Arrived{From: "e", Start: drawStart(c.t, id)})
	case 3, 4:
		switch {
		case inBackend && lingers:
			delete(c.units, id)
			c.step(now, Released{id})
		case inBackend:
			c.endAttempt(now, id)
		}
	case 5:
		c.step(now, Disconnected{id})
	case 6:
		c.step(now, Cancelled{id})
	case 7:
		id.N = uint32(rapid.IntRange(0, 3).Draw(c.t, "query"))
		c.step(now, Queried{contract.Query{Attempt: id, Tombstone: rapid.Bool().Draw(c.t, "tombstone"), Age: time.Second}})
	case 8:
		c.step(now, Configured{Settings{Ready: true, ZoneEvacuated: rapid.IntRange(0, 3).Draw(c.t, "out") == 0, Limits: testLimits}})
	case 9:
		if rapid.IntRange(0, 20).Draw(c.t, "leave") == 0 {
			c.step(now, Leave{})
		}
	default:
		c.step(now, Reported{coldstart.Report{
			Boot: "b", Seq: seq, Digest: drawDigest(c.t), Warm: rapid.IntRange(0, 5).Draw(c.t, "warm") > 0,
			Limit: rapid.IntRange(0, 4).Draw(c.t, "limit"), Running: len(c.units),
		}})
	}
}

// drawAttempt draws an attempt that is in the back end, another attempt of such a request,
// or any attempt.
func (c *checker) drawAttempt() contract.AttemptID {
	units := slices.SortedFunc(maps.Keys(c.units), func(a, b contract.AttemptID) int {
		return strings.Compare(a.String(), b.String())
	})
	choice := rapid.IntRange(0, 3).Draw(c.t, "choice")
	if len(units) > 0 && choice < 2 {
		return rapid.SampledFrom(units).Draw(c.t, "attempt")
	}
	if len(units) > 0 && choice == 2 {
		id := rapid.SampledFrom(units).Draw(c.t, "sibling")
		id.N = uint32(rapid.IntRange(1, 3).Draw(c.t, "n"))
		return id
	}
	return contract.AttemptID{
		Request: contract.RequestID(fmt.Sprint(rapid.IntRange(1, 30).Draw(c.t, "request"))),
		N:       uint32(rapid.IntRange(1, 3).Draw(c.t, "n")),
	}
}

func drawStart(t *rapid.T, id contract.AttemptID) contract.Start {
	return contract.Start{
		Attempt: id, Service: "s", Weights: drawDigest(t), Idempotent: id.Request > "2",
		Remaining: time.Duration(rapid.IntRange(0, 4000).Draw(t, "remaining")) * time.Millisecond,
		Priority:  int8(rapid.IntRange(0, 2).Draw(t, "priority")),
	}
}

func drawDigest(t *rapid.T) contract.Digest {
	return contract.Digest([]string{"d2", "d1", "d1", "d1", "d1", "d1"}[rapid.IntRange(0, 5).Draw(t, "digest")])
}
