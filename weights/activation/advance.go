package activation

// advance moves the wanted version on as far as it can go now.
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
		return m.begin()
	case phaseHolding:
		return m.stage()
	case phaseFencing:
		return m.fence()
	case phaseLeaseWait:
		return m.leaseWaited()
	case phaseTurn:
		return m.takeTurn()
	default:
		return false
	}
}

func (m *StateMachine) begin() bool {
	if m.want.Version == "" || !m.engine.known {
		return false
	}
	if m.engine.digest == m.want.Version && m.order.settled(m.want) {
		m.phase = phaseActive
		return true
	}
	m.phase = phaseHolding
	return true
}

// stage asks for staging once the version is whole.
func (m *StateMachine) stage() bool {
	if m.on(mechWhole) && !m.held[m.want.Version] {
		return false
	}
	if m.staged == m.want.Version {
		m.phase = phaseFencing
		return true
	}
	m.phase = phaseStaging
	m.emit(Stage{Version: m.want.Version})
	return false
}

func (m *StateMachine) stageEnded(e StageEnded) {
	if m.phase != phaseStaging || e.Version != m.want.Version {
		return
	}
	m.phase = phaseHolding
	switch e.Result {
	case ResultDone:
		m.staged = e.Version
	case ResultCorrupt:
		m.fail(NoteCorrupt)
	case ResultIncomplete:
		m.fail(NoteIncomplete)
	default:
		m.note(NoteEngineDown)
		m.backOff()
	}
}

func (m *StateMachine) turn(e TurnChanged) {
	if e.Version != m.want.Version {
		return
	}
	if e.Granted {
		m.granted = e.Version
		return
	}
	m.granted = ""
	if m.phase == phaseDraining || (m.drained && !m.ordering()) {
		m.giveBack()
	}
}

// ordering reports whether an order is out whose effect is not known.
func (m *StateMachine) ordering() bool {
	return m.phase == phaseOrdering || m.phase == phaseResolving || m.phase == phaseConfirming
}

// ready reports whether nothing but the lease is missing for an order. An
// engine without weights has nothing to drain.
func (m *StateMachine) ready() bool {
	if m.granted != m.want.Version {
		return false
	}
	return m.engine.digest == "" || m.drained || !m.on(mechDrain)
}

// takeTurn closes the gate when the roll-out allows the change.
func (m *StateMachine) takeTurn() bool {
	if m.granted != m.want.Version {
		return false
	}
	if m.ready() {
		m.phase = phaseLeaseWait
		return true
	}
	m.phase = phaseDraining
	m.emit(Drain{})
	return false
}

func (m *StateMachine) drainEnded() {
	if m.phase == phaseDraining {
		m.drained = true
		m.phase = phaseLeaseWait
	}
}
