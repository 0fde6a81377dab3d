package balancer

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// Sent records an attempt that is on its way to a target.
func (p *Pool) Sent(now time.Time, id contract.MachineID) {
	if m, ok := p.members[id]; ok {
		m.inflight++
		m.unacked++
		p.ejection.Sent(now, id)
	}
}

// Acked records the target's first answer to an attempt; reports from then on
// include it.
func (p *Pool) Acked(id contract.MachineID) {
	if m, ok := p.members[id]; ok && m.unacked > 0 {
		m.unacked--
	}
}

// Ended records the end of an attempt; acked tells whether Acked was called.
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

// Answered records the first part of an answer after delay.
func (p *Pool) Answered(now time.Time, id contract.MachineID, delay time.Duration) {
	m, ok := p.members[id]
	if ok && p.ejection.Success(now, id, delay) {
		m.ramp = now
	}
}

// Failed records a fault of the target and reports whether it is now ejected.
func (p *Pool) Failed(now time.Time, id contract.MachineID, cause ejection.Cause) bool {
	if !p.IsListed(id) {
		return false
	}
	return p.ejection.Failure(now, id, cause)
}

// Refused records a refusal that tells nothing of the target's health.
func (p *Pool) Refused(id contract.MachineID) {
	p.ejection.Inconclusive(id)
}

// NextProbe is the earliest time at which an ejected target may be probed; ok
// is false if none is ejected.
func (p *Pool) NextProbe() (at time.Time, ok bool) {
	for _, m := range p.order {
		until := p.ejection.EjectedUntil(m.Machine)
		if !until.IsZero() && (!ok || until.Before(at)) {
			at, ok = until, true
		}
	}
	return at, ok
}
