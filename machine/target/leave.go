package target

import (
	"time"

	"mimosastand.example/mimosastand/machine/target/gate"
)

// handOverDivisor is the inverse share of the shutdown grace after which the streams that
// another target can resume are ended.
const handOverDivisor = 2

// leave refuses new work and waits until the gate is idle or the shutdown grace is over.
// It then waits until answers are delivered, so that the last frames arrive and senders
// whose stream broke can request their answer, and for one more heartbeat interval.
func (p *Process) leave() {
	p.log.Info("shutting down; new requests are refused")
	p.step(gate.Leave{})
	p.endpoint.SendHeartbeats()
	grace := p.cfg.ShutdownGrace
	end := time.Now().Add(grace)
	if !pollUntil(p.isIdle, grace/handOverDivisor) {
		p.step(gate.HandOver{})
		if !pollUntil(p.isIdle, time.Until(end)) {
			p.log.Warn("shutdown grace is over with work in flight")
		}
	}
	pollUntil(p.allDelivered, min(resendGrace, time.Until(end)))
	time.Sleep(min(p.heartbeatInterval(), grace))
}

// resendGrace is how long a leaving process waits for senders whose stream broke to request
// their answers.
const resendGrace = 5 * time.Second

// isIdle reports whether no attempt is queued and every attempt that started has ended.
func (p *Process) isIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.Idle()
}

// allDelivered reports whether every stored answer was delivered and no stream is open.
func (p *Process) allDelivered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneUndelivered()
	return len(p.undelivered) == 0 && p.openStreams.Load() == 0
}

// pruneUndelivered removes the attempts whose records have been dropped.
func (p *Process) pruneUndelivered() {
	for id := range p.undelivered {
		if p.gate.Answers().Get(id) == nil {
			delete(p.undelivered, id)
		}
	}
}

// idlePollInterval is the time between two checks whether work has ended.
const idlePollInterval = 20 * time.Millisecond

// pollUntil polls done until it returns true or the timeout is over, and returns its last
// result.
func pollUntil(done func() bool, timeout time.Duration) bool {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		time.Sleep(idlePollInterval)
	}
	return done()
}

func (p *Process) heartbeatInterval() time.Duration {
	const fallback = time.Second
	if p.cfg.Link.HeartbeatInterval > 0 {
		return p.cfg.Link.HeartbeatInterval
	}
	return fallback
}

func (p *Process) close() {
	p.endpoint.Close()
	p.stopWork()
	p.workers.Wait()
	_ = p.server.Close()
	_ = p.registry.Close()
	p.log.Info("stopped")
}
