package activation

import "time"

// order is the last order that was sent.
type order struct {
	id         uint64
	sentAt     time.Duration
	deployment Deployment
	// mayTakeEffectUntil is until when the order may still take effect, 0 once its
	// reply showed the result. The process may have been paused before it sent the
	// order, so the time is counted from the last time at which it may be sent.
	mayTakeEffectUntil time.Duration
	// endedAt is when the reply arrived, or waiting for it stopped.
	endedAt time.Duration
	// refutableFrom is from when on a report that names another version shows that
	// the order had no effect.
	refutableFrom time.Duration
	// confirmed reports whether a report made after the order named its version.
	confirmed bool
}

// isSettled reports whether an engine that runs d's version needs no order: either none
// was sent, so that only the version is known, or the last one was confirmed and was for
// the same deployment.
func (o *order) isSettled(d Deployment) bool {
	return o.id == 0 || (o.confirmed && sameDeployment(o.deployment, d))
}

// sendOrder orders the engine to run the desired deployment.
func (m *StateMachine) sendOrder() {
	notAfter := m.lease.expiresAt - m.cfg.OrderTimeout
	m.order = order{id: m.order.id + 1, sentAt: m.now, deployment: m.desired, mayTakeEffectUntil: m.lease.expiresAt}
	m.phase = phaseOrdering
	if !m.isEnabled(mechLeaseCheck) {
		notAfter = never
	}
	m.emit(SendOrder{
		ID: m.order.id, Fence: fenceOf(m.lease.own), Deployment: m.desired,
		NotAfter: notAfter, Timeout: m.cfg.OrderTimeout,
	})
}

func (m *StateMachine) handleOrderEnded(e OrderEnded) {
	if e.ID != m.order.id {
		return
	}
	m.order.endedAt = m.now
	m.order.refutableFrom = m.now + m.cfg.OrderTimeout
	m.order.mayTakeEffectUntil = 0
	if e.Result == ResultUncertain {
		m.order.mayTakeEffectUntil = m.order.refutableFrom
	}
	if m.phase != phaseOrdering {
		return
	}
	switch e.Result {
	case ResultDone:
		m.phase = phaseConfirming
		if !m.isEnabled(mechConfirm) {
			m.confirm()
		}
	case ResultUncertain:
		m.note(NoteOrderUncertain)
		m.phase = phaseResolving
		if !m.isEnabled(mechResolve) {
			m.retryOrder(NoteOrderWithoutEffect)
		}
	case ResultFenced:
		m.lease.expiresAt = 0
		m.retryOrder(NoteOrderFenced)
	case ResultIncomplete:
		m.staged = ""
		m.restart(NoteIncomplete)
	case ResultExpired:
		m.retryOrder(NoteLeaseLapsed)
	default:
		m.retryOrder(NoteEngineDown)
	}
}

// retryOrder orders again after a delay, as the previous order had no effect.
func (m *StateMachine) retryOrder(reason NoteKind) {
	if !sameDeployment(m.order.deployment, m.desired) {
		m.restart(reason)
		return
	}
	m.phase = phaseFencing
	m.recordFailure(reason)
	if m.attempts >= m.cfg.MaxAttempts {
		m.releaseTurn()
	}
}

// restart starts over with the deployment desired now.
func (m *StateMachine) restart(reason NoteKind) {
	m.recordFailure(reason)
	m.releaseTurn()
}

// releaseTurn opens the gate for the version that the engine still runs.
func (m *StateMachine) releaseTurn() {
	m.reopen()
	m.granted = ""
	m.phase = phaseIdle
}

// confirm accepts the ordered version as active.
func (m *StateMachine) confirm() {
	m.order.confirmed = true
	m.drained = false
	m.attempts, m.failures = 0, 0
	m.phase = phaseActive
	m.emitActive(m.order.deployment.Version)
	if !sameDeployment(m.order.deployment, m.desired) {
		m.phase = phaseIdle
	}
}
