package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// Bar is the rule by which a target does not get an attempt.
type Exclusion uint8

const (
	// NoBar means that the target may get the attempt.
	NotExcluded Exclusion = iota
	// BarLeaving: the target finishes what it has.
	ExcludedLeaving
	// BarEvacuated: operators have taken its zone out.
	ExcludedEvacuated
	// BarRegion: the route or the team is not served in its region.
	ExcludedRegion
	// BarChanging: its engine loads weights or is about to.
	ExcludedChanging
	// BarVersion: its engine holds no weights that the attempt may run on.
	ExcludedVersion
	// BarTried: the request has been sent there before.
	ExcludedTried
	// BarOut: it was taken out for failures or silence.
	ExcludedEjected
	// BarCold: this entry's share of what the target gets in a second is used up.
	ExcludedCold
	// BarFull: it cannot send the first event in time.
	ExcludedFull

	bars = iota
)

var barNames = [bars]string{
	NotExcluded: "free", ExcludedLeaving: "leaving", ExcludedEvacuated: "evacuated", ExcludedRegion: "other_region", ExcludedChanging: "changing",
	ExcludedVersion: "other_version", ExcludedTried: "tried", ExcludedEjected: "taken_out", ExcludedCold: "cold", ExcludedFull: "full",
}

// String is the bar's name in logs.
func (b Exclusion) String() string { return barNames[b] }

// Survey is what a choice among the targets rests on.
type Survey struct {
	// Listed is the number of targets of the service.
	Listed int
	// Barred counts the targets by the rule that leaves them out, NoBar included.
	Counts [bars]int
	// Limit is the time within which the first event is due, Oldest the oldest version
	// of weights that may begin.
	Limit      time.Duration
	MinVersion int64
	// Nearest is the full target that would send the first event soonest; its ID is
	// empty if none is full.
	Nearest Choice
}

// Each calls f with each rule that leaves targets out and their number.
func (s Survey) Each(f func(b Exclusion, targets int)) {
	for b, n := range s.Counts {
		if n > 0 {
			f(Exclusion(b), n)
		}
	}
}

// Survey tells how the targets stand for an attempt whose first event is due
// within limit. Like a choice, it asks targets that were taken out only if no other
// is free or full.
func (p *Pool) Survey(now time.Time, want Requirements, limit time.Duration) Survey {
	s := p.survey(now, want, limit, false)
	if s.Counts[NotExcluded] > 0 || s.Counts[ExcludedFull] > 0 {
		return s
	}
	return p.survey(now, want, limit, true)
}

func (p *Pool) survey(now time.Time, want Requirements, limit time.Duration, ejected bool) Survey {
	s := Survey{Listed: len(p.members), Limit: limit, MinVersion: want.MinVersion}
	for _, m := range p.members {
		bar := p.barOf(now, m, want, limit, ejected)
		s.Counts[bar]++
		if bar != ExcludedFull {
			continue
		}
		c := p.choice(now, m, want)
		if s.Nearest.ID == "" || c.FirstEventDelay < s.Nearest.FirstEventDelay {
			s.Nearest = c
		}
	}
	return s
}

// barOf is the rule that leaves a target out, its health and load included.
func (p *Pool) barOf(now time.Time, m *roster.Member, want Requirements, limit time.Duration, ejected bool) Exclusion {
	if bar := p.bar(now, m, want); bar != NotExcluded {
		return bar
	}
	switch refusal, _ := p.room(now, m, limit, ejected); refusal {
	case NoTarget:
		return ExcludedEjected
	case ColdShareUsed:
		return ExcludedCold
	case Full:
		return ExcludedFull
	default:
		return NotExcluded
	}
}

// choice describes a target as the choice for an attempt.
func (p *Pool) choice(now time.Time, m *roster.Member, want Requirements) Choice {
	n := p.estimate(now, m)
	return Choice{
		ID:              m.ID,
		Address:         m.Address,
		Version:         m.Version(now),
		MinVersion:      want.MinVersion,
		FirstEventDelay: NewLatencyModel(p.service, m.Slots).FirstEventDelay(n),
		Load:            int(n),
		ListedAge:       now.Sub(m.ListedAt),
		StatusAge:       m.StatusAge(now),
	}
}
