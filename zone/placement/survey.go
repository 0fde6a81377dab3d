package placement

import (
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// Exclusion is the rule that excludes a target from an attempt.
type Exclusion uint8

const (
	// NotExcluded means that the target may get the attempt.
	NotExcluded Exclusion = iota
	// ExcludedLeaving means that the target is draining, by the target list or its own word.
	ExcludedLeaving
	// ExcludedEvacuated means that operators have evacuated the target's zone.
	ExcludedEvacuated
	// ExcludedRegion means that the route or the team may not be served in the target's
	// region.
	ExcludedRegion
	// ExcludedChanging means that the engine is loading weights or is about to.
	ExcludedChanging
	// ExcludedVersion means that the engine has no weights that the attempt may run on.
	ExcludedVersion
	// ExcludedMisdirected means that the target has said that it is another one, or holds other
	// weights, than this entry knows of.
	ExcludedMisdirected
	// ExcludedTried means that the request has already been sent to the target.
	ExcludedTried
	// ExcludedEjected means that the target is ejected, or is due for a probe while its
	// process is silent.
	ExcludedEjected
	// ExcludedCold means that this entry has used up its share of the requests that the
	// target may receive in a second.
	ExcludedCold
	// ExcludedRate means that this entry has used up its share of the rate to which the
	// target limits all entries.
	ExcludedRate
	// ExcludedBackoff means that the target wants no request from this entry for a while.
	ExcludedBackoff
	// ExcludedFull means that the target has too many requests, or cannot send the
	// first event in time.
	ExcludedFull

	exclusionCount = iota
)

var exclusionNames = [exclusionCount]string{
	NotExcluded: "free", ExcludedLeaving: "leaving", ExcludedEvacuated: "evacuated", ExcludedRegion: "other_region", ExcludedChanging: "changing",
	ExcludedVersion: "other_version", ExcludedMisdirected: "misdirected", ExcludedTried: "tried", ExcludedEjected: "taken_out", ExcludedCold: "cold", ExcludedRate: "limited", ExcludedBackoff: "backoff", ExcludedFull: "full",
}

// String returns the name of the exclusion in logs.
func (e Exclusion) String() string { return exclusionNames[e] }

// refusal returns what a request is told that finds only targets excluded by the rule.
func (e Exclusion) refusal() Refusal {
	switch e {
	case NotExcluded:
		return Placed
	case ExcludedFull:
		return Full
	case ExcludedCold:
		return ColdShareUsed
	case ExcludedRate:
		return RateShareUsed
	case ExcludedBackoff:
		return BackedOff
	default:
		return NoTarget
	}
}

// Survey summarizes the state of the targets that a choice is based on.
type Survey struct {
	// Listed is the number of targets of the service.
	Listed int
	// Counts holds the number of targets by the rule that excludes them, NotExcluded
	// included.
	Counts [exclusionCount]int
	// Limit is the time within which the first event is due. MinVersion is the oldest
	// version of the weights that the attempt may run on.
	Limit      time.Duration
	MinVersion int64
	// Nearest is the full target with the shortest predicted delay of the first event.
	// Its ID is empty if no target is full.
	Nearest Choice
}

// Each calls f with each rule that applies to at least one target, NotExcluded included,
// and the number of these targets.
func (s Survey) Each(f func(e Exclusion, targets int)) {
	for e, n := range s.Counts {
		if n > 0 {
			f(Exclusion(e), n)
		}
	}
}

// Survey summarizes the state of the targets for an attempt whose first event is due
// within limit. Like Pick, it considers ejected targets only if no other target has
// room or is full.
func (p *Pool) Survey(now time.Time, req Requirements, limit time.Duration) Survey {
	s := p.surveyTargets(now, req, limit, false)
	if s.hasRoomOrIsFull() {
		return s
	}
	return p.surveyTargets(now, req, limit, true)
}

// hasRoomOrIsFull reports whether a target has room or is full. If none does, ejected ones are considered.
func (s Survey) hasRoomOrIsFull() bool {
	return s.Counts[NotExcluded] > 0 || s.Counts[ExcludedFull] > 0
}

// surveyTargets is Survey with ejected targets considered only if includeEjected is set.
func (p *Pool) surveyTargets(now time.Time, req Requirements, limit time.Duration, includeEjected bool) Survey {
	s := Survey{Listed: len(p.members), Limit: limit, MinVersion: req.MinVersion}
	for _, m := range p.members {
		exclusion := p.admit(now, m, req, limit, includeEjected).exclusion
		s.Counts[exclusion]++
		if exclusion != ExcludedFull {
			continue
		}
		c := p.choiceOf(now, m, req)
		if s.Nearest.ID == "" || c.FirstEventDelay < s.Nearest.FirstEventDelay {
			s.Nearest = c
		}
	}
	return s
}

// choiceOf returns the Choice that describes a target for an attempt.
func (p *Pool) choiceOf(now time.Time, m *roster.Member, req Requirements) Choice {
	n := p.estimateLoad(now, m)
	c := Choice{
		ID:              m.ID,
		Address:         m.Address,
		Born:            m.Born,
		Version:         m.Version(now, p.modelLayers()),
		MinVersion:      req.MinVersion,
		FirstEventDelay: NewLatencyModel(p.service, m.Slots).FirstEventDelay(n),
		Load:            int(n),
		ListedAge:       now.Sub(m.ListedAt),
		StatusAge:       m.StatusAge(now),
	}
	if p.isSizeAware(now) {
		c.FirstEventDelay, c.Pace, c.Correction = p.predictDelay(now, m, n, req), p.paceOf(now, m.ID), p.Correction(now)
	}
	return c
}
