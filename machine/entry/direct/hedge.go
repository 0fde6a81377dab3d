package direct

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/placement"
)

// attemptPair forwards the response of an attempt to the caller. While the target is silent, or slower to
// begin than another one is predicted to be, a second attempt, the hedge, runs beside it. Whichever goes
// on first is kept: a silent target may go on, and the hedge may find no target or fail.
type attemptPair struct {
	call    *call
	ctx     context.Context
	current *exchange
	// hedge is nil if no second attempt runs.
	hedge *exchange
	// checks has an element when the attempts are to be looked at. watched and watchedHedge hold them for
	// the loop that decides so.
	checks                chan struct{}
	watched, watchedHedge atomic.Pointer[exchange]
	// hedgeAfter is the run time of the process from which on the current attempt counts as slow, and
	// hedgeDue when the loop is to have the request look at it next, in nanoseconds; 0 for never.
	hedgeAfter time.Duration
	hedgeDue   atomic.Int64
}

// runAttempts sends the request to the chosen target, and to another one if the first falls
// silent, and forwards the response. It returns how the last attempt ended, with the response
// by which its target reported a failure.
func (c *call) runAttempts(ctx context.Context, choice placement.Choice) (attempts.Outcome, *bufferedResponse) {
	p := &attemptPair{call: c, ctx: ctx, current: c.beginAttempt(ctx, choice), checks: make(chan struct{}, 1)}
	p.recordStart()
	c.entry.meters.placementTime.RecordDuration(p.current.start.Sub(c.arrived))
	defer p.endAll()
	return p.forward()
}

// beginAttempt starts an attempt at a target.
func (c *call) beginAttempt(ctx context.Context, choice placement.Choice) *exchange {
	c.triedTargets = append(c.triedTargets, choice.ID)
	c.entry.logPlacement(c, choice)
	x := newExchange(c, choice)
	x.begin(ctx)
	return x
}

// forward forwards what arrives until the current attempt ends and no hedge is left.
func (p *attemptPair) forward() (attempts.Outcome, *bufferedResponse) {
	p.call.entry.checks.watch(p)
	defer p.call.entry.checks.unwatch(p)
	for {
		select {
		case got := <-p.current.parts:
			got = p.current.withoutOtherAnswer(p.current.withoutOtherVersion(got))
			if !got.ended {
				if got.event.hasField {
					p.stopHedging()
					p.dropHedge()
				}
				if !p.sendEvent(got) {
					return attempts.Lost, nil
				}
				continue
			}
			if done := p.currentEnded(got); done {
				return got.outcome, got.response
			}
		case got := <-p.hedgeParts():
			got = p.hedge.withoutOtherAnswer(p.hedge.withoutOtherVersion(got))
			if got.ended && got.outcome != attempts.Completed {
				p.hedgeFailed(got)
				continue
			}
			if !got.ended && !got.event.hasField {
				// A comment does not show that the target goes on.
				p.hedge.recycle(got)
				continue
			}
			p.takeOver()
			if got.ended {
				p.currentEnded(got)
				return got.outcome, got.response
			}
			if !p.sendEvent(got) {
				return attempts.Lost, nil
			}
		case <-p.checks:
			if reason := p.giveUpReason(); reason != "" {
				if done := p.giveUp(reason); done {
					return attempts.Lost, nil
				}
				continue
			}
			p.giveUpOutdatedHedge()
			p.checkSilence()
			p.checkSlow()
		}
	}
}

// withoutOtherAnswer makes the end of the attempt a lost one if it brought an answer that is no stream
// and the caller has the beginning of a stream, which only a stream continues. The other attempt of the
// pair may have begun the stream after this one was sent, so it is called when the part is used.
func (x *exchange) withoutOtherAnswer(got part) part {
	if !x.call.headSent || got.response == nil || got.outcome != attempts.Completed {
		return got
	}
	got.release()
	x.breakage = breakageNoStream
	return part{ended: true, outcome: attempts.Lost}
}

// withoutOtherVersion ends the attempt as a lost one if its part of a stream is of another version of the
// weights than what the caller has, without saying so. It is called when the part is used, as
// withoutOtherAnswer is.
func (x *exchange) withoutOtherVersion(got part) part {
	c := x.call
	if got.event.version != 0 {
		x.version = got.event.version
		return got
	}
	if c.pinnedVersion == 0 || got.ended && (got.outcome != attempts.Completed || got.response != nil) || x.weightsVersion() == c.pinnedVersion {
		return got
	}
	if !got.ended {
		x.abandon()
	}
	got.release()
	x.otherVersion = true
	return part{ended: true, outcome: attempts.Lost}
}

