package placement

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/roster"
)

// Sent records an attempt that goes to a target.
func (p *Pool) Sent(now time.Time, id roster.TargetID) {
	l := p.load(id)
	l.own++
	l.sent++
	l.trim(now)
	l.sends = append(l.sends, now)
	p.ejection.Sent(now, contract.MachineID(id))
}

// Ended records the end of an attempt.
func (p *Pool) Ended(id roster.TargetID) {
	l := p.load(id)
	l.own = max(l.own-1, 0)
}

// Heard records that a target sent something when the process had run for ran.
func (p *Pool) Received(ran time.Duration, id roster.TargetID) { p.load(id).heard = ran }

// LastHeard is for how long the process had run when a target last sent anything; zero
// if it never did.
func (p *Pool) LastReceived(id roster.TargetID) time.Duration { return p.load(id).heard }

// Reported takes in the load that a target told in an answer.
func (p *Pool) LoadReported(now time.Time, id roster.TargetID, requests int) {
	l := p.load(id)
	l.reported, l.reportedAt, l.sent = requests, now, 0
}

// Answered records the first part of an answer after delay.
func (p *Pool) Answered(now time.Time, id roster.TargetID, delay time.Duration) {
	p.ejection.Success(now, contract.MachineID(id), delay)
}

// Refused records that a target did not run an attempt for want of room.
func (p *Pool) Refused(now time.Time, id roster.TargetID) {
	p.load(id).fullUntil = now.Add(settleTime)
	p.ejection.Inconclusive(contract.MachineID(id))
}

// Withdrawn records an attempt that tells nothing of the target's health.
func (p *Pool) Inconclusive(id roster.TargetID) { p.ejection.Inconclusive(contract.MachineID(id)) }

// Failed records a fault of a target and reports whether it is now taken out.
func (p *Pool) Failed(now time.Time, id roster.TargetID, silent bool) bool {
	cause := ejection.Failed
	if silent {
		cause = ejection.Silent
	}
	return p.ejection.Failure(now, contract.MachineID(id), cause)
}

// InFlight lists what this entry has in flight at each target.
func (p *Pool) InFlight() map[roster.TargetID]int {
	list := map[roster.TargetID]int{}
	for id, l := range p.loads {
		if l.own > 0 {
			list[id] = l.own
		}
	}
	return list
}
