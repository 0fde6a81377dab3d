package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// notRun goes on after an attempt that surely never runs.
func (m *Machine) notRun(a *attempt, reason contract.Reason, retryAfter time.Duration) {
	r := a.request
	a.result = contract.OutcomeNotRun
	m.closeAttempt(a)
	r.leaveOut(a.target, m.now.Add(max(leaveOutTime, min(retryAfter, time.Second))))
	m.retryOr(r, reason, retryAfter, contract.OutcomeNotRun)
}

// failed goes on after an attempt that started and whose answer is lost, wholly
// or in part.
func (m *Machine) failed(a *attempt, reason contract.Reason) {
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
	r.leaveOut(a.target, m.now.Add(leaveOutTime))
	m.retryOr(r, reason, 0, contract.OutcomeUnknown)
}

// faultOf records a reason that tells against the target's health.
func (m *Machine) faultOf(a *attempt, reason contract.Reason) {
	switch reason {
	case contract.ReasonBackendDown, contract.ReasonBackendError, contract.ReasonLinkDown:
		m.blame(a, ejection.Failed)
	case contract.ReasonLinkSilent:
		m.blame(a, ejection.Silent)
	}
}

func (m *Machine) blame(a *attempt, cause ejection.Cause) {
	if a.request.service.pool.Failed(m.now, a.target, cause) {
		m.count(CountEjection, contract.ReasonBackendDown)
	}
}

// closeAttempt ends an attempt and its exchange.
func (m *Machine) closeAttempt(a *attempt) {
	m.detach(a)
	a.state = attemptEnded
	m.release(a)
}

// retryOr sends a request again if that is allowed, else ends it.
func (m *Machine) retryOr(r *request, reason contract.Reason, retryAfter time.Duration, last contract.Outcome) {
	switch {
	case !r.deadline.After(m.now):
		reason = contract.ReasonDeadline
	case reason.CallerFault() || r.isExhausted():
	case r.detached && last == contract.OutcomeUnknown:
	case !m.mayRetry(r, reason):
		reason = contract.ReasonRetryBudget
	default:
		m.count(CountRetry, reason)
		m.requeue(r)
		return
	}
	m.finish(r, reason, retryAfter)
}

// mayRetry draws on the retry budget. Refusals that follow a change of zone,
// host, settings or weights are bounded by the change and need no budget. So are
// refusals for room: nothing ran, the target's load comes with the refusal, and
// the request waits in its queue until a target shows room again.
func (m *Machine) mayRetry(r *request, reason contract.Reason) bool {
	switch reason {
	case contract.ReasonZoneOut, contract.ReasonTargetLeaving, contract.ReasonShuttingDown,
		contract.ReasonStaleSettings, contract.ReasonWeightsMismatch, contract.ReasonNoWeights,
		contract.ReasonColdStart, contract.ReasonTargetFull:
		return true
	}
	return m.off&offBudget != 0 || m.budget.Take(r.Service, r.Team)
}
