package target

import (
	"time"

	"mimosastand.example/mimosastand/machine/target/gate"
)

// handOverShare is the inverse share of the grace after which streams that
// another target can resume are ended.
const handOverShare = 2

// leave stops accepting and waits until nothing runs or the grace is over. It
// then leaves time for the last frames to arrive, and for senders whose stream
// broke to ask for their answer.
func (p *Process) leave() {
	p.log.Info("leaving")
	p.step(gate.Leave{})
	p.endpoint.SendHeartbeats()
	grace := p.cfg.ShutdownGrace
	end := time.Now().Add(grace)
	if !wait(p.idle, grace/handOverShare) {
		p.step(gate.HandOver{})
		if !wait(p.idle, time.Until(end)) {
			p.log.Warn("grace is over with work in flight")
		}
	}
	wait(p.delivered, min(resendGrace, time.Until(end)))
	time.Sleep(min(p.heartbeat(), grace))
}

// resendGrace is how long a leaving process keeps answers for senders whose
// stream broke.
const resendGrace = 5 * time.Second

// idle reports whether nothing is queued and nothing runs.
func (p *Process) idle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gate.Idle()
}

// delivered reports whether every kept answer was given to a stream.
func (p *Process) delivered() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pruneUndelivered()
	return len(p.undelivered) == 0 && p.streams.Load() == 0
}

// pruneUndelivered drops the answers that are no longer kept.
func (p *Process) pruneUndelivered() {
	for id := range p.undelivered {
		if p.gate.Answers().Get(id) == nil {
			delete(p.undelivered, id)
		}
	}
}

// idlePoll is how often a leaving process looks whether work has ended.
const idlePoll = 20 * time.Millisecond

// wait polls until done or until limit is over, and reports which.
func wait(done func() bool, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		if done() {
			return true
		}
		time.Sleep(idlePoll)
	}
	return done()
}

func (p *Process) heartbeat() time.Duration {
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
