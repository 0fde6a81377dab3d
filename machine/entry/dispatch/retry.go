package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// notRun goes on after an attempt that surely never runs.
func (m *StateMachine) notRun(a *attempt, reason contract.Reason, retryAfter time.Duration) {
	a.result = contract.OutcomeNotRun
	m.closeAttempt(a)
	m.leaveOut(a, reason)
	m.retryOr(a, reason, retryAfter, contract.OutcomeNotRun)
}

// failed goes on after an attempt that started and whose answer is lost, wholly
// or in part.
func (m *StateMachine) failed(a *attempt, reason contract.Reason) {
	r := a.request
	m.faultOf(a, reason)
	m.closeAttempt(a)
	handover := reason == contract.ReasonTargetLeaving && r.isModel()
	if !handover && !r.Idempotent && m.off&offIdempotence == 0 {
		m.finish(r, reason, 0)
		return
	}
	if reason == contract.ReasonWeightsChanged && r.at > 0 {
		m.finish(r, reason, 0)
		return
	}
	m.leaveOut(a, reason)
	m.retryOr(a, reason, 0, contract.OutcomeUnknown)
}

// leaveOut keeps a request from a target that refused or failed it: after a
// refusal for room until the target reports again.
func (m *StateMachine) leaveOut(a *attempt, reason contract.Reason) {
	e := exclusion{since: m.now, until: m.now.Add(leaveOutTime)}
	switch reason {
	case contract.ReasonTargetFull, contract.ReasonColdStart, contract.ReasonNoWeights, contract.ReasonWeightsMismatch:
		e.report = true
		e.until = m.now.Add(leaveOutUntilReport)
	}
	a.request.leaveOut(a.target, e)
}

// faultOf records a reason that tells against the target's health.
func (m *StateMachine) faultOf(a *attempt, reason contract.Reason) {
	switch reason {
	case contract.ReasonBackendDown, contract.ReasonBackendError, contract.ReasonLinkDown:
		m.blame(a, ejection.Failed)
	case contract.ReasonLinkSilent:
		m.blame(a, ejection.Silent)
	}
}

func (m *StateMachine) blame(a *attempt, cause ejection.Cause) {
	if a.request.service.pool.Failed(m.now, a.target, cause) {
		m.count(CountEjection, contract.ReasonBackendDown)
	}
}

// closeAttempt ends an attempt and its exchange.
func (m *StateMachine) closeAttempt(a *attempt) {
	m.detach(a)
	a.state = attemptEnded
	m.release(a)
}

// retryOr sends a request again if that is allowed, else ends it.
func (m *StateMachine) retryOr(a *attempt, reason contract.Reason, retryAfter time.Duration, last contract.Outcome) {
	r := a.request
	switch {
	case !r.deadline.After(m.now):
		reason = contract.ReasonDeadline
	case reason.CallerFault() || r.counted >= MaxFailedAttempts || len(r.attempts) >= MaxTotalAttempts:
	case r.detached && last == contract.OutcomeUnknown:
	case m.isMoved(a, reason):
		m.count(CountMove, reason)
		m.requeue(r)
		return
	case m.isLost(a, reason):
		r.counted++
		m.count(CountMove, reason)
		m.requeue(r)
		return
	case !m.mayRetry(r):
		reason = contract.ReasonRetryBudget
	default:
		m.count(CountRetry, reason)
		m.requeue(r)
		return
	}
	m.finish(r, reason, retryAfter)
}

// isMoved reports whether an attempt was refused in a way that costs no retry.
// Refusals that follow a change of zone, host, settings or weights are bounded
// by the change. A tombstone that the machine itself asked for means that the
// attempt was long on its way or in the target's queue. After a refusal for room
// nothing ran, and the request waits until a target shows room again; but a
// target that refuses for room while its own load shows room is not believed,
// and its refusals count as failures.
func (m *StateMachine) isMoved(a *attempt, reason contract.Reason) bool {
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

// isLost reports whether an attempt was lost with the link to its target. The
// end of a target moves what it held, which its credits bound, and must not use
// up the budget; no new work goes there while the link is down.
func (m *StateMachine) isLost(a *attempt, reason contract.Reason) bool {
	if m.up[a.target] || m.off&offLostMoves != 0 {
		return false
	}
	return reason == contract.ReasonLinkDown || reason == contract.ReasonLinkSilent
}

// mayRetry draws on the retry budget.
func (m *StateMachine) mayRetry(r *request) bool {
	r.counted++
	return m.off&offBudget != 0 || m.budget.TryAcquire(r.Service, r.Team)
}
