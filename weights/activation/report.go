package activation

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

func fenceOf(o contract.Offset) contract.Fence { return contract.Fence(o) }

func (m *StateMachine) reportReceived(r Report) {
	made := m.now - r.Age
	if m.outOfDate(r, made) {
		m.note(NoteStaleReport)
		return
	}
	if m.engine.known && r.Boot != m.engine.boot {
		m.rebooted()
	}
	m.engine.known = true
	m.engine.boot, m.engine.seq, m.engine.digest = r.Boot, r.Seq, r.Digest
	m.engine.fencing, m.engine.at = r.Fencing, made
	m.judge()
}

// outOfDate reports whether a newer report than r was seen before.
func (m *StateMachine) outOfDate(r Report, made time.Duration) bool {
	if !m.engine.known {
		return false
	}
	if r.Boot == m.engine.boot {
		return r.Seq < m.engine.seq
	}
	return made < m.engine.at
}

// rebooted voids what the engine's former process was told.
func (m *StateMachine) rebooted() {
	m.note(NoteEngineRestarted)
	m.staged = ""
	m.order.confirmed = false
	if m.drained || m.phase == phaseDraining {
		m.drained, m.engine.toldAny = false, false
	}
	if m.phase != phaseSuperseded {
		m.phase = phaseIdle
	}
}

// judge compares the newest report with the order and with what was told.
func (m *StateMachine) judge() {
	switch {
	case m.ordering():
		m.judgeOrder()
	case m.phase == phaseActive && m.engine.digest != m.want.Version:
		m.phase = phaseIdle
		m.tellChange()
	default:
		m.tellChange()
	}
}

// judgeOrder confirms or refutes the last order by the newest report.
func (m *StateMachine) judgeOrder() {
	if m.engine.at < m.order.sent {
		return
	}
	if m.engine.digest == m.order.what.Version && m.phase != phaseOrdering {
		m.confirm()
		return
	}
	if m.phase != phaseOrdering && m.engine.at >= m.order.refuteAt {
		m.retryOrder(NoteOrderWithoutEffect)
	}
}

// tellChange tells the gate when the engine runs another version than it knows.
func (m *StateMachine) tellChange() {
	if m.drained || m.phase == phaseDraining {
		return
	}
	if !m.engine.toldAny || m.engine.told != m.engine.digest {
		m.tellActive(m.engine.digest)
	}
}

// poll asks for reports: often while one is awaited, else at a slow pace.
func (m *StateMachine) poll() {
	const calm = 5
	if m.now < m.askAt {
		return
	}
	m.emit(RequestReport{})
	m.askAt = m.now + m.cfg.ReportInterval
	if m.phase == phaseActive || m.phase == phaseIdle || m.phase == phaseSuperseded {
		m.askAt = m.now + calm*m.cfg.ReportInterval
	}
}
