package activation

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

func fenceOf(o contract.Offset) contract.Fence { return contract.Fence(o) }

func (m *StateMachine) handleReport(r Report) {
	createdAt := m.now - r.Age
	if m.isOutOfDate(r, createdAt) {
		m.note(NoteStaleReport)
		return
	}
	if m.engine.known && r.Boot != m.engine.boot {
		m.handleReboot()
	}
	m.engine.known = true
	m.engine.boot, m.engine.seq, m.engine.digest = r.Boot, r.Seq, r.Digest
	m.engine.fencing, m.engine.at = r.Fencing, createdAt
	m.evaluateReport()
}

// isOutOfDate reports whether a newer report than r was received before.
func (m *StateMachine) isOutOfDate(r Report, createdAt time.Duration) bool {
	if !m.engine.known {
		return false
	}
	if r.Boot == m.engine.boot {
		return r.Seq < m.engine.seq
	}
	return createdAt < m.engine.at
}

// handleReboot discards what was staged to and ordered of the engine's former process.
func (m *StateMachine) handleReboot() {
	m.note(NoteEngineRestarted)
	m.staged = ""
	m.order.confirmed = false
	if m.drained || m.phase == phaseDraining {
		m.drained, m.engine.hasEmitted = false, false
	}
	if m.phase != phaseSuperseded {
		m.phase = phaseIdle
	}
}

// evaluateReport compares the newest report with the pending order, or with the desired
// version and the last Active effect.
func (m *StateMachine) evaluateReport() {
	switch {
	case m.hasPendingOrder():
		m.resolveOrder()
	case m.phase == phaseActive && m.engine.digest != m.desired.Version:
		m.phase = phaseIdle
		m.emitActiveIfChanged()
	default:
		m.emitActiveIfChanged()
	}
}

// resolveOrder confirms or refutes the last order by the newest report.
func (m *StateMachine) resolveOrder() {
	if m.engine.at < m.order.sentAt {
		return
	}
	if m.engine.digest == m.order.deployment.Version && m.phase != phaseOrdering {
		m.confirm()
		return
	}
	if m.phase != phaseOrdering && m.engine.at >= m.order.refutableFrom {
		m.retryOrder(NoteOrderWithoutEffect)
	}
}

// emitActiveIfChanged emits Active when the engine runs another version than the last
// Active effect reported, unless the gate is closed or closing.
func (m *StateMachine) emitActiveIfChanged() {
	if m.drained || m.phase == phaseDraining {
		return
	}
	if !m.engine.hasEmitted || m.engine.emitted != m.engine.digest {
		m.emitActive(m.engine.digest)
	}
}

// requestReport requests reports: every ReportInterval while one is awaited, else every
// idleFactor intervals.
func (m *StateMachine) requestReport() {
	const idleFactor = 5
	if m.now < m.nextReportAt {
		return
	}
	m.emit(RequestReport{})
	m.nextReportAt = m.now + m.cfg.ReportInterval
	if m.phase == phaseActive || m.phase == phaseIdle || m.phase == phaseSuperseded {
		m.nextReportAt = m.now + idleFactor*m.cfg.ReportInterval
	}
}
