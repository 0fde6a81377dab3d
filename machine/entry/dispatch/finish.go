package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
)

// finish ends a request without a whole answer. estimate is when room is
// expected; 0 if that is not known.
func (m *StateMachine) finish(r *request, reason contract.Reason, estimate time.Duration) {
	m.cancelOpen(r)
	outcome := r.outcome()
	if m.off&offOutcome != 0 {
		outcome = contract.OutcomeNotRun
	}
	m.count(CountRefusal, reason)
	m.conclude(r, Finish{
		Request:    r.ID,
		Outcome:    outcome,
		Reason:     reason,
		RetryAfter: m.retryAfterOutcome(r, reason, outcome, estimate),
	})
}

// cancelOpen stops the current attempt of a request that nobody waits for.
func (m *StateMachine) cancelOpen(r *request) {
	if r.phase != phaseActive || r.current.state == attemptEnded {
		return
	}
	m.cancel(r.current)
}

// conclude gives the final answer, resolves the key and forgets the request.
func (m *StateMachine) conclude(r *request, f Finish) {
	if r.phase == phaseActive {
		m.closeAttempt(r.current)
	}
	f.Attempts = len(r.attempts)
	m.drop(r)
	if r.claimed {
		m.emit(ResolveKey{Claim: r.claim(), Outcome: f.Outcome, Reason: f.Reason, Answer: f.Answer})
	}
	if !r.detached {
		m.emit(f)
	}
	m.pump(r.service)
}

// drop forgets a request.
func (m *StateMachine) drop(r *request) {
	if _, ok := m.requests[r.ID]; !ok {
		return
	}
	if r.phase == phaseQueued {
		if r.service.queue.Remove(r.Team, r.ID) && r.pinned != "" {
			r.service.pinned--
		}
	}
	if r.phase == phaseClaiming {
		m.orphans[r.ID] = r.claim()
	}
	m.timers.remove(r)
	delete(m.requests, r.ID)
}

// retryAfterOutcome leaves the time out where sending the request again could
// run it twice.
func (m *StateMachine) retryAfterOutcome(r *request, reason contract.Reason, outcome contract.Outcome, estimate time.Duration) time.Duration {
	if outcome == contract.OutcomeUnknown && !r.Idempotent && r.Key == "" {
		return 0
	}
	return m.retryAfter(r, reason, estimate)
}

// retryAfter is when the caller should come back, 0 if that is of no use.
func (m *StateMachine) retryAfter(r *request, reason contract.Reason, estimate time.Duration) time.Duration {
	if reason.CallerFault() || reason == contract.ReasonCallerGone {
		return 0
	}
	if r.service != nil {
		estimate = max(estimate, r.service.queue.EstimateWait(m.now, r.Team, r.item.Weight))
	}
	return retry.JitteredDelay(estimate, m.rng)
}

// expire acts on the requests whose wake-up has come.
func (m *StateMachine) expire() {
	for r := m.timers.due(m.now); r != nil; r = m.timers.due(m.now) {
		m.wakeUp(r)
	}
}

func (m *StateMachine) wakeUp(r *request) {
	if !r.deadline.After(m.now) {
		m.finish(r, contract.ReasonDeadline, 0)
		return
	}
	if r.phase == phaseQueued {
		m.finish(r, contract.ReasonQueueFull, 0)
		return
	}
	m.overdue(r.current)
}

// overdue acts on an attempt of which nothing was heard in time.
func (m *StateMachine) overdue(a *attempt) {
	if a.state != attemptAsking {
		m.ask(a)
		return
	}
	if a.exchange == 0 {
		m.ask(a)
		return
	}
	m.askLater(a, contract.ReasonLinkSilent)
}
