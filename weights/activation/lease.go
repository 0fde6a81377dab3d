package activation

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// lease is the own right to order.
type lease struct {
	// asked is when the append of the own record was started; the lease is
	// counted from there.
	asked time.Duration
	own   contract.Offset
	// until is when the own lease ends, 0 if there is none.
	until time.Duration
	// appended is when the reply to the append arrived.
	appended time.Duration
	// waitTill is when the former holder's lease has surely lapsed.
	waitTill time.Duration
}

// leaseValid reports whether an order sent now ends within the own lease.
func (m *StateMachine) leaseValid() bool {
	return m.now+m.cfg.OrderTimeout < m.lease.until
}

// fence gets a lease, unless the own one lasts long enough.
func (m *StateMachine) fence() bool {
	if m.leaseValid() {
		m.phase = phaseLeaseWait
		return true
	}
	m.lease = lease{asked: m.now}
	m.phase = phaseAppending
	m.emit(AppendFence{Incarnation: m.cfg.Incarnation, Lease: m.cfg.Lease})
	return false
}

func (m *StateMachine) fenceAppended(e FenceAppended) {
	if m.phase != phaseAppending {
		return
	}
	if e.Offset == 0 {
		m.fenceFailed()
		return
	}
	m.lease.own = e.Offset
	m.lease.appended = m.now
	m.phase = phaseReading
	m.emit(ReadFences{Own: e.Offset})
}

// fenceFailed tries again later. A gate that is closed opens meanwhile: an
// outage of the log must not take capacity away.
func (m *StateMachine) fenceFailed() {
	m.note(NoteFenceAppendFailed)
	m.phase = phaseFencing
	if m.drained {
		m.giveBack()
	}
	m.backOff()
}

// fencesRead looks for other orderers before the own record.
func (m *StateMachine) fencesRead(e FencesRead) {
	if m.phase != phaseReading {
		return
	}
	if e.Failed {
		m.fenceFailed()
		return
	}
	own, former, higher := m.sort(e.Records)
	if higher && m.on(mechIncarnation) {
		m.supersede()
		return
	}
	m.lease.until = m.lease.asked + m.cfg.Lease
	m.lease.waitTill = m.lapse(own, former, e.Trimmed)
	m.phase = phaseLeaseWait
	if m.lease.waitTill > m.now && !m.fencingKnown() {
		m.note(NoteLeaseWait)
	}
}

// sort finds the own record, the last one of another incarnation before it, and
// whether an earlier one has a higher incarnation.
func (m *StateMachine) sort(records []FenceRecord) (own, former *FenceRecord, higher bool) {
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

// lapse is when the former holder can surely order no more.
func (m *StateMachine) lapse(own, former *FenceRecord, trimmed bool) time.Duration {
	switch {
	case former == nil && !trimmed:
		return 0
	case former == nil || own == nil:
		return m.lease.appended + m.stretch(m.cfg.Lease)
	default:
		since := max(own.Time.Sub(former.Time), 0)
		return m.lease.appended + m.stretch(former.Lease) - since
	}
}

// stretch bounds on the own clock how long a lease and its last order last.
func (m *StateMachine) stretch(lease time.Duration) time.Duration {
	d := lease + m.cfg.OrderTimeout
	return d + time.Duration(float64(d)*driftShare)
}

// fencingKnown reports whether the engine itself refuses former orderers.
func (m *StateMachine) fencingKnown() bool {
	if !m.on(mechLearn) {
		return true
	}
	return m.engine.known && m.engine.fencing
}

// leaseWaited goes on when no former holder can interfere: first to the turn,
// then, with the gate closed, to the order.
func (m *StateMachine) leaseWaited() bool {
	if m.now < m.lease.waitTill && !m.fencingKnown() && m.on(mechLeaseWait) {
		return false
	}
	if m.on(mechResolve) && (m.now < m.order.openTill || m.engine.at < m.order.ended) {
		return false
	}
	if !m.ready() {
		m.phase = phaseTurn
		if m.granted != m.want.Version {
			m.emit(RequestTurn{Version: m.want.Version})
		}
		return true
	}
	if !m.leaseValid() && m.on(mechLeaseCheck) {
		m.note(NoteLeaseLapsed)
		m.phase = phaseFencing
		return true
	}
	m.sendOrder()
	return false
}

// supersede stands down for good: a later process orders this engine.
func (m *StateMachine) supersede() {
	m.note(NoteSuperseded)
	m.reopen()
	m.phase = phaseSuperseded
	m.retryAt = never
}