// endReason returns why the attempt brought no usable response, and the error behind it if there is one.
// An attempt that is ended for its version may still run, and write what breaks.
func (x *exchange) endReason() (breakage, error) {
	if x.otherVersion {
		return breakageOtherVersion, nil
	}
	return x.breakage, x.err
}

// weightsVersion returns the version of the weights by which the target answers: the one that
// the attempt expects if it does not say.
func (x *exchange) weightsVersion() int64 {
	return cmp.Or(x.version, x.reply.Version, x.expectedVersion)
}

// hedgeParts returns the channel of the hedge; nil if there is none.
func (p *attemptPair) hedgeParts() <-chan part {
	if p.hedge == nil {
		return nil
	}
	return p.hedge.parts
}

// checkSilence starts a hedge if the target of the current attempt is silent, the rules allow
// another attempt and a target has room for it now.
func (p *attemptPair) checkSilence() {
	c := p.call
	if p.hedge != nil && p.hedge.outpaces && len(p.current.parts) == 0 && p.current.isSilent() {
		p.recordSilence()
	}
	if p.hedge != nil || len(p.current.parts) > 0 || !p.current.isSilent() || !c.mayHedge() {
		return
	}
	if !p.current.proven && !c.entry.fleet.mayHedge(c.suspect) {
		return
	}
	p.recordSilence()
	limit := time.Until(c.deadline)
	choice, refusal := c.entry.fleet.pickTarget(c.service, c.requirements(limit), limit)
	if refusal != placement.Placed {
		return
	}
	if !c.entry.fleet.takeRetry(c.service) {
		c.entry.fleet.recordInconclusive(c.service, choice.ID)
		c.entry.fleet.recordAttemptEnd(c.service, choice.ID)
		return
	}
	c.entry.meters.countHedge()
	p.setHedge(c.beginAttempt(p.ctx, choice))
}

// recordSilence records once that the target of the current attempt is silent.
func (p *attemptPair) recordSilence() {
	if p.current.silent {
		return
	}
	p.current.silent = true
	p.call.entry.logSilence(p.current)
	p.call.entry.fleet.recordFailure(p.call.service, p.current.choice.ID, true)
}

// currentEnded records the end of the current attempt. It reports false if the hedge takes
// its place.
func (p *attemptPair) currentEnded(got part) (done bool) {
	c := p.call
	c.record.replyReceived(p.current.reply, p.current.expectedVersion)
	reason, err := p.current.endReason()
	c.record.attemptEnded(time.Now(), got.outcome, reason, err)
	c.attemptEnded(p.current, got.outcome)
	if got.outcome == attempts.Completed {
		p.dropHedge()
		p.current.recordEnd(got)
		c.complete(got)
		got.release()
		return true
	}
	if p.hedge == nil || p.ctx.Err() != nil {
		return true
	}
	got.release()
	c.entry.logRetry(c, got.outcome)
	p.hedgeEnded(hedgePromoted)
	p.promoteHedge()
	return false
}

// takeOver ends the current attempt, whose target is silent or slow, and puts the hedge in its place.
func (p *attemptPair) takeOver() {
	c := p.call
	if p.current.silent {
		c.record.attemptEnded(time.Now(), attempts.Lost, breakageSilent, nil)
		c.entry.logRetry(c, attempts.Lost)
	} else {
		c.record.attemptEnded(time.Now(), attempts.Lost, breakageSlow, nil)
		p.current.outpaced = true
	}
	p.hedgeEnded(hedgeWon)
	p.current.abandon()
	p.current.replaced = true
	c.attemptEnded(p.current, attempts.Lost)
	p.promoteHedge()
}

// setHedge sets the hedge; nil for none.
func (p *attemptPair) setHedge(x *exchange) {
	p.hedge = x
	p.watchedHedge.Store(x)
}

// promoteHedge makes the hedge the current attempt.
func (p *attemptPair) promoteHedge() {
	p.current = p.hedge
	p.setHedge(nil)
	p.recordStart()
}

// recordStart records that the current attempt is the one on which the answer depends.
func (p *attemptPair) recordStart() {
	p.watched.Store(p.current)
	p.scheduleHedge()
	p.call.lastTarget = p.current.choice.ID
	p.call.record.attemptStarted(p.current.choice, p.current.start)
}

