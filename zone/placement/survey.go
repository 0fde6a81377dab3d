package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// Bar is the rule by which a target does not get an attempt.
type Bar uint8

const (
	// NoBar means that the target may get the attempt.
	NoBar Bar = iota
	// BarLeaving: the target finishes what it has.
	BarLeaving
	// BarEvacuated: operators have taken its zone out.
	BarEvacuated
	// BarRegion: the route or the team is not served in its region.
	BarRegion
	// BarChanging: its engine loads weights or is about to.
	BarChanging
	// BarVersion: its engine holds no weights that the attempt may run on.
	BarVersion
	// BarTried: the request has been sent there before.
	BarTried
	// BarOut: it was taken out for failures or silence.
	BarOut
	// BarCold: this entry's share of what the target gets in a second is used up.
	BarCold
	// BarFull: it cannot send the first event in time.
	BarFull

	bars = iota
)

var barNames = [bars]string{
	NoBar: "free", BarLeaving: "leaving", BarEvacuated: "evacuated", BarRegion: "other_region", BarChanging: "changing",
	BarVersion: "other_version", BarTried: "tried", BarOut: "taken_out", BarCold: "cold", BarFull: "full",
}

// String is the bar's name in logs.
func (b Bar) String() string { return barNames[b] }

// Survey is what a choice among the targets rests on.
type Survey struct {
	// Listed is the number of targets of the service.
	Listed int
	// Barred counts the targets by the rule that leaves them out, NoBar included.
	Barred [bars]int
	// Limit is the time within which the first event is due, Oldest the oldest version
	// of weights that may begin.
	Limit  time.Duration
	Oldest int64
	// Nearest is the full target that would send the first event soonest; its ID is
	// empty if none is full.
	Nearest Choice
}

// Each calls f with each rule that leaves targets out and their number.
func (s Survey) Each(f func(b Bar, targets int)) {
	for b, n := range s.Barred {
		if n > 0 {
			f(Bar(b), n)
		}
	}
}

// Survey tells how the targets stand for an attempt whose first event is due
// within limit. Like a choice, it asks targets that were taken out only if no other
// is free or full.
func (p *Pool) Survey(now time.Time, want Want, limit time.Duration) Survey {
	s := p.survey(now, want, limit, false)
	if s.Barred[NoBar] > 0 || s.Barred[BarFull] > 0 {
		return s
	}
	return p.survey(now, want, limit, true)
}

func (p *Pool) survey(now time.Time, want Want, limit time.Duration, ejected bool) Survey {
	s := Survey{Listed: len(p.members), Limit: limit, Oldest: want.MinVersion}
	for _, m := range p.members {
		bar := p.barOf(now, m, want, limit, ejected)
		s.Barred[bar]++
		if bar != BarFull {
			continue
		}
		c := p.choice(now, m, want)
		if s.Nearest.ID == "" || c.First < s.Nearest.First {
			s.Nearest = c
		}
	}
	return s
}

// barOf is the rule that leaves a target out, its health and load included.
func (p *Pool) barOf(now time.Time, m *roster.Member, want Want, limit time.Duration, ejected bool) Bar {
	if bar := p.bar(now, m, want); bar != NoBar {
		return bar
	}
	switch refusal, _ := p.room(now, m, limit, ejected); refusal {
	case None:
		return BarOut
	case Cold:
		return BarCold
	case Full:
		return BarFull
	default:
		return NoBar
	}
}

// choice describes a target as the choice for an attempt.
func (p *Pool) choice(now time.Time, m *roster.Member, want Want) Choice {
	n := p.estimate(now, m)
	return Choice{
		ID:        m.ID,
		Address:   m.Address,
		Version:   m.Version(now),
		Oldest:    want.MinVersion,
		First:     PaceOf(p.service, m.Slots).First(n),
		Load:      int(n),
		ListedAge: now.Sub(m.ListedAt),
		ToldAge:   m.ToldAge(now),
	}
}
