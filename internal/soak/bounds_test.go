package soak

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// history is a sequence of events, in seconds from its start: at 0 the test announces version
// 2, drains the engine or evacuates a zone, and one run begins on version 1 at begins.
type history struct {
	begins float64
	// store and sender are the spans in which the store and the sending entry were impaired.
	store, sender [][2]float64
}

// finds reports whether the check of the history finds a violation of p and no other.
func (h history) finds(p Promise, record func(b *bounds, e *standins.Engine, at func(float64) time.Time)) bool {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	engine, sender, b := &standins.Engine{ID: "engine", Zone: "erongo-a", Model: standins.Model}, &harness.Machine{Name: "entry"}, &bounds{}
	for _, s := range h.store {
		b.storeImpairments.Add(at(s[0]), at(s[1]))
	}
	for _, s := range h.sender {
		sender.Impairments.Add(at(s[0]), at(s[1]))
	}
	record(b, engine, at)
	checker := NewChecker(1, func(string) int { return 1 })
	b.check(checker, []run{{Run: standins.Run{AttemptID: "a", Version: 1, StartedAt: at(h.begins)}, engine: engine, sender: sender}})
	violations := checker.Violations()
	return len(violations) == 1 && violations[0].Promise == p
}

// The bound counts from the acknowledgement of the announcement, or from when the store has
// been stable since, and applies to entries that were unimpaired before the run. An entry
// that received the announcement late gets no extra time.
func TestReportsOlderVersionPastBound(t *testing.T) {
	for name, c := range map[string]struct {
		history
		want bool
	}{
		"within bound":                       {history{begins: 7.9}, false},
		"past bound":                         {history{begins: 8.1}, true},
		"entry restarted late":               {history{begins: 8.1, sender: [][2]float64{{1, 5}}}, true},
		"entry restarted just before":        {history{begins: 8.1, sender: [][2]float64{{1, 5.2}}}, false},
		"entry down when run begins":         {history{begins: 8.1, sender: [][2]float64{{8, 20}}}, false},
		"store impaired before announcement": {history{begins: 8.1, store: [][2]float64{{-9, -3}}}, true},
		"store impaired at announcement":     {history{begins: 8.1, store: [][2]float64{{-9, 0}}}, false},
		"past bound after store recovered":   {history{begins: 12.2, store: [][2]float64{{-9, 1}}}, true},
		"store impaired just before run":     {history{begins: 8.1, store: [][2]float64{{7, 7.5}}}, false},
	} {
		announce := func(b *bounds, _ *standins.Engine, at func(float64) time.Time) { b.addAnnouncement(2, at(0)) }
		if got := c.finds(VersionBound, announce); got != c.want {
			t.Errorf("%s: found %v, want %v", name, got, c.want)
		}
	}
}

func TestReportsRunAtDrainingEnginePastBound(t *testing.T) {
	for name, c := range map[string]struct {
		history
		want bool
	}{
		"within bound":              {history{begins: 2.9}, false},
		"past bound":                {history{begins: 3.1}, true},
		"after engine is ready":     {history{begins: 6}, false},
		"entry paused just before":  {history{begins: 3.1, sender: [][2]float64{{0, 1}}}, false},
		"store impaired before run": {history{begins: 3.1, store: [][2]float64{{-1, -0.5}}}, false},
	} {
		drain := func(b *bounds, e *standins.Engine, at func(float64) time.Time) { b.addDrain(e, at(0), at(5)) }
		if got := c.finds(DrainBound, drain); got != c.want {
			t.Errorf("%s: found %v, want %v", name, got, c.want)
		}
	}
}

func TestReportsRunInEvacuatedZonePastBound(t *testing.T) {
	for name, c := range map[string]struct {
		history
		zone string
		want bool
	}{
		"within bound":                {history{begins: 4.9}, "erongo-a", false},
		"past bound":                  {history{begins: 5.1}, "erongo-a", true},
		"run in another zone":         {history{begins: 5.1}, "khomas-a", false},
		"after evacuation ended":      {history{begins: 8.1}, "erongo-a", false},
		"entry restarted just before": {history{begins: 5.1, sender: [][2]float64{{1, 2.5}}}, "erongo-a", false},
		"entry restarted early":       {history{begins: 5.1, sender: [][2]float64{{0, 2}}}, "erongo-a", true},
		"store impaired before run":   {history{begins: 5.1, store: [][2]float64{{-3, 1}}}, "erongo-a", false},
		"store stable again for long": {history{begins: 7.9, store: [][2]float64{{-3, -0.2}}}, "erongo-a", true},
	} {
		evacuate := func(b *bounds, _ *standins.Engine, at func(float64) time.Time) { b.addEvacuation(c.zone, at(0), at(8)) }
		if got := c.finds(EvacuationBound, evacuate); got != c.want {
			t.Errorf("%s: found %v, want %v", name, got, c.want)
		}
	}
}

