package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

var zeroTime time.Time

const (
	// A retry time is the expected wait times a random factor from jitterMin up to
	// jitterMin+jitterRange.
	jitterMin   = 0.75
	jitterRange = 0.5
	// defaultWait is the expected wait while the limit is 0 or no unit has completed yet.
	defaultWait = 250 * time.Millisecond
	maxWait     = 30 * time.Second
)

// dequeue removes an attempt from the queue.
func (g *Gate) dequeue(a *attempt) {
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

// refuseQueued refuses a queued attempt.
func (g *Gate) refuseQueued(a *attempt, reason contract.Reason) {
	g.dequeue(a)
	delete(g.attempts, a.id())
	g.senders.addHeld(a.from, -1)
	g.refuse(a, reason)
}

// refuseAllQueued refuses all queued attempts.
func (g *Gate) refuseAllQueued(reason contract.Reason) {
	if g.disabled&offRefuseQueued != 0 {
		return
	}
	g.refuseQueuedIf(reason, func(*attempt) bool { return true })
}

// refuseQueuedIf refuses the queued attempts that match.
func (g *Gate) refuseQueuedIf(reason contract.Reason, match func(*attempt) bool) {
	for i := 0; i < len(g.queue); {
		a := g.queue[i]
		if match(a) {
			g.refuseQueued(a, reason)
			continue
		}
		i++
	}
}

// refuse stores a tombstone for an attempt and reports the refusal to its sender.
func (g *Gate) refuse(a *attempt, reason contract.Reason) {
	g.store.AddRefusal(g.now, a.id(), reason)
	g.emitRefusal(a.from, a.id(), reason)
}

// emitRefusal refuses an attempt without a new tombstone. It is for attempts of which
// every later copy is refused as well.
func (g *Gate) emitRefusal(from contract.MachineID, id contract.AttemptID, reason contract.Reason) {
	g.emit(Refuse{Refusal: contract.Refuse{
		Attempt: id, Reason: reason, RetryAfter: g.retryAfter(reason),
		Load: g.Load(from), SettingsOffset: g.settings.Offset,
	}})
}

// retryAfter returns the time after which the target expects to have room; 0 if a retry
// at this target does not help.
func (g *Gate) retryAfter(reason contract.Reason) time.Duration {
	switch reason {
	case contract.ReasonTargetFull, contract.ReasonColdStart:
		wait := float64(g.expectedWait(len(g.queue)))
		return time.Duration(wait * (jitterMin + jitterRange*g.rng.Float64()))
	default:
		return 0
	}
}

// expectedWait returns the expected wait behind ahead queued attempts at the present
// drain rate.
func (g *Gate) expectedWait(ahead int) time.Duration {
	limit := g.limiter.Limit()
	if limit == 0 || g.meanRunTime == 0 {
		return defaultWait
	}
	return min(maxWait, g.meanRunTime*time.Duration(ahead+1)/time.Duration(limit))
}

// NextWake returns the time at which the gate needs its next Tick; ok is false if only
// other events can change its state.
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
		case !a.ended && !a.stopping && !a.detachedAt.IsZero():
			consider(a.detachedAt.Add(g.cfg.ResumeGrace))
		}
	}
	if expiry, hasExpiry := g.store.NextExpiry(); hasExpiry {
		consider(expiry)
	}
	return at, ok
}
