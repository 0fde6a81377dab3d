package soak

import (
	"fmt"
	"slices"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// crashesUntilBound is the number of crashes by one part after which the bounds begin.
	crashesUntilBound = 5
	// maxLateWithPart is how many requests with the part may reach engines past the bound.
	maxLateWithPart = 3
	// minCountedRequests is how many requests of each kind the comparison needs.
	minCountedRequests = 20
)

// partSpan is a span in which a part of a prompt crashed engines. first is the first part of
// the prompts that had it.
type partSpan struct {
	part, first string
	from, to    time.Time
}

// PartFigures describes what followed crashes by a part of a prompt.
type PartFigures struct {
	// Crashes is the number of crashes. Late is the number of requests with the part that
	// reached engines later than stableWindow after the fifth crash.
	Crashes, Late int
}

// KeepBound reports whether few enough of the requests with the part reached engines.
func (f PartFigures) KeepBound() bool { return f.Late <= maxLateWithPart }

// BeginCrashingPart has a part of a prompt crash engines, and requests carry it, until the
// returned function is called. That function returns what happened meanwhile.
func (t *Traffic) BeginCrashingPart() (end func() PartFigures) {
	endPart := t.crashOnPart(0)
	return func() PartFigures {
		span := endPart()
		record := t.partRecord(t.fleet.AllEngines())
		crashes := record.crashesBy(span.part)
		figures := PartFigures{Crashes: len(crashes)}
		if len(crashes) >= crashesUntilBound {
			figures.Late = (&bounds{}).countLateWithPart(record, span, crashes[crashesUntilBound-1])
		}
		return figures
	}
}

// crashOnPart has a part of a prompt crash engines, and requests carry it behind the first
// part with the given index, until the returned function is called.
func (t *Traffic) crashOnPart(firstIndex int) (end func() partSpan) {
	part, first := t.parts.beginBad(firstIndex)
	t.fleet.SetCrashCauses(standins.CrashCauses{Parts: []string{part}})
	start := time.Now()
	return func() partSpan {
		t.parts.endBad()
		t.fleet.SetCrashCauses(standins.CrashCauses{})
		return partSpan{part: part, first: first, from: start, to: time.Now()}
	}
}

// crashOnPart does the same and records the span.
func (i *injector) crashOnPart(firstIndex int) func() {
	end := i.traffic.crashOnPart(firstIndex)
	return func() { i.bounds.addPart(end()) }
}

func (b *bounds) addPart(span partSpan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = append(b.parts, span)
}

// partRecord is what engines and callers recorded of prompts.
type partRecord struct {
	engines []*standins.Engine
	sent    []sentPrompt
	// sender returns the entry that sent an attempt, or nil.
	sender func(attempt string) *harness.Machine
	// announcements are the versions of the weights that were announced.
	announcements []announcement
}

func (t *Traffic) partRecord(engines []*standins.Engine) partRecord {
	return partRecord{engines: engines, sent: t.parts.list(), sender: t.Sender}
}

// checkParts checks what followed the crashes by parts of prompts.
func (s *session) checkParts() { s.checkPartsOf(s.fleet.AllEngines()) }

// checkPartsOf is checkParts for some engines.
func (s *session) checkPartsOf(engines []*standins.Engine) {
	s.bounds.mu.Lock()
	defer s.bounds.mu.Unlock()
	record := s.traffic.partRecord(engines)
	record.announcements = s.bounds.announcements
	for _, span := range s.bounds.parts {
		crashes := record.crashesBy(span.part)
		if len(crashes) == 0 {
			continue
		}
		bound := crashes[min(crashesUntilBound, len(crashes))-1]
		late := s.bounds.countLateWithPart(record, span, bound)
		before, after, bad := record.compareSound(span, bound.Add(2*stableWindow))
		s.log("%s crashed %d engines and reached %d past the bound; %v of the sound ones with %s began, %v before, beside %d",
			span.part, len(crashes), late, after, span.first, before, bad)
		if len(crashes) >= crashesUntilBound && late > maxLateWithPart {
			s.checker.AddViolation(PartBound, "%d requests with part %s reached engines later than %v after its fifth crash, allowed %d",
				late, span.part, stableWindow, maxLateWithPart)
		}
		if beginsTooSeldom(before, after, bad) {
			s.checker.AddViolation(SoundBegins, "%v sound requests with first part %s began at their first attempt beside part %s, %v before",
				after, span.first, span.part, before)
		}
	}
}

