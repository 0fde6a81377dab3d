package target

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/target/gate"
)

// step passes an event to the gate and applies the effects.
func (p *Process) step(e gate.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stepLocked(e)
}

// stepLocked is step for a caller that holds mu. It returns the status that the gate
// reports, or nil.
func (p *Process) stepLocked(e gate.Event) *contract.Status {
	var status *contract.Status
	for _, effect := range p.gate.Step(time.Now(), e) {
		if k, ok := effect.(gate.ReportStatus); ok {
			status = &k.Status
			continue
		}
		p.applyEffect(effect)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return status
}

func (p *Process) applyEffect(effect gate.Effect) {
	switch e := effect.(type) {
	case gate.Run:
		p.startWorker(e)
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
		p.log.WithField("cause", string(e.Cause)).Warn("limit of the back end lowered")
	}
}

func (p *Process) countEnd(end contract.End) {
	tags := map[string]string{"outcome": end.Outcome.String(), "reason": string(end.Reason)}
	p.scope.Tagged(tags).Counter("ends").Inc(1)
}

// closeFeed removes a feed from the list, sets its last message and wakes its readers.
func (p *Process) closeFeed(id contract.AttemptID, setLast func(*feed)) {
	f := p.feeds[id]
	if f == nil {
		return
	}
	delete(p.feeds, id)
	setLast(f)
	f.wakeReaders()
}
