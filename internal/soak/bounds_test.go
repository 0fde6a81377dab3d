package soak

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

// A history in seconds from its start: version 2 is named at 0, the engine says that it
// leaves at 0, and one request begins on version 1 at the given time.
type history struct {
	begins float64
	// store and sender are the spans in which they were in trouble.
	store, sender [][2]float64
}

func (h history) find(p Promise, note func(b *bounds, e *standin.Engine, at func(float64) time.Time)) bool {
	start := time.Now()
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	engine, sender, b := &standin.Engine{ID: "engine", Zone: "erongo-a", Model: standin.Model}, &harness.Machine{Name: "entry"}, &bounds{}
	for _, s := range h.store {
		b.store.Add(at(s[0]), at(s[1]))
	}
	for _, s := range h.sender {
		sender.Impairments.Add(at(s[0]), at(s[1]))
	}
	note(b, engine, at)
	l := NewChecker(1, func(string) int { return 1 })
	b.check(l, []run{{Run: standin.Run{AttemptID: "a", Version: 1, StartedAt: at(h.begins)}, engine: engine, sender: sender}})
	broken := l.Violations()
	return len(broken) == 1 && broken[0].Promise == p
}

// Time counts from the acknowledgement, in one stretch of a sound store, for entries
// that have been in touch; that an entry learned late puts nothing off.
func TestOlderVersionPastTheBoundIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		history
		want bool
	}{
		"in the bound":                         {history{begins: 7.9}, false},
		"past the bound":                       {history{begins: 8.1}, true},
		"entry started again late":             {history{begins: 8.1, sender: [][2]float64{{1, 5}}}, true},
		"entry started again just now":         {history{begins: 8.1, sender: [][2]float64{{1, 5.2}}}, false},
		"entry is down when it begins":         {history{begins: 8.1, sender: [][2]float64{{8, 20}}}, false},
		"store impaired before the naming":     {history{begins: 8.1, store: [][2]float64{{-9, -3}}}, true},
		"store impaired at the naming":         {history{begins: 8.1, store: [][2]float64{{-9, 0}}}, false},
		"past the bound of a store come back":  {history{begins: 12.2, store: [][2]float64{{-9, 1}}}, true},
		"past the bound, impaired just before": {history{begins: 8.1, store: [][2]float64{{7, 7.5}}}, false},
	} {
		name2 := func(b *bounds, _ *standin.Engine, at func(float64) time.Time) { b.named(2, at(0)) }
		if got := c.find(VersionBound, name2); got != c.want {
			t.Errorf("%s: found %v, want %v", name, got, c.want)
		}
	}
}

func TestRunAtLeavingEnginePastTheBoundIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		history
		want bool
	}{
		"in the bound":              {history{begins: 2.9}, false},
		"past the bound":            {history{begins: 3.1}, true},
		"after it came back":        {history{begins: 6}, false},
		"entry paused a moment ago": {history{begins: 3.1, sender: [][2]float64{{0, 1}}}, false},
		"store impaired meanwhile":  {history{begins: 3.1, store: [][2]float64{{-1, -0.5}}}, false},
	} {
		leave := func(b *bounds, e *standin.Engine, at func(float64) time.Time) { b.left(e, at(0), at(5)) }
		if got := c.find(DrainBound, leave); got != c.want {
			t.Errorf("%s: found %v, want %v", name, got, c.want)
		}
	}
}

func TestRunInEvacuatedZonePastTheBoundIsFound(t *testing.T) {
	for name, c := range map[string]struct {
		history
		zone string
		want bool
	}{
		"in the bound":              {history{begins: 4.9}, "erongo-a", false},
		"past the bound":            {history{begins: 5.1}, "erongo-a", true},
		"in another zone":           {history{begins: 5.1}, "khomas-a", false},
		"after it was taken back":   {history{begins: 8.1}, "erongo-a", false},
		"entry started just now":    {history{begins: 5.1, sender: [][2]float64{{1, 2.5}}}, "erongo-a", false},
		"entry started again late":  {history{begins: 5.1, sender: [][2]float64{{0, 2}}}, "erongo-a", true},
		"store impaired meanwhile":  {history{begins: 5.1, store: [][2]float64{{-3, 1}}}, "erongo-a", false},
		"store back for long again": {history{begins: 7.9, store: [][2]float64{{-3, -0.2}}}, "erongo-a", true},
	} {
		out := func(b *bounds, _ *standin.Engine, at func(float64) time.Time) { b.evacuated(c.zone, at(0), at(8)) }
		if got := c.find(EvacuationBound, out); got != c.want {
			t.Errorf("%s: found %v, want %v", name, got, c.want)
		}
	}
}

// A plan with the series of the incident names a version while the origin is away and
// takes an entry away after it.
func TestPlansHaveEntriesLearnLate(t *testing.T) {
	const length = 24 * time.Second
	found := 0
	for seed := range uint64(100) {
		plan := GeneratePlan(seed, length, shape)
		for _, away := range plan {
			if away.Fault == OriginUnavailable && away.Duration >= minAway && learnsLate(plan, away) {
				found++
			}
		}
	}
	if found < 20 {
		t.Errorf("%d of 100 plans have it", found)
	}
}

func learnsLate(plan []Event, away Event) bool {
	for _, name := range plan {
		if name.Fault != AnnounceVersion || name.At < away.At || name.At > away.At+maxBeforeNaming-minUntilGone {
			continue
		}
		for _, gone := range plan {
			if gone.Fault.class() == entries && gone.At >= name.At+minUntilGone && gone.At <= name.At+maxUntilGone && gone.end() < away.end() {
				return true
			}
		}
	}
	return false
}

// Harm that lasts excuses a sender until it ends, harm of a moment only from then on.
func TestHarmOfAMomentIsOverAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		heal func()
		want bool
	}{
		"lasts":  {func() {}, true},
		"moment": {nil, false},
	} {
		var spells harness.Impairments
		end := healing(c.heal, spells.Begin())
		later := time.Now().Add(time.Minute)
		if lasts := !spells.NoneWithin(later, time.Second); lasts != c.want || (end != nil) != c.want {
			t.Errorf("%s: lasts %v", name, lasts)
		}
		if end != nil {
			end()
		}
		if !spells.NoneWithin(later, time.Second) {
			t.Errorf("%s: not over", name)
		}
	}
}
