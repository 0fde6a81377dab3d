package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// handleNotRun handles an attempt that certainly has not run and never will.
func (m *StateMachine) handleNotRun(a *attempt, reason contract.Reason, retryAfter time.Duration) {
	a.result = contract.OutcomeNotRun
	m.endAttempt(a)
	m.excludeTarget(a, reason)
	m.retryOrFail(a, reason, retryAfter, contract.OutcomeNotRun)
}

// handleFailure handles an attempt that may have run and whose complete answer is not
// available.
func (m *StateMachine) handleFailure(a *attempt, reason contract.Reason) {
	r := a.request
	m.recordFault(a, reason)
	m.endAttempt(a)
	handover := reason == contract.ReasonTargetLeaving && r.isModel()
	if !handover && !r.Idempotent && m.disabled&disableIdempotence == 0 {
		m.failRequest(r, reason, 0)
		return
	}
	if reason == contract.ReasonWeightsChanged && r.deliveredTokens > 0 {
		m.failRequest(r, reason, 0)
		return
	}
	m.excludeTarget(a, reason)
	m.retryOrFail(a, reason, 0, contract.OutcomeUnknown)
}

// excludeTarget excludes a target for a request after an attempt there was refused or
// failed. After a refusal for lack of room or of the right weights, the exclusion lasts
// until the target reports again.
func (m *StateMachine) excludeTarget(a *attempt, reason contract.Reason) {
	e := exclusion{since: m.now, until: m.now.Add(exclusionTimeout)}
	switch reason {
	case contract.ReasonTargetFull, contract.ReasonColdStart, contract.ReasonNoWeights, contract.ReasonWeightsMismatch:
		e.endsOnReport = true
		e.until = m.now.Add(reportExclusionTimeout)
	}
	a.request.exclude(a.target, e)
}

// recordFault records a failure of the target if the reason indicates one.
func (m *StateMachine) recordFault(a *attempt, reason contract.Reason) {
	switch reason {
	case contract.ReasonBackendDown, contract.ReasonBackendError, contract.ReasonLinkDown:
		m.recordTargetFailure(a, ejection.Failed)
	case contract.ReasonLinkSilent:
		m.recordTargetFailure(a, ejection.Silent)
	}
}

func (m *StateMachine) recordTargetFailure(a *attempt, cause ejection.Cause) {
	if a.request.service.pool.Failed(m.now, a.target, cause) {
		m.count(CountEjection, contract.ReasonBackendDown)
	}
}

// endAttempt ends an attempt and closes its exchange.
func (m *StateMachine) endAttempt(a *attempt) {
	m.closeExchange(a)
	a.state = attemptEnded
	m.releaseAttempt(a)
}

// retryOrFail retries a request if that is allowed, and fails it otherwise.
func (m *StateMachine) retryOrFail(a *attempt, reason contract.Reason, retryAfter time.Duration, outcome contract.Outcome) {
	r := a.request
	switch {
	case !r.deadline.After(m.now):
		reason = contract.ReasonDeadline
	case reason.CallerFault() || r.failedAttempts >= MaxFailedAttempts || len(r.attempts) >= MaxTotalAttempts:
	case r.isDetached && outcome == contract.OutcomeUnknown:
	case m.isFreeRetry(a, reason):
		m.count(CountMove, reason)
		m.requeue(r)
		return
	case m.isLinkLost(a, reason):
		r.failedAttempts++
		m.count(CountMove, reason)
		m.requeue(r)
		return
	case !m.takeRetry(r):
		reason = contract.ReasonRetryBudget
	default:
		m.count(CountRetry, reason)
		m.requeue(r)
		return
	}
	m.failRequest(r, reason, retryAfter)
}

// isFreeRetry reports whether the reason why an attempt ended allows a retry that uses
// none of the retry budget. Refusals that follow a change of zones, hosts, settings or
// weights are limited in number by the change. A tombstone that the state machine itself
// requested means that the attempt was in transit or in the target's queue for a long
// time. After a refusal for lack of room, nothing ran and the request waits until a
// target reports room again. But if a target refuses for lack of room while its own load
// report shows room, it is not trusted and its refusals count as failures.
func (m *StateMachine) isFreeRetry(a *attempt, reason contract.Reason) bool {
	switch reason {
	case contract.ReasonZoneOut, contract.ReasonTargetLeaving, contract.ReasonShuttingDown,
		contract.ReasonStaleSettings, contract.ReasonWeightsMismatch, contract.ReasonNoWeights,
		contract.ReasonTombstone:
		return true
	case contract.ReasonColdStart, contract.ReasonTargetFull:
		return !a.request.service.pool.HasRoom(m.now, a.target)
	default:
		return false
	}
}

// isLinkLost reports whether an attempt was lost with the link to its target. When a
// target dies, all its attempts go to other targets, which must not use up the retry
// budget. Their number is bounded by the target's credits, and the target gets no new
// attempts while its link is down.
func (m *StateMachine) isLinkLost(a *attempt, reason contract.Reason) bool {
	if m.linked[a.target] || m.disabled&disableLossReroute != 0 {
		return false
	}
	return reason == contract.ReasonLinkDown || reason == contract.ReasonLinkSilent
}

// takeRetry withdraws a retry from the retry budget and reports whether the budget had
// one. It also counts the failed attempt.
func (m *StateMachine) takeRetry(r *request) bool {
	r.failedAttempts++
	return m.disabled&disableBudget != 0 || m.budget.TryAcquire(r.Service, r.Team)
}
