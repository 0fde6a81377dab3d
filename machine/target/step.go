package target

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/target/gate"
)

// step passes an event to the gate and carries out the effects.
func (p *Process) step(e gate.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepLocked(e)
}

// stepLocked returns the status that the event asked for, if any.
func (p *Process) stepLocked(e gate.Event) *contract.Status {
	var known *contract.Status
	for _, effect := range p.gate.Step(time.Now(), e) {
		if k, ok := effect.(gate.ReportStatus); ok {
			known = &k.Status
			continue
		}
		p.carryOut(effect)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return known
}

func (p *Process) carryOut(effect gate.Effect) {
	switch e := effect.(type) {
	case gate.Run:
		p.run(e)
	case gate.Refuse:
		metrics.CountRefusal(p.scope, e.Refusal.Reason)
		p.closeFeed(e.Refusal.Attempt, func(f *feed) { f.refusal = &e.Refusal })
	case gate.Stop:
		if f := p.feeds[e.Attempt]; f != nil && f.stop != nil {
			f.stop(stopError{reason: e.Reason})
		}
	case gate.Close:
		p.countEnd(e.End)
		end := e.End
		end.Load = p.gate.Load(e.From)
		if end.Outcome == contract.OutcomeDone {
			p.undelivered[end.Attempt] = struct{}{}
		}
		p.closeFeed(end.Attempt, func(f *feed) { f.end = &end })
	case gate.Ignored:
		metrics.CountIgnored(p.scope, contract.Reason(e.Cause))
	case gate.LimitFell:
		p.scope.Tagged(map[string]string{"cause": string(e.Cause)}).Counter("limit_falls").Inc(1)
		p.log.WithField("cause", string(e.Cause)).Warn("back end turned cold")
	}
}

func (p *Process) countEnd(end contract.End) {
	tags := map[string]string{"outcome": end.Outcome.String(), "reason": string(end.Reason)}
	p.scope.Tagged(tags).Counter("ends").Inc(1)
}

// closeFeed gives a feed its last message and takes it off the list.
func (p *Process) closeFeed(id contract.AttemptID, last func(*feed)) {
	f := p.feeds[id]
	if f == nil {
		return
	}
	delete(p.feeds, id)
	last(f)
	f.signal()
}
