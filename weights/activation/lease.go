package activation

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// lease is the own right to order the engine.
type lease struct {
	// requestedAt is when the append of the own record was started; the lease is
	// counted from then.
	requestedAt time.Duration
	own         contract.Offset
	// expiresAt is when the own lease ends, 0 if there is none.
	expiresAt time.Duration
	// appendedAt is when the reply to the append arrived.
	appendedAt time.Duration
	// formerExpiresAt is when the former holder's lease has surely expired.
	formerExpiresAt time.Duration
}

// isLeaseValid reports whether an order sent now ends within the own lease.
func (m *StateMachine) isLeaseValid() bool {
	return m.now+m.cfg.OrderTimeout < m.lease.expiresAt
}

// acquireLease requests a lease, unless the own one lasts long enough.
func (m *StateMachine) acquireLease() bool {
	if m.isLeaseValid() {
		m.phase = phaseLeaseWait
		return true
	}
	m.lease = lease{requestedAt: m.now}
	m.phase = phaseAppending
	m.emit(AppendFence{Incarnation: m.cfg.Incarnation, Lease: m.cfg.Lease})
	return false
}

func (m *StateMachine) handleFenceAppended(e FenceAppended) {
	if m.phase != phaseAppending {
		return
	}
	if e.Offset == 0 {
		m.retryFence()
		return
	}
	m.lease.own = e.Offset
	m.lease.appendedAt = m.now
	m.phase = phaseReading
	m.emit(ReadFences{Own: e.Offset})
}

// retryFence requests a lease again later. A closed gate opens meanwhile, as an outage of
// the log must not take capacity away.
func (m *StateMachine) retryFence() {
	m.note(NoteFenceAppendFailed)
	m.phase = phaseFencing
	if m.drained {
		m.releaseTurn()
	}
	m.backOff()
}

// handleFencesRead looks for other orderers among the records before the own one.
func (m *StateMachine) handleFencesRead(e FencesRead) {
	if m.phase != phaseReading {
		return
	}
	if e.Failed {
		m.retryFence()
		return
	}
	own, former, higher := m.classifyRecords(e.Records)
	if higher && m.isEnabled(mechIncarnation) {
		m.standDown()
		return
	}
	m.lease.expiresAt = m.lease.requestedAt + m.cfg.Lease
	m.lease.formerExpiresAt = m.formerLeaseExpiry(own, former, e.Trimmed)
	m.phase = phaseLeaseWait
	if m.lease.formerExpiresAt > m.now && !m.isEngineFencing() {
		m.note(NoteLeaseWait)
	}
}

// classifyRecords returns the own record, the last one of another incarnation before it,
// and whether any record before it has a higher incarnation.
func (m *StateMachine) classifyRecords(records []FenceRecord) (own, former *FenceRecord, higher bool) {
	for i := range records {
		r := &records[i]
		switch {
		case r.Offset == m.lease.own:
			own = r
		case r.Offset < m.lease.own && r.Incarnation != m.cfg.Incarnation:
			former = r
			higher = higher || r.Incarnation > m.cfg.Incarnation
		}
	}
	return own, former, higher
}

// formerLeaseExpiry returns from when on the former holder surely sends no more orders
// that take effect.
func (m *StateMachine) formerLeaseExpiry(own, former *FenceRecord, trimmed bool) time.Duration {
	switch {
	case former == nil && !trimmed:
		return 0
	case former == nil || own == nil:
		return m.lease.appendedAt + m.maxLeaseDuration(m.cfg.Lease)
	default:
		since := max(own.Time.Sub(former.Time), 0)
		return m.lease.appendedAt + m.maxLeaseDuration(former.Lease) - since
	}
}

// maxLeaseDuration returns how long a lease and its last order last at most by the own
// clock.
func (m *StateMachine) maxLeaseDuration(lease time.Duration) time.Duration {
	d := lease + m.cfg.OrderTimeout
	return d + time.Duration(float64(d)*driftShare)
}

// isEngineFencing reports whether the engine is known to refuse former orderers itself.
func (m *StateMachine) isEngineFencing() bool {
	if !m.isEnabled(mechUnknownFencing) {
		return true
	}
	return m.engine.known && m.engine.fencing
}

// finishLeaseWait continues when no former holder can interfere: first to the turn, then,
// with the gate closed, to the order.
func (m *StateMachine) finishLeaseWait() bool {
	if m.now < m.lease.formerExpiresAt && !m.isEngineFencing() && m.isEnabled(mechLeaseWait) {
		return false
	}
	if m.isEnabled(mechResolve) && (m.now < m.order.mayTakeEffectUntil || m.engine.at < m.order.endedAt) {
		return false
	}
	if !m.isReadyToOrder() {
		m.phase = phaseAwaitingTurn
		if m.granted != m.desired.Version {
			m.emit(RequestTurn{Version: m.desired.Version})
		}
		return true
	}
	if !m.isLeaseValid() && m.isEnabled(mechLeaseCheck) {
		m.note(NoteLeaseLapsed)
		m.phase = phaseFencing
		return true
	}
	m.sendOrder()
	return false
}

// standDown stops ordering for good, as a later process orders this engine.
func (m *StateMachine) standDown() {
	m.note(NoteSuperseded)
	m.reopen()
	m.phase = phaseSuperseded
	m.retryAt = never
}
