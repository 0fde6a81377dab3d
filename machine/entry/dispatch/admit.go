package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/fairshare"
)

// handleArrival admits a request and queues it, or first requests a decision on its key.
func (m *StateMachine) handleArrival(in Request) {
	if _, exists := m.requests[in.ID]; exists {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	r := &request{Request: in, arrived: m.now, deadline: m.now.Add(in.Timeout)}
	if reason := m.admit(r); reason != "" {
		m.refuseRequest(r, reason)
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

// admit returns why a request cannot be admitted. If it can, admit returns "" and sets
// the fields that depend on the settings.
func (m *StateMachine) admit(r *request) contract.Reason {
	switch {
	case m.stopping:
		return contract.ReasonShuttingDown
	case m.view == nil || !m.hasHosts:
		return contract.ReasonSettingsNotReady
	case r.Timeout <= 0 && m.disabled&disableDeadline == 0:
		return contract.ReasonDeadline
	}
	s, ok := m.services[r.Service]
	if !ok || !s.isConfigured || s.settings.Kind != r.Kind {
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

// refuseRequest answers a request that was not admitted.
func (m *StateMachine) refuseRequest(r *request, reason contract.Reason) {
	m.count(CountRefusal, reason)
	m.emit(Finish{
		Request:    r.ID,
		Outcome:    contract.OutcomeNotRun,
		Reason:     reason,
		RetryAfter: m.retryAfter(r, reason, 0),
	})
}

// enqueue queues a request, unless its estimated wait exceeds the time to its deadline.
func (m *StateMachine) enqueue(r *request) {
	s := r.service
	r.phase = phaseQueued
	m.timers.update(r)
	s.usage.RecordRequest(m.now, r.Team, r.item.Weight)
	if s.queue.Len() > 0 {
		wait := s.queue.EstimateWait(m.now, r.Team, r.item.Weight)
		if wait > r.deadline.Sub(m.now) {
			m.failRequest(r, contract.ReasonQueueFull, wait)
			return
		}
	}
	displaced, full := s.queue.Push(r.item)
	if full {
		m.failDisplaced(s, displaced, r)
	}
	m.scheduleQueue(s)
}

// failDisplaced fails the request that a full queue displaced, which may be the one that
// arrived.
func (m *StateMachine) failDisplaced(s *service, displaced fairshare.Item, arrived *request) {
	reason := contract.ReasonTeamShare
	if displaced.Request == arrived.ID {
		reason = contract.ReasonQueueFull
	}
	if removed, ok := m.requests[displaced.Request]; ok {
		wait := s.queue.EstimateWait(m.now, removed.Team, removed.item.Weight)
		m.failRequest(removed, reason, wait)
	}
}

// requeue returns a request to its former place in the queue after an attempt.
func (m *StateMachine) requeue(r *request) {
	r.phase = phaseQueued
	r.current = nil
	m.timers.update(r)
	r.service.queue.Requeue(r.item)
	if r.pinnedDigest != "" {
		r.service.pinnedCount++
	}
	m.scheduleQueue(r.service)
}

// scheduleQueue schedules the queue of a service to be dispatched before the step ends.
func (m *StateMachine) scheduleQueue(s *service) {
	if !s.isScheduled {
		s.isScheduled = true
		m.scheduled = append(m.scheduled, s)
	}
}

func (m *StateMachine) scheduleAllQueues() {
	for _, s := range m.sortedServices {
		m.scheduleQueue(s)
	}
}

// dispatchQueues dispatches all scheduled queues.
func (m *StateMachine) dispatchQueues() {
	for len(m.scheduled) > 0 {
		s := m.scheduled[0]
		m.scheduled = append(m.scheduled[:0], m.scheduled[1:]...)
		s.isScheduled = false
		m.dispatchQueue(s)
	}
}

// dispatchQueue sends queued requests while targets have room.
func (m *StateMachine) dispatchQueue(s *service) {
	if s.pool.UnavailableReason(m.now, "") == contract.ReasonTargetFull {
		s.lastUsable = m.now
	}
	for s.queue.Len() > 0 {
		if !m.sendNext(s) {
			m.failUnservable(s)
			return
		}
	}
}

// failUnservable fails the queued requests that no target could take even if it had room.
func (m *StateMachine) failUnservable(s *service) {
	if s.pinnedCount == 0 && s.pool.UnavailableReason(m.now, "") == contract.ReasonTargetFull {
		return
	}
	for _, r := range m.queuedRequests(s) {
		reason := s.pool.UnavailableReason(m.now, r.pinnedDigest)
		if reason == contract.ReasonTargetFull || m.isRecoverable(s, r) {
			continue
		}
		if r.pinnedDigest != "" && reason == contract.ReasonNoWeights {
			reason = contract.ReasonWeightsChanged
		}
		m.failRequest(r, reason, m.timeUntilProbe(s))
	}
}

// isRecoverable reports whether the service lost its last usable target less than
// LossGracePeriod ago, so that a new connection or a probe may still bring back a target
// for the request.
func (m *StateMachine) isRecoverable(s *service, r *request) bool {
	recent := !s.lastUsable.IsZero() && m.now.Sub(s.lastUsable) < LossGracePeriod
	return recent && m.disabled&disableLossGrace == 0 && s.pool.MayRecover(m.now, r.pinnedDigest)
}

// queuedRequests returns the queued requests of a service in order of arrival.
func (m *StateMachine) queuedRequests(s *service) []*request {
	items := s.queue.Items()
	list := make([]*request, 0, len(items))
	for _, item := range items {
		list = append(list, m.requests[item.Request])
	}
	return list
}

// timeUntilProbe returns the time until an ejected target may be probed, or 0 if there is
// none.
func (m *StateMachine) timeUntilProbe(s *service) time.Duration {
	at, ok := s.pool.NextProbe()
	if !ok {
		return 0
	}
	return max(0, at.Sub(m.now))
}

// handleClaimDecided continues a keyed request after the decision on its key.
func (m *StateMachine) handleClaimDecided(ev ClaimDecided) {
	r, ok := m.requests[ev.Request]
	if !ok || r.phase != phaseClaiming {
		m.handleLateDecision(ev)
		return
	}
	switch {
	case ev.Run:
		r.holdsKey = true
		if ev.StartWithin > 0 {
			r.startBy = m.now.Add(ev.StartWithin)
		}
		m.enqueue(r)
	case ev.Replay != nil:
		m.removeRequest(r)
		m.emit(Finish{Request: r.ID, Outcome: contract.OutcomeDone, Answer: ev.Replay})
	default:
		m.removeRequest(r)
		m.count(CountRefusal, ev.Reason)
		m.emit(Finish{
			Request:    r.ID,
			Outcome:    ev.Outcome,
			Reason:     ev.Reason,
			RetryAfter: m.retryAfter(r, ev.Reason, ev.RetryAfter),
		})
	}
}

// handleLateDecision resolves a key as not run if its request ended before the decision.
func (m *StateMachine) handleLateDecision(ev ClaimDecided) {
	claim, ok := m.orphanedClaims[ev.Request]
	if !ok {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	delete(m.orphanedClaims, ev.Request)
	if ev.Run {
		m.emit(ResolveKey{Claim: claim, Outcome: contract.OutcomeNotRun, Reason: contract.ReasonCallerGone})
	}
}

// handleCallerSlow suspends the part timeout of an attempt while its frames are not read.
func (m *StateMachine) handleCallerSlow(ev CallerSlow) {
	r, ok := m.requests[ev.Request]
	if !ok || r.phase != phaseActive {
		return
	}
	r.isCallerSlow = ev.Slow
	m.resetPartTimeout(r.current)
}

// handleCallerDisconnected fails a request whose caller has disconnected. A request that
// holds its key and has a current attempt continues without its caller, so that its
// outcome is recorded for the key.
func (m *StateMachine) handleCallerDisconnected(id contract.RequestID) {
	r, ok := m.requests[id]
	if !ok || r.isDetached {
		return
	}
	if r.holdsKey && r.phase == phaseActive {
		r.isDetached = true
		return
	}
	m.failRequest(r, contract.ReasonCallerGone, 0)
}
