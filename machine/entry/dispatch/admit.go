package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/fairshare"
)

// arrive checks a request and queues it, or has its key claimed first.
func (m *StateMachine) arrive(in Request) {
	if _, exists := m.requests[in.ID]; exists {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	r := &request{Request: in, arrived: m.now, deadline: m.now.Add(in.Timeout)}
	if reason := m.check(r); reason != "" {
		m.refuse(r, reason)
		return
	}
	m.requests[r.ID] = r
	m.timers.add(r)
	if r.RequiresClaim {
		r.phase = phaseClaiming
		m.emit(ClaimKey{Claim: r.claim(), Timeout: r.Timeout})
		return
	}
	m.enqueue(r)
}

// check returns why a request cannot be taken, and fills in what depends on
// the settings.
func (m *StateMachine) check(r *request) contract.Reason {
	switch {
	case m.stopping:
		return contract.ReasonShuttingDown
	case m.view == nil || !m.listed:
		return contract.ReasonSettingsNotReady
	case r.Timeout <= 0 && m.off&offDeadline == 0:
		return contract.ReasonDeadline
	}
	s, ok := m.services[r.Service]
	if !ok || !s.exists || s.settings.Kind != r.Kind {
		return contract.ReasonUnknownService
	}
	if r.isModel() && s.settings.Weights == "" {
		return contract.ReasonNoWeights
	}
	home := m.cfg.Home
	team, ok := m.view.Team(home.Region, home.Zone, r.Service, r.Team)
	if !ok {
		return contract.ReasonUnknownTeam
	}
	r.service = s
	r.Priority = int8(min(int(r.Priority), team.MaxPriority))
	r.item = fairshare.Item{
		Request:  r.ID,
		Team:     r.Team,
		Weight:   team.Share,
		Priority: r.Priority,
		Tokens:   r.Tokens,
	}
	return ""
}

// refuse answers a request that was never taken in.
func (m *StateMachine) refuse(r *request, reason contract.Reason) {
	m.count(CountRefusal, reason)
	m.emit(Finish{
		Request:    r.ID,
		Outcome:    contract.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: m.retryAfter(r, reason, 0),
	})
}

// enqueue lets a request wait, unless it can be told at once that waiting is
// in vain.
func (m *StateMachine) enqueue(r *request) {
	s := r.service
	r.phase = phaseQueued
	m.timers.update(r)
	s.usage.RecordRequest(m.now, r.Team, r.item.Weight)
	if s.queue.Len() > 0 {
		wait := s.queue.EstimateWait(m.now, r.Team, r.item.Weight)
		if wait > r.deadline.Sub(m.now) {
			m.finish(r, contract.ReasonQueueFull, wait)
			return
		}
	}
	displaced, full := s.queue.Push(r.item)
	if full {
		m.displace(s, displaced, r)
	}
	m.pump(s)
}

// displace ends the request that had to leave a full queue.
func (m *StateMachine) displace(s *service, displaced fairshare.Item, arrived *request) {
	reason := contract.ReasonTeamShare
	if displaced.Request == arrived.ID {
		reason = contract.ReasonQueueFull
	}
	if victim, ok := m.requests[displaced.Request]; ok {
		wait := s.queue.EstimateWait(m.now, victim.Team, victim.item.Weight)
		m.finish(victim, reason, wait)
	}
}

// requeue puts a request that was sent before back at its place.
func (m *StateMachine) requeue(r *request) {
	r.phase = phaseQueued
	r.current = nil
	m.timers.update(r)
	r.service.queue.Requeue(r.item)
	if r.pinned != "" {
		r.service.pinned++
	}
	m.pump(r.service)
}

// pump has the queue of a service looked at before the step ends.
func (m *StateMachine) pump(s *service) {
	if !s.dirty {
		s.dirty = true
		m.dirty = append(m.dirty, s)
	}
}

func (m *StateMachine) pumpAll() {
	for _, s := range m.order {
		m.pump(s)
	}
}

// drainQueues looks at the queues of all services that something changed for.
func (m *StateMachine) drainQueues() {
	for len(m.dirty) > 0 {
		s := m.dirty[0]
		m.dirty = append(m.dirty[:0], m.dirty[1:]...)
		s.dirty = false
		m.drainQueue(s)
	}
}

// drainQueue sends waiting requests while targets have room.
func (m *StateMachine) drainQueue(s *service) {
	if s.pool.UnavailableReason(m.now, "") == contract.ReasonTargetFull {
		s.usable = m.now
	}
	for s.queue.Len() > 0 {
		if !m.sendNext(s) {
			m.giveUp(s)
			return
		}
	}
}

// giveUp ends the waiting requests that no target can take even with room.
func (m *StateMachine) giveUp(s *service) {
	if s.pinned == 0 && s.pool.UnavailableReason(m.now, "") == contract.ReasonTargetFull {
		return
	}
	for _, r := range m.waiting(s) {
		reason := s.pool.UnavailableReason(m.now, r.pinned)
		if reason == contract.ReasonTargetFull || m.justLost(s, r) {
			continue
		}
		if r.pinned != "" && reason == contract.ReasonNoWeights {
			reason = contract.ReasonWeightsChanged
		}
		m.finish(r, reason, m.untilProbe(s))
	}
}

// justLost reports whether the service lost its last target so shortly ago that
// a new connection or a probe may still bring one back.
func (m *StateMachine) justLost(s *service, r *request) bool {
	recent := !s.usable.IsZero() && m.now.Sub(s.usable) < LossGracePeriod
	return recent && m.off&offLossGrace == 0 && s.pool.MayRecover(m.now, r.pinned)
}

// waiting lists the queued requests of a service in order of arrival.
func (m *StateMachine) waiting(s *service) []*request {
	items := s.queue.Items()
	list := make([]*request, 0, len(items))
	for _, item := range items {
		list = append(list, m.requests[item.Request])
	}
	return list
}

// untilProbe is the time until an ejected target may be tried again.
func (m *StateMachine) untilProbe(s *service) time.Duration {
	at, ok := s.pool.NextProbe()
	if !ok {
		return 0
	}
	return max(0, at.Sub(m.now))
}

// decided goes on with a keyed request.
func (m *StateMachine) decided(ev ClaimDecided) {
	r, ok := m.requests[ev.Request]
	if !ok || r.phase != phaseClaiming {
		m.lateDecision(ev)
		return
	}
	switch {
	case ev.Run:
		r.claimed = true
		if ev.StartWithin > 0 {
			r.startBy = m.now.Add(ev.StartWithin)
		}
		m.enqueue(r)
	case ev.Replay != nil:
		m.drop(r)
		m.emit(Finish{Request: r.ID, Outcome: contract.OutcomeDone, Answer: ev.Replay})
	default:
		m.drop(r)
		m.count(CountRefusal, ev.Reason)
		m.emit(Finish{
			Request:    r.ID,
			Outcome:    ev.Outcome,
			Reason:     ev.Reason,
			RetryAfter: m.retryAfter(r, ev.Reason, ev.RetryAfter),
		})
	}
}

// lateDecision gives back a key that was won by a request already ended.
func (m *StateMachine) lateDecision(ev ClaimDecided) {
	claim, ok := m.orphans[ev.Request]
	if !ok {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	delete(m.orphans, ev.Request)
	if ev.Run {
		m.emit(ResolveKey{Claim: claim, Outcome: contract.OutcomeNotRun, Reason: contract.ReasonCallerGone})
	}
}

// callerSlow stops the clock of an attempt whose frames are not read.
func (m *StateMachine) callerSlow(ev CallerSlow) {
	r, ok := m.requests[ev.Request]
	if !ok || r.phase != phaseActive {
		return
	}
	r.slow = ev.Slow
	m.expectPart(r.current)
}

// callerGone ends a request; one that holds a key runs on for its answer.
func (m *StateMachine) callerGone(id contract.RequestID) {
	r, ok := m.requests[id]
	if !ok || r.detached {
		return
	}
	if r.claimed && r.phase == phaseActive {
		r.detached = true
		return
	}
	m.finish(r, contract.ReasonCallerGone, 0)
}
