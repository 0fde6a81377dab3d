package dispatch

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/balancer"
)

// received takes in a message of an exchange.
func (m *StateMachine) received(exchange uint64, msg contract.Message) {
	a, ok := m.exchanges[exchange]
	if !ok {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	id, ok := attemptOf(msg)
	if !ok || id != a.id && m.off&offCrossing == 0 {
		m.count(CountIgnored, contract.ReasonBadFrame)
		return
	}
	switch msg.Kind {
	case contract.KindAccept:
		m.accepted(a, *msg.Accept)
	case contract.KindRefuse:
		m.refused(a, *msg.Refuse)
	case contract.KindChunk:
		m.chunk(a, *msg.Chunk)
	case contract.KindEnd:
		m.ended(a, *msg.End)
	case contract.KindStatus:
		m.status(a, *msg.Status)
	}
}

// attemptOf returns the attempt that a message of a target is about.
func attemptOf(msg contract.Message) (id contract.AttemptID, ok bool) {
	if !msg.Consistent() {
		return id, false
	}
	switch msg.Kind {
	case contract.KindAccept:
		return msg.Accept.Attempt, true
	case contract.KindRefuse:
		return msg.Refuse.Attempt, true
	case contract.KindChunk:
		return msg.Chunk.Attempt, true
	case contract.KindEnd:
		return msg.End.Attempt, true
	case contract.KindStatus:
		return msg.Status.Attempt, true
	default:
		return id, false
	}
}

// hear records that the target answered an attempt, and its load.
func (m *StateMachine) hear(a *attempt, load contract.Load) {
	pool := a.request.service.pool
	if !a.heard {
		a.heard = true
		pool.Acked(a.target)
	}
	m.countFate(pool.Report(m.now, a.target, a.incarnation, load))
}

// countFate counts a report that was dropped.
func (m *StateMachine) countFate(fate balancer.ReportResult) {
	switch fate {
	case balancer.Outdated:
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
	case balancer.Unlisted:
		m.count(CountIgnored, contract.ReasonNoTarget)
	case balancer.Contradictory:
		m.count(CountIgnored, contract.ReasonBadFrame)
	}
}

func (m *StateMachine) accepted(a *attempt, accept contract.Accept) {
	m.hear(a, accept.Load)
	if a.started {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	a.started = true
	a.state = attemptRunning
	m.expectPart(a)
}

// expectPart sets when to ask about a running attempt that stays silent.
func (m *StateMachine) expectPart(a *attempt) {
	r := a.request
	if a.state != attemptRunning {
		return
	}
	timeout := PartTimeout
	if !a.answered {
		timeout = FirstPartTimeout
	}
	a.due = m.now.Add(timeout << min(a.stalls, MaxStalls))
	if r.slow {
		a.due = r.deadline
	}
	m.timers.update(r)
}

func (m *StateMachine) refused(a *attempt, refuse contract.Refuse) {
	m.hear(a, refuse.Load)
	if a.started {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		m.ask(a)
		return
	}
	if refuse.SettingsOffset > m.view.Offset() {
		m.emit(PullSettings{Target: a.target, AtLeast: refuse.SettingsOffset})
	}
	a.request.service.pool.Refused(a.target)
	m.notRun(a, refuse.Reason, refuse.RetryAfter)
}

// chunk checks a part of an answer and passes it on.
func (m *StateMachine) chunk(a *attempt, c contract.Chunk) {
	if m.off&offFrameOrder == 0 {
		if c.Seq < a.next {
			m.count(CountIgnored, contract.ReasonDuplicateAttempt)
			return
		}
		if c.Seq > a.next || c.At != m.position(a.request) {
			m.count(CountIgnored, contract.ReasonBadFrame)
			m.ask(a)
			return
		}
	}
	m.firstPart(a)
	a.next++
	a.length += uint64(len(c.Data))
	a.stalls = 0
	m.passOn(a, c)
}

// position is where the next part of the answer must begin.
func (m *StateMachine) position(r *request) uint64 {
	if r.isModel() {
		return r.at
	}
	return uint64(len(r.answer))
}

// firstPart records the delay to the first part of an answer.
func (m *StateMachine) firstPart(a *attempt) {
	a.state = attemptRunning
	a.started = true
	if a.answered {
		return
	}
	a.answered = true
	a.request.service.pool.Answered(m.now, a.target, m.now.Sub(a.sentAt))
}

func (m *StateMachine) passOn(a *attempt, c contract.Chunk) {
	r := a.request
	if !r.isModel() {
		if len(r.answer)+len(c.Data) > MaxAnswerBytes {
			m.giveUpAttempt(a, contract.ReasonBodyTooLarge)
			return
		}
		r.answer = append(r.answer, c.Data...)
		m.expectPart(a)
		return
	}
	r.pinned = a.weights
	if m.off&offPin != 0 {
		r.pinned = ""
	}
	r.at = c.At + 1
	m.emit(Deliver{Request: r.ID, At: c.At, Data: c.Data})
	m.expectPart(a)
}

// ended takes in the end of an answer.
func (m *StateMachine) ended(a *attempt, end contract.End) {
	m.hear(a, end.Load)
	if m.off&offTotals == 0 && (end.Frames != a.next || end.Length != a.length) {
		m.count(CountIgnored, contract.ReasonTruncatedAnswer)
		m.ask(a)
		return
	}
	switch end.Outcome {
	case contract.OutcomeDone:
		m.done(a, end)
	case contract.OutcomeNotRun:
		m.faultOf(a, end.Reason)
		m.notRun(a, end.Reason, 0)
	default:
		m.failed(a, end.Reason)
	}
}

func (m *StateMachine) done(a *attempt, end contract.End) {
	r := a.request
	m.firstPart(a)
	if m.off&offPin == 0 && r.isModel() && end.Weights != a.weights {
		m.failed(a, contract.ReasonWeightsChanged)
		return
	}
	a.result = contract.OutcomeDone
	f := Finish{Request: r.ID, Outcome: contract.OutcomeDone}
	if r.isModel() {
		f.Tokens = r.at
		f.Weights = end.Weights
	} else {
		f.Answer = &Answer{Status: end.Status, ContentType: end.ContentType, Body: r.answer}
	}
	m.conclude(r, f)
}
