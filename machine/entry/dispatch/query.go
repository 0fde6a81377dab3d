package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// handleBrokenExchange handles an exchange that ended early.
func (m *StateMachine) handleBrokenExchange(ev ExchangeBroken) {
	a, ok := m.exchanges[ev.Exchange]
	if !ok {
		return
	}
	if ev.Unsent && a.state == attemptSent {
		m.recordFault(a, ev.Reason)
		m.handleNotRun(a, ev.Reason, 0)
		return
	}
	if a.state == attemptQuerying {
		m.retryQuery(a, ev.Reason)
		return
	}
	m.sendQuery(a)
}

// sendQuery queries the target about an attempt. By the query, the target also refuses
// the attempt permanently if it has not started.
func (m *StateMachine) sendQuery(a *attempt) {
	if m.disabled&disableQueries != 0 {
		m.handleFailure(a, contract.ReasonLinkDown)
		return
	}
	if _, listed := m.addresses[a.target]; !listed && a.state == attemptQuerying {
		m.handleFailure(a, contract.ReasonLinkDown)
		return
	}
	a.state = attemptQuerying
	a.unansweredQueries++
	m.openExchange(a)
	a.timeoutAt = m.now.Add(QueryTimeout)
	m.timers.update(a.request)
	m.count(CountQuery, contract.ReasonLinkSilent)
	m.emit(SendQuery{
		Exchange:      a.exchange,
		Target:        a.target,
		Query:         m.newQuery(a),
		NewConnection: a.unansweredQueries > 1,
	})
}

func (m *StateMachine) newQuery(a *attempt) contract.Query {
	return contract.Query{
		Attempt:           a.id,
		Tombstone:         true,
		Resend:            true,
		ResendFrom:        a.nextSeq,
		Age:               m.attemptAge(a),
		SentToIncarnation: a.incarnation,
	}
}

// attemptAge returns how long ago an attempt was sent. It is never 0, which would mean
// that the age is not known.
func (m *StateMachine) attemptAge(a *attempt) time.Duration {
	return max(m.now.Sub(a.sentAt), time.Millisecond)
}

// retryQuery schedules the next query after one without a reply. The attempt is abandoned
// instead after MaxQueries, or if the request is idempotent and may be sent to another
// target: the link to this one is down, or the retry budget allows it.
func (m *StateMachine) retryQuery(a *attempt, reason contract.Reason) {
	r := a.request
	canRetryElsewhere := r.Idempotent && (m.isLinkLost(a, reason) || m.budget.CanRetry(r.Service, r.Team))
	if canRetryElsewhere || a.unansweredQueries >= MaxQueries {
		m.abandonAttempt(a, reason)
		return
	}
	m.closeExchange(a)
	a.timeoutAt = m.now.Add(m.jitter(queryRetryDelay << (a.unansweredQueries - 1)))
	m.timers.update(a.request)
}

// abandonAttempt abandons an attempt whose result cannot be obtained, or whose answer is
// too large. It still sends the target a tombstone, so that the attempt does not start
// later.
func (m *StateMachine) abandonAttempt(a *attempt, reason contract.Reason) {
	m.closeExchange(a)
	m.emit(SendQuery{
		Target:        a.target,
		Query:         contract.Query{Attempt: a.id, Tombstone: true, Age: m.attemptAge(a)},
		IgnoreReplies: true,
	})
	m.handleFailure(a, reason)
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.rng.Float64()))
}

// handleStatus continues an attempt according to the state that the target reports.
func (m *StateMachine) handleStatus(a *attempt, s contract.Status) {
	if a.state == attemptRunning {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	a.unansweredQueries = 0
	if !a.isAcked {
		a.isAcked = true
		a.request.service.pool.Acked(a.target)
	}
	switch s.State {
	case contract.AttemptNeverRan:
		m.handleNeverRan(a, s)
	case contract.AttemptQueued:
		a.state = attemptSent
		a.timeoutAt = m.now.Add(AcceptTimeout)
		m.timers.update(a.request)
	case contract.AttemptRunning:
		m.handleStillRunning(a)
	case contract.AttemptDone:
		a.state = attemptRunning
		a.timeoutAt = m.now.Add(PartTimeout)
		m.timers.update(a.request)
	case contract.AttemptAnswerDropped:
		m.handleFailure(a, contract.ReasonTruncatedAnswer)
	default:
		m.handleFailure(a, reasonOr(s.Reason, contract.ReasonBackendDown))
	}
}

// handleNeverRan handles the report that the target holds a tombstone. The report is not
// trusted if the target itself reported before that it started the attempt, or if it
// comes from another incarnation of the target than the one that the attempt was sent to:
// a query that was long in transit may reach an incarnation that takes itself to be older
// than the attempt.
func (m *StateMachine) handleNeverRan(a *attempt, s contract.Status) {
	isOtherIncarnation := a.incarnation != 0 && s.Incarnation != a.incarnation && m.disabled&disableIncarnation == 0
	if a.hasStarted || isOtherIncarnation {
		m.count(CountIgnored, contract.ReasonBadFrame)
		m.handleFailure(a, contract.ReasonBackendDown)
		return
	}
	m.handleNotRun(a, reasonOr(s.Reason, contract.ReasonTombstone), 0)
}

// handleStillRunning keeps waiting for an attempt that is running. An idempotent model
// request leaves the target after more than MaxStalls queries without progress.
func (m *StateMachine) handleStillRunning(a *attempt) {
	a.state = attemptRunning
	a.hasStarted = true
	a.stalls++
	if a.request.isModel() && a.stalls > MaxStalls && a.request.Idempotent {
		m.recordTargetFailure(a, ejection.Silent)
		m.cancelAttempt(a)
		m.handleFailure(a, contract.ReasonBackendDown)
		return
	}
	m.resetPartTimeout(a)
}

func reasonOr(reason, fallback contract.Reason) contract.Reason {
	if reason == "" {
		return fallback
	}
	return reason
}
