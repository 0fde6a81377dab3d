package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
)

// failRequest ends a request without a complete answer. estimate is the time until a
// target is expected to have room, or 0 if that is not known.
func (m *StateMachine) failRequest(r *request, reason contract.Reason, estimate time.Duration) {
	m.cancelCurrent(r)
	outcome := r.unfinishedOutcome()
	if m.disabled&disableOutcome != 0 {
		outcome = contract.OutcomeNotRun
	}
	m.count(CountRefusal, reason)
	m.finishRequest(r, Finish{
		Request:    r.ID,
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: m.safeRetryAfter(r, reason, outcome, estimate),
	})
}

// cancelCurrent cancels the current attempt of a request unless it has ended.
func (m *StateMachine) cancelCurrent(r *request) {
	if r.phase != phaseActive || r.current.state == attemptEnded {
		return
	}
	m.cancelAttempt(r.current)
}

// finishRequest ends a request with its final answer and resolves its key.
func (m *StateMachine) finishRequest(r *request, f Finish) {
	if r.phase == phaseActive {
		m.endAttempt(r.current)
	}
	f.Attempts = len(r.attempts)
	m.removeRequest(r)
	if r.holdsKey {
		m.emit(ResolveKey{Claim: r.claim(), Outcome: f.Outcome, Reason: f.Reason, Answer: f.Answer})
	}
	if !r.isDetached {
		m.emit(f)
	}
	m.scheduleQueue(r.service)
}

// removeRequest removes a request from the queue and from the state. The claim of a request
// in phaseClaiming is kept, so that a later decision can resolve the key.
func (m *StateMachine) removeRequest(r *request) {
	if _, ok := m.requests[r.ID]; !ok {
		return
	}
	if r.phase == phaseQueued {
		if r.service.queue.Remove(r.Team, r.ID) && r.pinnedDigest != "" {
			r.service.pinnedCount--
		}
	}
	if r.phase == phaseClaiming {
		m.orphanedClaims[r.ID] = r.claim()
	}
	m.timers.remove(r)
	delete(m.requests, r.ID)
}

// safeRetryAfter returns after how long the caller should retry, or 0 if a retry is of no
// use or could run the request twice.
func (m *StateMachine) safeRetryAfter(r *request, reason contract.Reason, outcome contract.Outcome, estimate time.Duration) time.Duration {
	if outcome == contract.OutcomeUnknown && !r.Idempotent && r.Key == "" {
		return 0
	}
	return m.retryAfter(r, reason, estimate)
}

// retryAfter returns after how long the caller should retry, or 0 if a retry is of no
// use.
func (m *StateMachine) retryAfter(r *request, reason contract.Reason, estimate time.Duration) time.Duration {
	if reason.CallerFault() || reason == contract.ReasonCallerGone {
		return 0
	}
	if r.service != nil {
		estimate = max(estimate, r.service.queue.EstimateWait(m.now, r.Team, r.item.Weight))
	}
	return retry.JitteredDelay(estimate, m.rng)
}

// runTimers handles all requests whose wake-up time has come.
func (m *StateMachine) runTimers() {
	for r := m.timers.due(m.now); r != nil; r = m.timers.due(m.now) {
		m.handleWake(r)
	}
}

func (m *StateMachine) handleWake(r *request) {
	if !r.deadline.After(m.now) {
		m.failRequest(r, contract.ReasonDeadline, 0)
		return
	}
	if r.phase == phaseQueued {
		m.failRequest(r, contract.ReasonQueueFull, 0)
		return
	}
	m.handleTimeout(r.current)
}

// handleTimeout handles an attempt whose target has not sent a message in time.
func (m *StateMachine) handleTimeout(a *attempt) {
	if a.state != attemptQuerying {
		m.sendQuery(a)
		return
	}
	if a.exchange == 0 {
		m.sendQuery(a)
		return
	}
	m.retryQuery(a, contract.ReasonLinkSilent)
}
