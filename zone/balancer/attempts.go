package balancer

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// Sent records that an attempt was sent to a target.
func (p *Pool) Sent(now time.Time, id contract.MachineID) {
	if m, ok := p.members[id]; ok {
		m.inflight++
		m.unacked++
		p.ejection.Sent(now, id)
	}
}

// Acked records that the target acknowledged an attempt for the first time. Load reports
// include the attempt from then on.
func (p *Pool) Acked(id contract.MachineID) {
	if m, ok := p.members[id]; ok && m.unacked > 0 {
		m.unacked--
	}
}

// Ended records the end of an attempt. acked is whether Acked was called for it.
func (p *Pool) Ended(id contract.MachineID, acked bool) {
	m, ok := p.members[id]
	if !ok || m.inflight == 0 {
		return
	}
	m.inflight--
	if !acked && m.unacked > 0 {
		m.unacked--
	}
}

// Answered records that the first part of an answer arrived after delay. A target that
// is thereby readmitted after an ejection begins its slow start.
func (p *Pool) Answered(now time.Time, id contract.MachineID, delay time.Duration) {
	m, ok := p.members[id]
	if ok && p.ejection.Success(now, id, delay) {
		m.rampStart = now
	}
}

// Failed records a failure of the target. It reports whether the target was ejected as a
// result.
func (p *Pool) Failed(now time.Time, id contract.MachineID, cause ejection.Cause) bool {
	if !p.IsListed(id) {
		return false
	}
	return p.ejection.Failure(now, id, cause)
}

// Refused records a refusal, which says nothing about the target's health.
func (p *Pool) Refused(id contract.MachineID) {
	p.ejection.Inconclusive(id)
}

// NextProbe returns the earliest time at which an ejected target may be probed. ok is
// false if there is no ejected target, apart from those that are being probed.
func (p *Pool) NextProbe() (at time.Time, ok bool) {
	for _, m := range p.sortedMembers {
		until := p.ejection.EjectedUntil(m.Machine)
		if !until.IsZero() && (!ok || until.Before(at)) {
			at, ok = until, true
		}
	}
	return at, ok
}
