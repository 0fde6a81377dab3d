package placement

import (
	"math"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/roster"
)

// admission says whether a target may get an attempt now.
type admission struct {
	// exclusion is the rule that forbids it, or NotExcluded.
	exclusion Exclusion
	// delay is the predicted delay of the first event, if the target has room or is full.
	delay time.Duration
	// borrows is set if the attempt would use a slot of another entry.
	borrows bool
}

// admit decides whether a target may get an attempt now whose first event is due within limit. It
// is the only place that does. Ejected targets are considered only with includeEjected set.
func (p *Pool) admit(now time.Time, m *roster.Member, req Requirements, limit time.Duration, includeEjected bool) admission {
	if exclusion := p.exclusionOf(now, m, req); exclusion != NotExcluded {
		return admission{exclusion: exclusion}
	}
	l := p.loadOf(m.ID)
	switch {
	case p.backoffWait(m.ID, m.Born) > 0:
		return admission{exclusion: ExcludedBackoff}
	case !includeEjected && p.isEjected(now, m):
		return admission{exclusion: ExcludedEjected}
	case l.sends.wait(now, p.coldShare(now, m)) > 0:
		return admission{exclusion: ExcludedCold}
	case p.rateWait(now, m) > 0:
		return admission{exclusion: ExcludedRate}
	}
	model := NewLatencyModel(p.service, m.Slots)
	room := p.roomAt(now, m, req, model.slots)
	delay := p.predictDelay(now, m, room.load, req)
	limit = p.sizedLimit(now, limit, req)
	if now.Before(l.fullUntil) || !room.hasRoom || delay > limit || l.ownInFlight >= p.connShare() || !p.fitsMemory(now, l, room.load, req) {
		return admission{exclusion: ExcludedFull, delay: delay}
	}
	return admission{delay: delay, borrows: room.borrows}
}

// StillAdmits reports whether a target that was chosen may still get the attempt: it may have asked
// for no more requests since, or have said that it leaves.
func (p *Pool) StillAdmits(c Choice) bool {
	return p.backoffWait(c.ID, c.Born) == 0 && !p.leaving.IsLeaving(c.ID, c.Born)
}

// isEjected reports whether a target is ejected. One that is due for a probe gets no request as
// long as its process is silent.
func (p *Pool) isEjected(now time.Time, m *roster.Member) bool {
	verdict := p.ejection.Verdict(now, contract.MachineID(m.ID))
	return verdict == ejection.Ejected || verdict == ejection.Probe && m.IsSilent(now)
}

// exclusionOf returns the rule that excludes a target irrespective of its load and
// health.
func (p *Pool) exclusionOf(now time.Time, m *roster.Member, req Requirements) Exclusion {
	switch {
	case m.Leaving || p.leaving.IsLeaving(m.ID, m.Born):
		return ExcludedLeaving
	case p.evacuated[m.Zone]:
		return ExcludedEvacuated
	case req.RegionAllowed != nil && !req.RegionAllowed(p.regions[m.Zone]):
		return ExcludedRegion
	}
	if p.isMisdirected(now, m) {
		return ExcludedMisdirected
	}
	if p.service != nil && p.service.Engine != nil {
		if exclusion := p.weightsExclusion(now, m, req); exclusion != NotExcluded {
			return exclusion
		}
	}
	if slices.Contains(req.Tried, m.ID) {
		return ExcludedTried
	}
	return NotExcluded
}

// misdirectedMaxAge is for how long a target gets nothing after it said that it is not what this
// entry takes it for, unless something is learned of it sooner.
const misdirectedMaxAge = 1500 * time.Millisecond

// isMisdirected reports whether a target has said that it is another one, or holds other weights, than
// this entry knows of, and nothing has been learned of it since.
func (p *Pool) isMisdirected(now time.Time, m *roster.Member) bool {
	l, ok := p.loads[m.ID]
	if !ok || l.misdirectedAt.IsZero() || now.Sub(l.misdirectedAt) >= misdirectedMaxAge {
		return false
	}
	return !m.LastHeard().After(l.misdirectedAt)
}

// weightsExclusion returns the rule that excludes a model engine because of its weights.
func (p *Pool) weightsExclusion(now time.Time, m *roster.Member, req Requirements) Exclusion {
	if s, ok := m.Status(now); ok && s.Changing {
		return ExcludedChanging
	}
	version := m.Version(now, p.modelLayers())
	if req.Pinned != 0 && version != req.Pinned {
		return ExcludedVersion
	}
	if version <= 0 || version < req.MinVersion {
		return ExcludedVersion
	}
	return NotExcluded
}

// modelLayers returns the number of layers of the service's model; 0 if it is not known.
func (p *Pool) modelLayers() int {
	if p.service == nil || p.service.Engine == nil {
		return 0
	}
	return p.service.Engine.Layers
}

// connShare returns how many connections this entry may have to one target. Each carries one
// attempt at a time. Every entry may have one: if there are more entries than connections,
// KeepsIdleConns tells them to close theirs after each attempt.
func (p *Pool) connShare() int {
	if p.service == nil || p.service.MaxConns <= 0 {
		return math.MaxInt
	}
	return max(p.service.MaxConns/max(p.coldShares.ShareCount, 1), 1)
}

// unlimited is the share of a target that gets as many requests as it has room for.
var unlimited = sendShare{requests: math.MaxInt}

// coldShare returns this entry's share of the requests that a target may get in coldWindow. The
// owners of slots have larger shares while the slots are shared.
func (p *Pool) coldShare(now time.Time, m *roster.Member) sendShare {
	if p.coldShares.TotalLimit <= 0 {
		return unlimited
	}
	ownerLimit, isDivided := p.ownerColdLimit(now, m)
	switch isCold := now.Before(m.ColdUntil); {
	case isCold && isDivided:
		return sendShare{ownerLimit, coldWindow}
	case isDivided:
		return sendShare{max(ownerLimit, p.coldShares.WarmLimit()), coldWindow}
	case isCold:
		return sendShare{p.coldShares.near(m.Zone).ColdLimit(now, m.ID), coldWindow}
	default:
		return sendShare{p.coldShares.WarmLimit(), coldWindow}
	}
}

// PredictWait predicts how long it takes until some target can send the first event of
// one more request within limit. ok is false if no target may serve the request.
func (p *Pool) PredictWait(now time.Time, req Requirements, limit time.Duration) (delay time.Duration, ok bool) {
	limit = p.sizedLimit(now, limit, req)
	for _, m := range p.members {
		if p.exclusionOf(now, m, req) != NotExcluded {
			continue
		}
		wait := max(p.predictDelay(now, m, p.estimateLoad(now, m), req)-limit, p.rateWait(now, m), p.backoffWait(m.ID, m.Born))
		if !ok || wait < delay {
			delay, ok = wait, true
		}
	}
	return max(delay, 0), ok
}

// rateWait returns the time until a target that limits its rate takes a further request:
// from this entry if it has a share, otherwise from any.
func (p *Pool) rateWait(now time.Time, m *roster.Member) time.Duration {
	limit, ok := p.rateLimits.Of(m.ID, m.Born)
	if !ok {
		return 0
	}
	sends := &p.loadOf(m.ID).sends
	share := p.coldShares.near(m.Zone).shareOfRate(limit, now, m.ID, sends.last)
	if share.requests > 0 {
		return sends.wait(now, share)
	}
	return timePerRequest(limit.PerSecond)
}