// crashesBy returns when the requests with a part crashed engines, in order.
func (r partRecord) crashesBy(part string) []time.Time {
	attempts := map[string]bool{}
	for _, p := range r.sent {
		attempts[p.attempt] = attempts[p.attempt] || p.holds(part)
	}
	var times []time.Time
	for _, e := range r.engines {
		for _, c := range e.Crashes() {
			if attempts[c.AttemptID] {
				times = append(times, c.At)
			}
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

// countLateWithPart counts the requests with the part that reached engines later than
// stableWindow after a crash, from entries and on paths that were unimpaired. mu must be held.
func (b *bounds) countLateWithPart(record partRecord, span partSpan, crash time.Time) int {
	late := 0
	for _, e := range record.engines {
		for _, a := range standins.ArrivalsSince(e.Arrivals(), crash.Add(stableWindow)) {
			arrival := run{Run: standins.Run{AttemptID: a.AttemptID, StartedAt: a.At}, engine: e, sender: record.sender(a.AttemptID)}
			if a.HasPart(span.part) && b.isStable(arrival) {
				late++
			}
		}
	}
	return late
}

// share counts how many of some requests began at their first attempt.
type share struct{ begun, of int }

func (s *share) add(begun bool) {
	s.of++
	if begun {
		s.begun++
	}
}

// String returns the share as "begun of all".
func (s share) String() string { return fmt.Sprintf("%d of %d", s.begun, s.of) }

// compareSound counts the sound requests with the first part of the bad ones before the fault
// and from a time until the fault ended, and the bad ones of that time. Requests to entries
// that were impaired do not count, nor do those that no engine may run for want of weights.
func (r partRecord) compareSound(span partSpan, from time.Time) (before, after share, bad int) {
	begun, missing := r.begunAtFirst(), r.missingWeights()
	for _, p := range r.sent {
		if slices.ContainsFunc(missing, func(s timeSpan) bool { return s.contains(p.at) }) {
			continue
		}
		sound := p.parts[0] == span.first && !p.holds(span.part) && p.entry.Impairments.NoneWithin(p.at, stableWindow)
		switch {
		case sound && p.at.Before(span.from):
			before.add(begun[p.attempt])
		case p.at.Before(from) || p.at.After(span.to):
		case p.holds(span.part):
			bad++
		case sound:
			after.add(begun[p.attempt])
		}
	}
	return before, after, bad
}

// beginsTooSeldom reports whether sound requests began less than half as often as before. It
// needs minCountedRequests of each.
func beginsTooSeldom(before, after share, bad int) bool {
	return min(before.of, after.of, bad) >= minCountedRequests && 2*after.begun*before.of < before.begun*after.of
}

type timeSpan struct{ from, to time.Time }

func (s timeSpan) contains(at time.Time) bool { return !at.Before(s.from) && at.Before(s.to) }

// missingWeights lists the spans in which no run was allowed on an older version and no
// engine had yet run the announced one, as when the origin is unavailable.
func (r partRecord) missingWeights() []timeSpan {
	var spans []timeSpan
	for _, announced := range r.announcements {
		s := timeSpan{from: announced.at.Add(versionBound), to: time.Now()}
		for _, e := range r.engines {
			for _, began := range e.RunLog() {
				if began.Version >= announced.version && began.StartedAt.Before(s.to) {
					s.to = began.StartedAt
				}
			}
		}
		spans = append(spans, s)
	}
	return spans
}

// begunAtFirst returns the attempts of callers that began to run at the first engine that
// they reached.
func (r partRecord) begunAtFirst() map[string]bool {
	type arrival struct {
		at     time.Time
		engine *standins.Engine
	}
	first := map[string]arrival{}
	for _, e := range r.engines {
		for _, a := range e.Arrivals() {
			if f, ok := first[a.AttemptID]; !ok || a.At.Before(f.at) {
				first[a.AttemptID] = arrival{a.At, e}
			}
		}
	}
	begun := map[string]bool{}
	for attempt, f := range first {
		begun[attempt] = f.engine.RunCount(attempt) > 0
	}
	return begun
}
