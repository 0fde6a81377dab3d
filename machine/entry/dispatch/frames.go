package dispatch

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/balancer"
)

// handleMessage handles a message that arrived on an exchange.
func (m *StateMachine) handleMessage(exchange uint64, msg contract.Message) {
	a, ok := m.exchanges[exchange]
	if !ok {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	id, ok := attemptOf(msg)
	if !ok || id != a.id && m.disabled&disableAttemptMatch == 0 {
		m.count(CountIgnored, contract.ReasonBadFrame)
		return
	}
	switch msg.Kind {
	case contract.KindAccept:
		m.handleAccept(a, *msg.Accept)
	case contract.KindRefuse:
		m.handleRefuse(a, *msg.Refuse)
	case contract.KindChunk:
		m.handleChunk(a, *msg.Chunk)
	case contract.KindEnd:
		m.handleEnd(a, *msg.End)
	case contract.KindStatus:
		m.handleStatus(a, *msg.Status)
	}
}

// attemptOf returns the attempt that a message from a target is about. ok is false if the
// message is inconsistent or of a kind that targets do not send on an exchange.
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

// recordReply records that the target replied to an attempt, and the load that it
// reported.
func (m *StateMachine) recordReply(a *attempt, load contract.Load) {
	pool := a.request.service.pool
	if !a.isAcked {
		a.isAcked = true
		pool.Acked(a.target)
	}
	m.countDroppedReport(pool.Report(m.now, a.target, a.incarnation, load))
}

// countDroppedReport counts a load report that was dropped.
func (m *StateMachine) countDroppedReport(result balancer.ReportResult) {
	switch result {
	case balancer.Outdated:
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
	case balancer.Unlisted:
		m.count(CountIgnored, contract.ReasonNoTarget)
	case balancer.Contradictory:
		m.count(CountIgnored, contract.ReasonBadFrame)
	}
}

func (m *StateMachine) handleAccept(a *attempt, accept contract.Accept) {
	m.recordReply(a, accept.Load)
	if a.hasStarted {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		return
	}
	a.hasStarted = true
	a.state = attemptRunning
	m.resetPartTimeout(a)
}

// resetPartTimeout sets the time at which the target is queried about a running attempt
// if it stays silent. The timeout doubles with each query that found no progress, at most
// MaxStalls times. While the caller is slow, the time is the deadline.
func (m *StateMachine) resetPartTimeout(a *attempt) {
	r := a.request
	if a.state != attemptRunning {
		return
	}
	timeout := PartTimeout
	if !a.hasFirstPart {
		timeout = FirstPartTimeout
	}
	a.timeoutAt = m.now.Add(timeout << min(a.stalls, MaxStalls))
	if r.isCallerSlow {
		a.timeoutAt = r.deadline
	}
	m.timers.update(r)
}

func (m *StateMachine) handleRefuse(a *attempt, refuse contract.Refuse) {
	m.recordReply(a, refuse.Load)
	if a.hasStarted {
		m.count(CountIgnored, contract.ReasonDuplicateAttempt)
		m.sendQuery(a)
		return
	}
	if refuse.SettingsOffset > m.view.Offset() {
		m.emit(PullSettings{Target: a.target, AtLeast: refuse.SettingsOffset})
	}
	a.request.service.pool.Refused(a.target)
	m.handleNotRun(a, refuse.Reason, refuse.RetryAfter)
}

// handleChunk checks a part of an answer and forwards it.
func (m *StateMachine) handleChunk(a *attempt, c contract.Chunk) {
	if m.disabled&disableFrameOrder == 0 {
		if c.Seq < a.nextSeq {
			m.count(CountIgnored, contract.ReasonDuplicateAttempt)
			return
		}
		if c.Seq > a.nextSeq || c.At != m.nextPosition(a.request) {
			m.count(CountIgnored, contract.ReasonBadFrame)
			m.sendQuery(a)
			return
		}
	}
	m.recordPart(a)
	a.nextSeq++
	a.receivedBytes += uint64(len(c.Data))
	a.stalls = 0
	m.forwardPart(a, c)
}

// nextPosition returns where the next part of the answer must begin, in tokens for a
// model and in bytes for a plain service.
func (m *StateMachine) nextPosition(r *request) uint64 {
	if r.isModel() {
		return r.deliveredTokens
	}
	return uint64(len(r.answerBody))
}

// recordPart records that a part or the end of the answer arrived, and the delay to the
// first of them.
func (m *StateMachine) recordPart(a *attempt) {
	a.state = attemptRunning
	a.hasStarted = true
	if a.hasFirstPart {
		return
	}
	a.hasFirstPart = true
	a.request.service.pool.Answered(m.now, a.target, m.now.Sub(a.sentAt))
}

func (m *StateMachine) forwardPart(a *attempt, c contract.Chunk) {
	r := a.request
	if !r.isModel() {
		if len(r.answerBody)+len(c.Data) > MaxAnswerBytes {
			m.abandonAttempt(a, contract.ReasonBodyTooLarge)
			return
		}
		r.answerBody = append(r.answerBody, c.Data...)
		m.resetPartTimeout(a)
		return
	}
	r.pinnedDigest = a.weights
	if m.disabled&disablePin != 0 {
		r.pinnedDigest = ""
	}
	r.deliveredTokens = c.At + 1
	m.emit(Deliver{Request: r.ID, At: c.At, Data: c.Data})
	m.resetPartTimeout(a)
}

// handleEnd handles the end of an answer.
func (m *StateMachine) handleEnd(a *attempt, end contract.End) {
	m.recordReply(a, end.Load)
	if m.disabled&disableTotals == 0 && (end.Frames != a.nextSeq || end.Length != a.receivedBytes) {
		m.count(CountIgnored, contract.ReasonTruncatedAnswer)
		m.sendQuery(a)
		return
	}
	switch end.Outcome {
	case contract.OutcomeDone:
		m.handleDone(a, end)
	case contract.OutcomeNotRun:
		m.recordFault(a, end.Reason)
		m.handleNotRun(a, end.Reason, 0)
	default:
		m.handleFailure(a, end.Reason)
	}
}

func (m *StateMachine) handleDone(a *attempt, end contract.End) {
	r := a.request
	m.recordPart(a)
	if m.disabled&disablePin == 0 && r.isModel() && end.Weights != a.weights {
		m.handleFailure(a, contract.ReasonWeightsChanged)
		return
	}
	a.result = contract.OutcomeDone
	f := Finish{Request: r.ID, Outcome: contract.OutcomeDone}
	if r.isModel() {
		f.Tokens = r.deliveredTokens
		f.Weights = end.Weights
	} else {
		f.Answer = &Answer{Status: end.Status, ContentType: end.ContentType, Body: r.answerBody}
	}
	m.finishRequest(r, f)
}
