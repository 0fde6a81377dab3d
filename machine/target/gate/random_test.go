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

// observer checks the promises of the gate from its effects alone.
type observer struct {
	t *rapid.T
	g *Gate
	// ran holds the attempts with a Run, never those said not to run.
	ran, never map[contract.AttemptID]bool
	// started holds the requests of filings, by the attempt that may have run.
	started map[contract.RequestID]contract.AttemptID
	// units holds the attempts in the back end; true for those that linger.
	units map[contract.AttemptID]bool
	open  map[contract.AttemptID]contract.Start
}

func (o *observer) step(now time.Time, e Event) {
	for _, effect := range o.g.Step(now, e) {
		switch effect := effect.(type) {
		case Run:
			if !effect.Deadline.After(o.g.now) {
				o.t.Fatalf("%s ran after its deadline", effect.Start.Attempt)
			}
			o.run(effect.Start)
		case Refuse:
			o.neverRuns(effect.Refusal.Attempt)
		case ReportStatus:
			if effect.Status.State == contract.AttemptNeverRan {
				o.neverRuns(effect.Status.Attempt)
			}
		case Close:
			o.closed(effect.End)
		}
	}
	held := 0
	for _, a := range o.g.attempts {
		if !a.ended {
			held++
		}
	}
	load := o.g.Load("e")
	if o.g.senders["e"].held != held || load.Credits > load.Limit || load.Credits > 0 && !o.g.Ready() {
		o.t.Fatalf("sender holds %d of %d, credits %d, limit %d", o.g.senders["e"].held, held, load.Credits, load.Limit)
	}
	if running := o.g.limiter.Running(); running != len(o.units) {
		o.t.Fatalf("the gate counts %d units, the back end has %d", running, len(o.units))
	}
}

func (o *observer) run(s contract.Start) {
	id := s.Attempt
	other, filed := o.started[id.Request]
	switch limit := o.g.limiter.Limit(); {
	case o.ran[id]:
		o.t.Fatalf("%s ran twice", id)
	case o.never[id]:
		o.t.Fatalf("%s ran after it was said not to run", id)
	case !s.Idempotent && filed && other != id:
		o.t.Fatalf("%s ran although %s may have", id, other)
	case len(o.units) >= limit:
		o.t.Fatalf("%s ran beside %d units at limit %d", id, len(o.units), limit)
	case o.g.leaving || o.g.settings.ZoneEvacuated || s.Weights != o.g.weights:
		o.t.Fatalf("%s ran while leaving, out or on other weights", id)
	}
	o.ran[id] = true
	o.units[id] = false
	o.open[id] = s
	o.started[id.Request] = id
}

func (o *observer) neverRuns(id contract.AttemptID) {
	if o.ran[id] {
		o.t.Fatalf("%s ran and was then said not to run", id)
	}
	o.never[id] = true
}

func (o *observer) closed(end contract.End) {
	id := end.Attempt
	if end.Outcome == contract.OutcomeNotRun {
		o.never[id] = true
		delete(o.ran, id)
		if o.started[id.Request] == id {
			delete(o.started, id.Request)
		}
	}
	if end.Outcome == contract.OutcomeDone && end.Weights != o.open[id].Weights {
		o.t.Fatalf("%s is done on other weights", id)
	}
}

// end draws how work that is open in the back end ends.
func (o *observer) end(now time.Time, id contract.AttemptID) {
	e := Ended{
		Attempt: id, Weights: drawDigest(o.t),
		Outcome: contract.Outcome(rapid.IntRange(0, 2).Draw(o.t, "outcome")),
		Fault:   Fault(rapid.IntRange(0, 2).Draw(o.t, "fault")),
	}
	e.Lingers = e.Outcome == contract.OutcomeUnknown && rapid.Bool().Draw(o.t, "lingers")
	delete(o.open, id)
	if e.Lingers {
		o.units[id] = true
	} else {
		delete(o.units, id)
	}
	o.open[id] = contract.Start{Weights: e.Weights}
	if e.Outcome == contract.OutcomeDone {
		o.open[id] = contract.Start{Weights: o.g.attempts[id].start.Weights}
	}
	o.step(now, e)
}