// The bound counts what arrives within four seconds, from three seconds after the limit was
// named to its end, from entries and on paths that were unimpaired.
func TestReportsRequestsPastLimit(t *testing.T) {
	for name, c := range map[string]struct {
		// from and to bound the time in which a request arrives every 200 ms.
		from, to float64
		sender   [][2]float64
		want     bool
	}{
		"within bound":            {3.1, 4.7, nil, false},
		"past bound":              {3.1, 7.1, nil, true},
		"before entries follow":   {0, 2.9, nil, false},
		"after limit was lifted":  {10.1, 14, nil, false},
		"entry was restarted":     {3.1, 7.1, [][2]float64{{3, 4.5}}, false},
		"entry restarted earlier": {3.1, 7.1, [][2]float64{{-3, 0}}, true},
	} {
		start := time.Now()
		at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
		engine, sender, b := &standins.Engine{ID: "engine"}, &harness.Machine{Name: "entry"}, &bounds{}
		for _, s := range c.sender {
			sender.Impairments.Add(at(s[0]), at(s[1]))
		}
		for s := c.from; s < c.to; s += 0.2 {
			engine.AddArrival(standins.Arrival{AttemptID: "a", At: at(s)})
		}
		b.addLimit(limitSpan{engine: engine, perSecond: 1, from: at(0), to: at(10)})
		checker := NewChecker(1, func(string) int { return 1 })
		b.checkLimits(checker, func(string) *harness.Machine { return sender })
		violations := checker.Violations()
		if got := len(violations) == 1 && violations[0].Promise == LimitBound; got != c.want {
			t.Errorf("%s: violations %v, want one: %v", name, violations, c.want)
		}
	}
}

// Enough plans contain the series delayedAnnouncement: a version is announced while the
// origin is unavailable, and an entry fails around the announcement.
func TestPlansIncludeDelayedAnnouncements(t *testing.T) {
	const length = 24 * time.Second
	found := 0
	for seed := range uint64(100) {
		plan := GeneratePlan(seed, length, shape)
		for _, outage := range plan {
			if outage.Fault == OriginUnavailable && outage.Duration >= minOriginOutage && delaysAnnouncement(plan, outage) {
				found++
			}
		}
	}
	if found < 20 {
		t.Errorf("found %d delayed announcements in 100 plans, want at least 20", found)
	}
}

// delaysAnnouncement reports whether the plan announces a version during the outage of the
// origin and an entry fails around the announcement.
func delaysAnnouncement(plan []Event, outage Event) bool {
	for _, announcement := range plan {
		if announcement.Fault != AnnounceVersion || announcement.At < outage.At || announcement.At > outage.At+maxAnnouncementJitter-minEntryFaultOffset {
			continue
		}
		for _, entryFault := range plan {
			if entryFault.Fault.class() == entries && entryFault.At >= announcement.At+minEntryFaultOffset && entryFault.At <= announcement.At+maxEntryFaultOffset && entryFault.endTime() < outage.endTime() {
				return true
			}
		}
	}
	return false
}

// The impairments of a lasting fault end with the fault; those of a momentary fault end at
// once.
func TestCombineEndsOfMomentaryFaultEndsAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		endFault func()
		want     bool
	}{
		"lasting":   {func() {}, true},
		"momentary": {nil, false},
	} {
		var impairments harness.Impairments
		end := combineEnds(c.endFault, impairments.Begin())
		later := time.Now().Add(time.Minute)
		if lasts := !impairments.NoneWithin(later, time.Second); lasts != c.want || (end != nil) != c.want {
			t.Errorf("%s: impairment lasts = %v, want it and an end function only for a lasting fault", name, lasts)
		}
		if end != nil {
			end()
		}
		if !impairments.NoneWithin(later, time.Second) {
			t.Errorf("%s: impairment still lasts after its end", name)
		}
	}
}
