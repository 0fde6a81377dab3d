package placement

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/roster"
)

// Sent records that an attempt was sent to a target.
func (p *Pool) Sent(now time.Time, id roster.TargetID) {
	l := p.loadOf(id)
	l.ownInFlight++
	l.sentSince++
	l.sends.add(now)
	p.inflow.sent(now)
	l.addPrompts(now, p.prefillTime(), 1)
	p.ejection.Sent(now, contract.MachineID(id))
}

// Ended records the end of an attempt.
func (p *Pool) Ended(id roster.TargetID) {
	l := p.loadOf(id)
	l.ownInFlight = max(l.ownInFlight-1, 0)
}

// Received records that something arrived from a target when the process had been
// running for the time at.
func (p *Pool) Received(at time.Duration, id roster.TargetID) { p.loadOf(id).lastReceived = at }

// LastReceived returns how long the process had been running when something last
// arrived from a target. It is zero if nothing has arrived.
func (p *Pool) LastReceived(id roster.TargetID) time.Duration { return p.loadOf(id).lastReceived }

// LoadReported records the load that a target reported with an answer.
func (p *Pool) LoadReported(now time.Time, id roster.TargetID, requests int) {
	l := p.loadOf(id)
	l.reported, l.reportedAt, l.sentSince = requests, now, 0
}

// Answered records that the first part of an answer arrived after delay.
func (p *Pool) Answered(now time.Time, id roster.TargetID, delay time.Duration) {
	p.ejection.Success(now, contract.MachineID(id), delay)
}

// Refused records that a target refused an attempt because it was full.
func (p *Pool) Refused(now time.Time, id roster.TargetID) {
	p.loadOf(id).fullUntil = now.Add(refusalMaxAge)
	p.ejection.Inconclusive(contract.MachineID(id))
}

// Misdirected records that a target refused an attempt because it is another one, or holds other
// weights, than this entry knows of.
func (p *Pool) Misdirected(now time.Time, id roster.TargetID) {
	p.loadOf(id).misdirectedAt = now
	p.ejection.Inconclusive(contract.MachineID(id))
}

// Inconclusive records an attempt whose end says nothing about the target's health.
func (p *Pool) Inconclusive(id roster.TargetID) { p.ejection.Inconclusive(contract.MachineID(id)) }

// Failed records a failure of a target, or its silence if silent is set. It reports
// whether the target was ejected as a result.
func (p *Pool) Failed(now time.Time, id roster.TargetID, silent bool) bool {
	cause := ejection.Failed
	if silent {
		cause = ejection.Silent
	}
	return p.ejection.Failure(now, contract.MachineID(id), cause)
}

// InFlight returns the number of attempts that this entry has in flight at each target.
// Targets without any are left out.
func (p *Pool) InFlight() map[roster.TargetID]int {
	list := map[roster.TargetID]int{}
	for id, l := range p.loads {
		if l.ownInFlight > 0 {
			list[id] = l.ownInFlight
		}
	}
	return list
}
