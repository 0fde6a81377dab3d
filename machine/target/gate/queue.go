package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

var zeroTime time.Time

const (
	// Retry times are spread over this range around the expected wait.
	jitterLow  = 0.75
	jitterSpan = 0.5
	// defaultWait stands for the wait before any unit has run.
	defaultWait = 250 * time.Millisecond
	maxWait     = 30 * time.Second
)

// unqueue takes an attempt out of the queue.
func (g *Gate) unqueue(a *attempt) {
	for i, other := range g.queue {
		if other != a {
			continue
		}
		copy(g.queue[i:], g.queue[i+1:])
		g.queue[len(g.queue)-1] = nil
		g.queue = g.queue[:len(g.queue)-1]
		g.queueBytes -= len(a.start.Body)
		return
	}
}

// dropQueued refuses a queued attempt.
func (g *Gate) dropQueued(a *attempt, reason contract.Reason) {
	g.unqueue(a)
	delete(g.attempts, a.id())
	g.senders.hold(a.from, -1)
	g.refuse(a, reason)
}

// returnQueue refuses everything that is queued.
func (g *Gate) returnQueue(reason contract.Reason) {
	if g.off&offReturnQueue != 0 {
		return
	}
	g.returnIf(reason, func(*attempt) bool { return true })
}

// returnIf refuses the queued attempts that match.
func (g *Gate) returnIf(reason contract.Reason, match func(*attempt) bool) {
	for i := 0; i < len(g.queue); {
		a := g.queue[i]
		if match(a) {
			g.dropQueued(a, reason)
			continue
		}
		i++
	}
}

// refuse puts a tombstone on an attempt and tells its sender.
func (g *Gate) refuse(a *attempt, reason contract.Reason) {
	g.store.AddRefusal(g.now, a.id(), reason)
	g.refuseUnburied(a.from, a.id(), reason)
}

// refuseUnburied refuses an attempt that every later copy is refused for too.
func (g *Gate) refuseUnburied(from contract.MachineID, id contract.AttemptID, reason contract.Reason) {
	g.emit(Refuse{Refusal: contract.Refuse{
		Attempt: id, Reason: reason, RetryAfter: g.retryAfter(reason),
		Load: g.Load(from), SettingsOffset: g.settings.Offset,
	}})
}

// retryAfter returns when the target expects to have room; 0 if coming back
// here does not help.
func (g *Gate) retryAfter(reason contract.Reason) time.Duration {
	switch reason {
	case contract.ReasonTargetFull, contract.ReasonColdStart:
		wait := float64(g.wait(len(g.queue)))
		return time.Duration(wait * (jitterLow + jitterSpan*g.rng.Float64()))
	default:
		return 0
	}
}

// wait returns the expected wait behind ahead queued attempts at the present
// drain rate.
func (g *Gate) wait(ahead int) time.Duration {
	limit := g.limiter.Limit()
	if limit == 0 || g.meanRun == 0 {
		return defaultWait
	}
	return min(maxWait, g.meanRun*time.Duration(ahead+1)/time.Duration(limit))
}

// NextWake returns when the gate next wants a Tick; ok is false if only events
// can change it.
func (g *Gate) NextWake() (at time.Time, ok bool) {
	at, ok = g.limiter.NextWake()
	consider := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	for _, a := range g.queue {
		consider(a.deadline)
	}
	for _, a := range g.attempts {
		switch {
		case a.ended && !a.lingerUntil.IsZero():
			consider(a.lingerUntil)
		case !a.ended && !a.stopping && !a.detached.IsZero():
			consider(a.detached.Add(g.cfg.ResumeGrace))
		}
	}
	if expiry, some := g.store.NextExpiry(); some {
		consider(expiry)
	}
	return at, ok
}
