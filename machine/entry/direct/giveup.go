package direct

import (
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
)

// giveUpReason returns why the current attempt is to be given up before its target has begun to
// answer, and so perhaps before it has begun to run the request; empty if it is not.
func (p *attemptPair) giveUpReason() breakage {
	c, x := p.call, p.current
	switch {
	case x.hasBegun():
		return ""
	case !c.probing && c.entry.fleet.shouldGiveUp(c.suspect):
		return breakageCrashesTargets
	case x.isOutdated():
		return breakageOutdated
	}
	return ""
}

// hasBegun reports whether the target has begun to answer.
func (x *exchange) hasBegun() bool { return len(x.parts) > 0 || !x.begunAt.IsZero() }

// giveUpOutdatedHedge ends the hedge if it has not begun and may no longer begin on the weights of its target.
func (p *attemptPair) giveUpOutdatedHedge() {
	if p.hedge == nil || p.hedge.hasBegun() || !p.hedge.isOutdated() {
		return
	}
	p.hedge.abandon()
	p.hedge.givenUp = true
	p.hedgeFailed(part{ended: true, outcome: attempts.Lost})
}

// isOutdated reports whether the attempt may no longer begin on the weights of its target, which
// are too old by now, and may be sent elsewhere.
func (x *exchange) isOutdated() bool {
	return x.call.route.IsRepeatable() && x.isTooOld()
}

// isTooOld reports whether a request may no longer begin on the weights that the target was known to hold.
func (x *exchange) isTooOld() bool {
	if x.choice.Version == 0 {
		return false
	}
	return !x.call.entry.fleet.mayBegin(x.call.service, x.choice.Version)
}

// giveUp ends the current attempt. It reports false if the hedge takes its place: one that started on newer
// weights goes on when those of the current attempt end.
func (p *attemptPair) giveUp(reason breakage) (done bool) {
	c, x := p.call, p.current
	x.abandon()
	x.givenUp = true
	c.record.attemptEnded(time.Now(), attempts.Lost, reason, nil)
	c.attemptEnded(x, attempts.Lost)
	if p.hedge == nil || reason != breakageOutdated {
		return true
	}
	c.entry.logRetry(c, attempts.Lost)
	p.hedgeEnded(hedgePromoted)
	p.promoteHedge()
	return false
}
