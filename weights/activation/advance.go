package activation

// advance moves the desired version through as many phases as it can now.
func (m *StateMachine) advance() {
	for m.advanceOnce() {
	}
}

// advanceOnce moves on by one phase and reports whether it did.
func (m *StateMachine) advanceOnce() bool {
	if m.retryAt != never {
		if m.now < m.retryAt {
			return false
		}
		m.retryAt = never
	}
	switch m.phase {
	case phaseIdle:
		return m.startChange()
	case phaseFetching:
		return m.startStaging()
	case phaseFencing:
		return m.acquireLease()
	case phaseLeaseWait:
		return m.finishLeaseWait()
	case phaseAwaitingTurn:
		return m.useTurn()
	default:
		return false
	}
}

// startChange starts the change to the desired version once a report of the engine is
// known, or finds that none is needed.
func (m *StateMachine) startChange() bool {
	if m.desired.Version == "" || !m.engine.known {
		return false
	}
	if m.engine.digest == m.desired.Version && m.order.isSettled(m.desired) {
		m.phase = phaseActive
		return true
	}
	m.phase = phaseFetching
	return true
}

// startStaging stages the desired version once all its chunks are verified.
func (m *StateMachine) startStaging() bool {
	if m.isEnabled(mechComplete) && !m.verified[m.desired.Version] {
		return false
	}
	if m.staged == m.desired.Version {
		m.phase = phaseFencing
		return true
	}
	m.phase = phaseStaging
	m.emit(Stage{Version: m.desired.Version})
	return false
}

func (m *StateMachine) handleStageEnded(e StageEnded) {
	if m.phase != phaseStaging || e.Version != m.desired.Version {
		return
	}
	m.phase = phaseFetching
	switch e.Result {
	case ResultDone:
		m.staged = e.Version
	case ResultCorrupt:
		m.recordFailure(NoteCorrupt)
	case ResultIncomplete:
		m.recordFailure(NoteIncomplete)
	default:
		m.note(NoteEngineDown)
		m.backOff()
	}
}

// handleTurnChanged records a granted turn. When the turn is withdrawn, a gate that was
// closed for it opens again, unless an order is pending.
func (m *StateMachine) handleTurnChanged(e TurnChanged) {
	if e.Version != m.desired.Version {
		return
	}
	if e.Granted {
		m.granted = e.Version
		return
	}
	m.granted = ""
	if m.phase == phaseDraining || (m.drained && !m.hasPendingOrder()) {
		m.releaseTurn()
	}
}

// hasPendingOrder reports whether an order was sent whose effect is not known.
func (m *StateMachine) hasPendingOrder() bool {
	return m.phase == phaseOrdering || m.phase == phaseResolving || m.phase == phaseConfirming
}

// isReadyToOrder reports whether nothing but the lease is missing for an order. An
// engine without weights has nothing to drain.
func (m *StateMachine) isReadyToOrder() bool {
	if m.granted != m.desired.Version {
		return false
	}
	return m.engine.digest == "" || m.drained || !m.isEnabled(mechDrain)
}

// useTurn closes the gate, if that is needed, when the roll-out allows the change.
func (m *StateMachine) useTurn() bool {
	if m.granted != m.desired.Version {
		return false
	}
	if m.isReadyToOrder() {
		m.phase = phaseLeaseWait
		return true
	}
	m.phase = phaseDraining
	m.emit(Drain{})
	return false
}

func (m *StateMachine) handleDrained() {
	if m.phase == phaseDraining {
		m.drained = true
		m.phase = phaseLeaseWait
	}
}
