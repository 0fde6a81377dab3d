package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// broken goes on after an exchange that ended early.
func (m *StateMachine) broken(ev ExchangeBroken) {
	a, ok := m.exchanges[ev.Exchange]
	if !ok {
		return
	}
	if ev.Unsent && a.state == attemptSent {
		m.faultOf(a, ev.Reason)
		m.notRun(a, ev.Reason, 0)
		return
	}
	if a.state == attemptAsking {
		m.askLater(a, ev.Reason)
		return
	}
	m.ask(a)
}

// ask sends a question about an attempt, by which the target also refuses the
// attempt for good if it has not started.
func (m *StateMachine) ask(a *attempt) {
	if m.off&offQuestions != 0 {
		m.failed(a, contract.ReasonLinkDown)
		return
	}
	if _, listed := m.addresses[a.target]; !listed && a.state == attemptAsking {
		m.failed(a, contract.ReasonLinkDown)
		return
	}
	a.state = attemptAsking
	a.questions++
	m.attach(a)
	a.due = m.now.Add(QueryTimeout)
	m.timers.update(a.request)
	m.count(CountQuery, contract.ReasonLinkSilent)
	m.emit(SendQuery{
		Exchange:      a.exchange,
		Target:        a.target,
		Query:         m.query(a),
		NewConnection: a.questions > 1,
	})
}

func (m *StateMachine) query(a *attempt) contract.Query {
	return contract.Query{
		Attempt:           a.id,
		Tombstone:         true,
		Resend:            true,
		ResendFrom:        a.next,
		Age:               m.age(a),
		SentToIncarnation: a.incarnation,
	}
}

// age is how long ago an attempt was sent, never 0, which would mean not known.
func (m *StateMachine) age(a *attempt) time.Duration {
	return max(m.now.Sub(a.sentAt), time.Millisecond)
}

// askLater waits before the next question; work that may run twice is sent
// elsewhere instead if the retry budget allows, and after MaxQuestions the
// machine gives up.
func (m *StateMachine) askLater(a *attempt, reason contract.Reason) {
	r := a.request
	elsewhere := r.Idempotent && (m.isLost(a, reason) || m.budget.CanRetry(r.Service, r.Team))
	if elsewhere || a.questions >= MaxQueries {
		m.giveUpAttempt(a, reason)
		return
	}
	m.detach(a)
	a.due = m.now.Add(m.jitter(questionPause << (a.questions - 1)))
	m.timers.update(a.request)
}

// giveUpAttempt leaves an attempt whose end cannot be learned. The target is
// still told not to start it.
func (m *StateMachine) giveUpAttempt(a *attempt, reason contract.Reason) {
	m.detach(a)
	m.emit(SendQuery{
		Target:        a.target,
		Query:         contract.Query{Attempt: a.id, Tombstone: true, Age: m.age(a)},
		IgnoreReplies: true,
	})
	m.failed(a, reason)
}

// jitter spreads d over 0.5 to 1.5 times its length.
func (m *StateMachine) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.rng.Float64()))
}

// status goes on with what the target knows of an attempt.
func (m *StateMachine) status(a *attempt, s contract.Status) {
	if a.state == attemptRunning {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	a.questions = 0
	if !a.heard {
		a.heard = true
		a.request.service.pool.Acked(a.target)
	}
	switch s.State {
	case contract.AttemptNeverRan:
		m.neverRan(a, s)
	case contract.AttemptQueued:
		a.state = attemptSent
		a.due = m.now.Add(AcceptTimeout)
		m.timers.update(a.request)
	case contract.AttemptRunning:
		m.stillRunning(a)
	case contract.AttemptDone:
		a.state = attemptRunning
		a.due = m.now.Add(PartTimeout)
		m.timers.update(a.request)
	case contract.AttemptAnswerDropped:
		m.failed(a, contract.ReasonTruncatedAnswer)
	default:
		m.failed(a, orElse(s.Reason, contract.ReasonBackendDown))
	}
}

// neverRan trusts a tombstone unless the target itself said that it started
// the attempt, or another run of the target answers than the one that the
// attempt was sent to: a question that was long under way may reach a run that
// believes to be older than the attempt.
func (m *StateMachine) neverRan(a *attempt, s contract.Status) {
	other := a.incarnation != 0 && s.Incarnation != a.incarnation && m.off&offIncarnation == 0
	if a.started || other {
		m.count(CountIgnored, contract.ReasonBadFrame)
		m.failed(a, contract.ReasonBackendDown)
		return
	}
	m.notRun(a, orElse(s.Reason, contract.ReasonTombstone), 0)
}

// stillRunning waits on; a model engine that makes no progress is left.
func (m *StateMachine) stillRunning(a *attempt) {
	a.state = attemptRunning
	a.started = true
	a.stalls++
	if a.request.isModel() && a.stalls > MaxStalls && a.request.Idempotent {
		m.blame(a, ejection.Silent)
		m.cancel(a)
		m.failed(a, contract.ReasonBackendDown)
		return
	}
	m.expectPart(a)
}

func orElse(reason, other contract.Reason) contract.Reason {
	if reason == "" {
		return other
	}
	return reason
}
