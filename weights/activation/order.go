package activation

import "time"

// order is the last order that was sent.
type order struct {
	id   uint64
	sent time.Duration
	what Deployment
	// openTill is until when the order may still take effect, 0 once its reply
	// told what became of it. The process may have been paused before it sent
	// the order, so the time is counted from the last moment of sending.
	openTill time.Duration
	// ended is when the reply arrived, or was given up.
	ended time.Duration
	// refuteAt is from when on a report that names another version tells that
	// the order had no effect.
	refuteAt time.Duration
	// confirmed tells that a report made after the order named its version.
	confirmed bool
}

// settled reports whether an engine that runs d's version needs no order: none
// was sent, so only the version is known, or the last one asked for the same.
func (o *order) settled(d Deployment) bool {
	return o.id == 0 || (o.confirmed && sameDeployment(o.what, d))
}

func (m *StateMachine) sendOrder() {
	notAfter := m.lease.until - m.cfg.OrderTimeout
	m.order = order{id: m.order.id + 1, sent: m.now, what: m.want, openTill: m.lease.until}
	m.phase = phaseOrdering
	if !m.on(mechLeaseCheck) {
		notAfter = never
	}
	m.emit(SendOrder{
		ID: m.order.id, Fence: fenceOf(m.lease.own), Deployment: m.want,
		NotAfter: notAfter, Timeout: m.cfg.OrderTimeout,
	})
}

func (m *StateMachine) orderEnded(e OrderEnded) {
	if e.ID != m.order.id {
		return
	}
	m.order.ended = m.now
	m.order.refuteAt = m.now + m.cfg.OrderTimeout
	m.order.openTill = 0
	if e.Result == ResultUncertain {
		m.order.openTill = m.order.refuteAt
	}
	if m.phase != phaseOrdering {
		return
	}
	switch e.Result {
	case ResultDone:
		m.phase = phaseConfirming
		if !m.on(mechConfirm) {
			m.confirm()
		}
	case ResultUncertain:
		m.note(NoteOrderUncertain)
		m.phase = phaseResolving
		if !m.on(mechResolve) {
			m.retryOrder(NoteOrderWithoutEffect)
		}
	case ResultFenced:
		m.lease.until = 0
		m.retryOrder(NoteOrderFenced)
	case ResultIncomplete:
		m.staged = ""
		m.abandon(NoteIncomplete)
	case ResultExpired:
		m.retryOrder(NoteLeaseLapsed)
	default:
		m.retryOrder(NoteEngineDown)
	}
}

// retryOrder orders again after a while; the order before had no effect.
func (m *StateMachine) retryOrder(reason NoteKind) {
	if !sameDeployment(m.order.what, m.want) {
		m.abandon(reason)
		return
	}
	m.phase = phaseFencing
	m.fail(reason)
	if m.tries >= m.cfg.MaxAttempts {
		m.giveBack()
	}
}

// abandon starts over with what is wanted now.
func (m *StateMachine) abandon(reason NoteKind) {
	m.fail(reason)
	m.giveBack()
}

// giveBack opens the gate for the version that the engine still runs.
func (m *StateMachine) giveBack() {
	m.reopen()
	m.granted = ""
	m.phase = phaseIdle
}

// confirm accepts the ordered version as active.
func (m *StateMachine) confirm() {
	m.order.confirmed = true
	m.drained = false
	m.tries, m.strikes = 0, 0
	m.phase = phaseActive
	m.tellActive(m.order.what.Version)
	if !sameDeployment(m.order.what, m.want) {
		m.phase = phaseIdle
	}
}