// TestRandomFaults checks at most once, true refusals, the limit and pinning
// for all orders of arrivals, broken streams, ends, reports and settings.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := testConfig()
		cfg.Answers.MaxTombstones = rapid.IntRange(0, 4).Draw(t, "tombstones")
		cfg.Answers.MaxStarted = rapid.IntRange(1, 6).Draw(t, "started")
		cfg.Answers.MaxDroppedRecords = rapid.IntRange(4, 20).Draw(t, "past")
		o := &observer{
			t: t, g: newGate(cfg, 0), ran: map[contract.AttemptID]bool{}, never: map[contract.AttemptID]bool{},
			started: map[contract.RequestID]contract.AttemptID{}, units: map[contract.AttemptID]bool{},
			open: map[contract.AttemptID]contract.Start{},
		}
		now := epoch
		o.step(now, Configured{Settings{Ready: true, Limits: testLimits}})
		for i := range uint64(2) {
			now = now.Add(time.Second)
			o.step(now, Reported{coldstart.Report{Boot: "b", Seq: i + 1, Digest: "d1", Warm: true, Limit: 4}})
		}
		for i := range rapid.IntRange(1, 120).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 900).Draw(t, "ms")) * time.Millisecond)
			o.draw(now, uint64(i)+3)
		}
	})
}

func (o *observer) draw(now time.Time, seq uint64) {
	id := o.drawAttempt()
	lingers, unit := o.units[id]
	switch rapid.IntRange(0, 13).Draw(o.t, "event") {
	case 0, 1, 2:
		o.step(now, Arrived{From: "e", Start: drawStart(o.t, id)})
	case 3, 4:
		switch {
		case unit && lingers:
			delete(o.units, id)
			o.step(now, Released{id})
		case unit:
			o.end(now, id)
		}
	case 5:
		o.step(now, Disconnected{id})
	case 6:
		o.step(now, Cancelled{id})
	case 7:
		id.N = uint32(rapid.IntRange(0, 3).Draw(o.t, "query"))
		o.step(now, Queried{contract.Query{Attempt: id, Tombstone: rapid.Bool().Draw(o.t, "tombstone"), Age: time.Second}})
	case 8:
		o.step(now, Configured{Settings{Ready: true, ZoneEvacuated: rapid.IntRange(0, 3).Draw(o.t, "out") == 0, Limits: testLimits}})
	case 9:
		if rapid.IntRange(0, 20).Draw(o.t, "leave") == 0 {
			o.step(now, Leave{})
		}
	default:
		o.step(now, Reported{coldstart.Report{
			Boot: "b", Seq: seq, Digest: drawDigest(o.t), Warm: rapid.IntRange(0, 5).Draw(o.t, "warm") > 0,
			Limit: rapid.IntRange(0, 4).Draw(o.t, "limit"), Running: len(o.units),
		}})
	}
}

// drawAttempt draws an attempt that is in the back end, another one of its
// request, or any.
func (o *observer) drawAttempt() contract.AttemptID {
	units := slices.SortedFunc(maps.Keys(o.units), func(a, b contract.AttemptID) int {
		return strings.Compare(a.String(), b.String())
	})
	choice := rapid.IntRange(0, 3).Draw(o.t, "choice")
	if len(units) > 0 && choice < 2 {
		return rapid.SampledFrom(units).Draw(o.t, "attempt")
	}
	if len(units) > 0 && choice == 2 {
		id := rapid.SampledFrom(units).Draw(o.t, "sibling")
		id.N = uint32(rapid.IntRange(1, 3).Draw(o.t, "n"))
		return id
	}
	return contract.AttemptID{
		Request: contract.RequestID(fmt.Sprint(rapid.IntRange(1, 30).Draw(o.t, "request"))),
		N:       uint32(rapid.IntRange(1, 3).Draw(o.t, "n")),
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
