package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// usualPace is the pace in percent at which work takes its usual time. Lower paces count as
	// usualPace: step times are declared for a machine without other work.
	usualPace = 100
	// maxPace bounds the pace in percent that is believed.
	maxPace = 1000
	// paceHold is how long a reported pace is used: about the length of a slow period.
	paceHold = 600 * time.Millisecond
	// paceReturn is the time after paceHold in which the pace returns to the mean.
	paceReturn = 300 * time.Millisecond
	// pacedWindow is how long a service counts as paced after an answer with a pace.
	pacedWindow = 10 * time.Second
	// meanPaceWindow is the time over which the paces of all targets are averaged.
	meanPaceWindow = 4 * time.Second
	// minPaceWeight is the time for which a pace counts at least in that average.
	minPaceWeight = 50 * time.Millisecond
	// pacedCandidatesPerDistance is candidatesPerDistance on paced services, whose reported loads fade with
	// their age, so that entries do not all choose the same target.
	pacedCandidatesPerDistance = 3
)

// paceReport is the pace of a target in percent, at least usualPace, as it arrived at a time.
type paceReport struct {
	percent float64
	at      time.Time
}

// paceSummary is what was seen lately of the paces at all targets of a service.
type paceSummary struct {
	// answeredAt is when the last answer with a pace arrived.
	answeredAt time.Time
	// mean is the mean pace in percent as of at.
	mean float64
	at   time.Time
}

// add counts a pace towards the mean. Paces that arrive soon after each other count less each.
func (s *paceSummary) add(now time.Time, percent float64) {
	if s.at.IsZero() || now.Sub(s.at) >= pacedWindow {
		s.mean, s.at = usualPace, now.Add(-minPaceWeight)
	}
	elapsed := min(max(now.Sub(s.at), minPaceWeight), meanPaceWindow)
	s.mean += (percent - s.mean) * float64(elapsed) / float64(meanPaceWindow)
	s.at = now
}

// PaceAnswered records the pace in percent that a target reported with an answer. From then on the
// service is paced for pacedWindow.
func (p *Pool) PaceAnswered(now time.Time, id roster.TargetID, percent float64) {
	percent = min(max(percent, usualPace), maxPace)
	p.pace.answeredAt = now
	p.pace.add(now, percent)
	p.loadOf(id).pace = paceReport{percent, now}
}

// IsPaced reports whether targets of the service have answered with a pace lately.
func (p *Pool) IsPaced(now time.Time) bool {
	return !p.pace.answeredAt.IsZero() && now.Sub(p.pace.answeredAt) < pacedWindow
}

// MeanPace returns the mean pace in percent that answers carried lately; 0 if the service is not paced.
func (p *Pool) MeanPace(now time.Time) float64 {
	if !p.IsPaced(now) {
		return 0
	}
	return p.pace.mean
}

// SetSizeAware sets whether the sizes of requests count although the service is not paced.
func (p *Pool) SetSizeAware(aware bool) { p.sizeAware = aware }

// isSizeAware reports whether the sizes of requests count: on paced services, and on those for which
// SetSizeAware is set.
func (p *Pool) isSizeAware(now time.Time) bool { return p.sizeAware || p.IsPaced(now) }

// candidateCount returns how many targets at each distance a choice compares.
func (p *Pool) candidateCount(now time.Time) int {
	if p.IsPaced(now) {
		return p.pacedCandidates
	}
	return candidatesPerDistance
}

// paceOf returns the pace in percent that is assumed at a target; 0 if the service is not paced. A reported
// pace holds for paceHold and then returns to the mean of all targets, which also stands for targets
// that reported none.
func (p *Pool) paceOf(now time.Time, id roster.TargetID) float64 {
	if !p.IsPaced(now) {
		return 0
	}
	r := p.loadOf(id).pace
	age := now.Sub(r.at)
	switch {
	case r.at.IsZero() || age >= paceHold+paceReturn:
		return p.pace.mean
	case age <= paceHold:
		return r.percent
	}
	returned := float64(age-paceHold) / float64(paceReturn)
	return r.percent + (p.pace.mean-r.percent)*returned
}