// hedgeFailed records a hedge that ended while the current attempt is still under way.
func (p *attemptPair) hedgeFailed(got part) {
	got.release()
	p.hedgeEnded(hedgeFailed)
	p.call.attemptEnded(p.hedge, got.outcome)
	p.setHedge(nil)
}

// endAll abandons what is still under way: the hedge, and the current attempt if the request
// panicked.
func (p *attemptPair) endAll() {
	p.dropHedge()
	if p.current.ended {
		return
	}
	p.current.abandon()
	p.call.entry.fleet.recordInconclusive(p.call.service, p.current.choice.ID)
	p.call.entry.fleet.recordAttemptEnd(p.call.service, p.current.choice.ID)
}

// dropHedge abandons the hedge, if there is one: the current attempt goes on or has ended.
func (p *attemptPair) dropHedge() {
	if p.hedge == nil {
		return
	}
	p.hedge.abandon()
	p.hedgeEnded(hedgeCancelled)
	p.call.entry.fleet.recordInconclusive(p.call.service, p.hedge.choice.ID)
	p.call.attemptsSent++
	p.call.mayHaveRun = true
	p.call.entry.fleet.recordAttemptEnd(p.call.service, p.hedge.choice.ID)
	p.setHedge(nil)
}

// sendEvent sends an event of the current attempt to the caller. It reports false, and ends
// the attempt, if the caller has gone.
func (p *attemptPair) sendEvent(got part) bool {
	c, x := p.call, p.current
	defer x.recycle(got)
	x.recordProof(false)
	if c.hasEvent(got.event) {
		return true
	}
	if c.pinnedVersion == 0 || got.event.version != 0 {
		c.pinnedVersion = x.weightsVersion()
	}
	err := c.sendEvent(got.head, got.event)
	if err == nil {
		return true
	}
	x.abandon()
	x.callerGone = true
	c.record.replyReceived(x.reply, x.expectedVersion)
	c.record.attemptEnded(time.Now(), attempts.Lost, breakageCallerGone, err)
	c.attemptEnded(x, attempts.Lost)
	return false
}

// complete ends the answer after a complete response: the rest of a stream has been sent.
func (c *call) complete(got part) {
	if got.response != nil {
		c.writeResponse(got.response)
		return
	}
	c.sendHead(got.head)
	if got.event.data != nil {
		// A caller that has left has no use for the error.
		_ = got.event.data.writeTo(c.w)
	}
	c.recordEnd(http.StatusOK, contract.Reason(""), 0)
}

// isTargetFailure reports whether an attempt that was lost counts as a failure of its target.
// A target may decline to continue a stream, and a silent one has been recorded before.
func (x *exchange) isTargetFailure() bool {
	if x.silent || x.outpaced || x.callerGone || x.givenUp || x.otherVersion || x.call.entry.openCalls.isEnded() {
		return false
	}
	if x.breakage == breakageNoStream || x.breakage == breakageSlowCaller {
		return false
	}
	return x.call.r.Context().Err() == nil && time.Now().Before(x.call.deadline)
}

// attemptEnded records how an attempt ended with its target, and counts it.
func (c *call) attemptEnded(x *exchange, outcome attempts.Outcome) {
	fleet := c.entry.fleet
	x.ended = true
	fleet.recordAttemptEnd(c.service, x.choice.ID)
	c.entry.meters.countAttempt(outcome)
	if outcome == attempts.NotSent {
		c.attemptsUnsent++
		if x.breakage == breakageStaleChoice || x.breakage == breakageCallerGone {
			fleet.recordInconclusive(c.service, x.choice.ID)
		} else {
			fleet.recordFailure(c.service, x.choice.ID, false)
		}
		return
	}
	c.entry.meters.countSent(c.service, x.choice.ID)
	c.attemptsSent++
	switch outcome {
	case attempts.NotRun:
		fleet.recordRefusal(c.service, x.choice.ID, x.misdirected)
	case attempts.Failed:
		c.mayHaveRun = true
		fleet.recordFailure(c.service, x.choice.ID, false)
	case attempts.Lost:
		c.mayHaveRun = true
		if x.isLostUnproven() {
			c.lostAttempts = append(c.lostAttempts, lostAttempt{choice: x.choice, sentAt: x.start, brokenAt: time.Now()})
		}
		switch {
		case x.outpaced:
			fleet.recordReplaced(c.service, x)
		case x.isTargetFailure():
			fleet.recordFailure(c.service, x.choice.ID, false)
		case !x.silent:
			fleet.recordInconclusive(c.service, x.choice.ID)
		}
	}
}
