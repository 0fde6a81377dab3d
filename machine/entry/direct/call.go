package direct

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/poison"
	"mimosastand.example/mimosastand/zone/roster"
)

// call is one request of a caller and the progress made on it.
type call struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	info    platform.Call
	arrived time.Time

	// manifest is the version of the manifest under which the request was admitted.
	manifest int64
	route    *catalog.Route
	team     *catalog.Team
	service  contract.ServiceName
	// rank is the urgency of the request. isRanked is set if its service has several, hasQueue if
	// its requests wait in a queue.
	rank               int
	isRanked, hasQueue bool
	deadline           time.Time
	body               requestBody
	// suspect holds what may crash targets: the request as a whole, and the parts of the prompt
	// that other requests may share.
	suspect poison.Request
	// probing is set if the current attempt was sent although the request has crashed targets.
	probing bool

	// triedTargets lists the targets of all attempts, including those that could not be
	// reached.
	triedTargets []roster.TargetID
	// attemptsSent counts the attempts that were sent to a target, attemptsUnsent those
	// of which no byte left the entry.
	attemptsSent, attemptsUnsent int
	// mayHaveRun is set once an attempt may have run at a target.
	mayHaveRun bool
	// headSent is set once the head of the response has gone to the caller. lastEvent is
	// the last event that the caller has, pinnedVersion the version of the weights that
	// its stream came from; 0 before there is one.
	headSent      bool
	lastEvent     int64
	pinnedVersion int64
	// lostAttempts are attempts that may have ended with the crash of their target, not looked
	// into yet.
	lostAttempts []lostAttempt
	// lastTarget is the target of the last attempt.
	lastTarget roster.TargetID
	// record collects what is logged when the request ends.
	record requestRecord
}

// serve makes attempts until one completes or no further one is allowed, and answers the
// caller.
func (c *call) serve() {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.entry.openCalls.add(c, cancel)
	defer c.entry.openCalls.remove(c)
	c.entry.fleet.recordRequest(c.service)
	c.entry.fleet.recordPrompt(c.service, c.info.PromptTokens)
	for {
		choice, reason, retryAfter := c.placeAttempt(ctx)
		if reason != "" {
			c.endWithoutTarget(reason, retryAfter)
			return
		}
		outcome, failureResp := c.runAttempts(ctx, choice)
		defer failureResp.release()
		if outcome == attempts.Completed {
			if len(c.lostAttempts) > 0 {
				go c.recordCrashes(ctx, c.lostAttempts)
			}
			return
		}
		mayRepeat := c.mayRepeat(ctx)
		if c.r.Context().Err() != nil {
			c.recordEnd(0, contract.ReasonCallerGone, 0)
			panic(http.ErrAbortHandler)
		}
		verdict := attempts.Decide(outcome, c.attemptState())
		c.record.limit = attempts.LimitFor(outcome, c.attemptState())
		if verdict == attempts.Retry && !mayRepeat {
			verdict = attempts.FinalVerdict(outcome, c.attemptState())
			c.record.limit = attempts.LimitCrash
		}
		if verdict == attempts.Retry && !c.entry.fleet.takeRetry(c.service) {
			verdict = attempts.FinalVerdict(outcome, c.attemptState())
			c.record.limit = attempts.LimitBudget
		}
		if verdict != attempts.Retry && verdict != attempts.Reroute {
			c.endWithVerdict(verdict, failureResp)
			return
		}
		failureResp.release()
		c.entry.logRetry(c, outcome)
	}
}

func (c *call) attemptState() attempts.State {
	return attempts.State{
		Repeatable:  c.route.IsRepeatable(),
		MayHaveRun:  c.mayHaveRun,
		AnswerBegun: c.headSent,
		Sent:        c.attemptsSent,
		Unsent:      c.attemptsUnsent,
		MaxAttempts: c.route.MaxAttempts,
		TimeLeft:    time.Until(c.deadline),
		Stopping:    c.entry.openCalls.isEnded(),
	}
}

// mayHedge reports whether the route and the retry budget allow an attempt beside the one that
// is under way.
func (c *call) mayHedge() bool {
	state := c.attemptState()
	state.Sent++
	if attempts.LimitFor(attempts.NotSent, state) != attempts.NoLimit {
		return false
	}
	return attempts.LimitFor(attempts.Lost, state) == attempts.NoLimit && c.entry.fleet.canRetry(c.service)
}

// endWithoutTarget ends a request for which no target was found.
func (c *call) endWithoutTarget(reason contract.Reason, retryAfter time.Duration) {
	switch {
	case c.r.Context().Err() != nil:
		c.recordEnd(0, contract.ReasonCallerGone, 0)
		panic(http.ErrAbortHandler)
	case c.headSent:
		c.endWithVerdict(attempts.Abort, nil)
	case c.mayHaveRun:
		c.endWithVerdict(attempts.Fail, nil)
	default:
		c.writeUnavailable(reason, retryAfter)
	}
}

// reasonUnlessStopping returns the reason for which a request ends, given that of any other end than
// one by a planned stop.
func (c *call) reasonUnlessStopping(other contract.Reason) contract.Reason {
	if c.record.limit == attempts.LimitStop {
		return contract.ReasonShuttingDown
	}
	return other
}

// endWithVerdict ends the request as verdict says. failureResp is the target's own
// response that reports a failure; only Forward uses it.
func (c *call) endWithVerdict(verdict attempts.Verdict, failureResp *bufferedResponse) {
	switch verdict {
	case attempts.Forward:
		c.writeResponse(failureResp)
	case attempts.Refuse:
		c.writeUnavailable(c.reasonUnlessStopping(contract.ReasonTargetFull), c.retryAfterRefusal())
	case attempts.Expire:
		c.writeProblem(http.StatusGatewayTimeout, contract.ReasonDeadline, 0)
	case attempts.Abort:
		c.recordEnd(0, contract.ReasonTruncatedAnswer, 0)
		c.breakOff()
	default:
		c.writeProblem(http.StatusBadGateway, c.reasonUnlessStopping(contract.ReasonTruncatedAnswer), 0)
	}
}

// retryAfterRefusal returns the time after which the caller should retry whose request targets refused.
func (c *call) retryAfterRefusal() time.Duration {
	if c.hasQueue {
		return c.entry.fleet.rankedRetryAfter(c.newWaiter(), placement.Full)
	}
	return c.entry.fleet.retryAfter(c.service, c.requirements(0), 0)
}

// breakOff ends an answer that is incomplete so that the caller does not take it for complete.
// For a caller of HTTP/1.0 the end of the connection ends the answer, so it is reset.
func (c *call) breakOff() {
	if !c.r.ProtoAtLeast(1, 1) {
		if raw, _, err := http.NewResponseController(c.w).Hijack(); err == nil {
			resetConn(raw)
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// requirements returns what a target must fulfil to get the next attempt, whose first event is due
// within limit.
func (c *call) requirements(limit time.Duration) placement.Requirements {
	req := c.targetRequirements()
	req.MinVersion = c.entry.fleet.oldestSendable(c.service, limit, c.route.IsRepeatable())
	return req
}

// targetRequirements returns what a target must fulfil to get the next attempt, except for the oldest
// version of its weights.
func (c *call) targetRequirements() placement.Requirements {
	var team []contract.RegionName
	if c.team != nil {
		team = c.team.Regions
	}
	return placement.Requirements{
		RegionAllowed: func(r contract.RegionName) bool { return catalog.RegionAllowed(r, c.route.Regions, team) },
		Tried:         c.triedTargets,
		Pinned:        c.pinnedVersion,
		PromptTokens:  c.info.PromptTokens,
		AnswerTokens:  c.info.AnswerEstimate,
		Remaining:     max(time.Until(c.deadline), 0),
	}
}

const (
	// placementInterval is the time between two tries to place an attempt.
	placementInterval = 8 * time.Millisecond
	// arrivalWaitDivisor gives the longest wait of a new request for a target with room:
	// its objective divided by arrivalWaitDivisor.
	arrivalWaitDivisor = 8
	// retryPlacementTimeout is how long a request that was sent before waits for room at
	// another target. Callers abandon a stream that pauses for about 2 s.
	retryPlacementTimeout = time.Second
)

// placeAttempt chooses a target. As long as the wait for room allows, it tries again; it
// does not wait if no target can serve the request and no response has begun, or if the
// request is known to crash targets, which may become known meanwhile. Without a target it
// returns the reason and the time after which the caller should retry, which is 0 if ctx ended.
func (c *call) placeAttempt(ctx context.Context) (placement.Choice, contract.Reason, time.Duration) {
	if c.hasQueue {
		return c.placeQueued(ctx)
	}
	until := c.arrived.Add(c.route.Objective / arrivalWaitDivisor)
	if c.attemptsSent > 0 {
		until = time.Now().Add(retryPlacementTimeout)
	}
	for {
		if refused, retryAfter := c.crashesTargets(); refused {
			return placement.Choice{}, contract.ReasonPoisonedPrompt, retryAfter
		}
		limit := c.firstEventLimit()
		req := c.requirements(limit)
		choice, refusal := c.entry.fleet.pickTarget(c.service, req, limit)
		if refusal == placement.Placed {
			return c.confirmAttempt(choice)
		}
		if time.Now().After(until) || isFinal(refusal) && (!c.headSent || req.IsOutdated()) {
			c.record.setSurvey(c.entry.fleet.surveyTargets(c.service, req, limit))
			return choice, refusalReason(refusal), c.entry.fleet.retryAfter(c.service, req, limit)
		}
		if !c.waitForTarget(ctx) {
			c.record.setSurvey(c.entry.fleet.surveyTargets(c.service, req, limit))
			return choice, refusalReason(refusal), 0
		}
	}
}

// waitForTarget waits until the next try to place an attempt. It reports false if ctx ended.
func (c *call) waitForTarget(ctx context.Context) bool {
	c.entry.fleet.addWaiting(c.service, 1)
	defer c.entry.fleet.addWaiting(c.service, -1)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(placementInterval):
		return true
	}
}

// firstEventLimit returns the time within which the first event of the next attempt is due.
func (c *call) firstEventLimit() time.Duration {
	limit := time.Until(c.deadline)
	if c.attemptsSent == 0 {
		limit = min(limit, max(c.route.Objective-time.Since(c.arrived), 0))
	}
	return limit
}

// confirmAttempt has the request sent to the chosen target, unless what it has is known to crash
// targets since.
func (c *call) confirmAttempt(choice placement.Choice) (placement.Choice, contract.Reason, time.Duration) {
	refused, retryAfter := c.checkSuspect()
	if !refused {
		return choice, "", 0
	}
	c.entry.fleet.recordInconclusive(c.service, choice.ID)
	c.entry.fleet.recordAttemptEnd(c.service, choice.ID)
	return placement.Choice{}, contract.ReasonPoisonedPrompt, retryAfter
}

// isFinal reports whether waiting for a target is of no use: none may serve the request, or
// those that may want none, or limit their rate, for longer than a request waits.
func isFinal(r placement.Refusal) bool {
	return r == placement.NoTarget || r == placement.RateShareUsed || r == placement.BackedOff
}

func refusalReason(r placement.Refusal) contract.Reason {
	switch r {
	case placement.Full:
		return contract.ReasonTargetFull
	case placement.ColdShareUsed:
		return contract.ReasonColdStart
	case placement.RateShareUsed:
		return contract.ReasonTargetLimit
	case placement.BackedOff:
		return contract.ReasonTargetBackoff
	default:
		return contract.ReasonNoTarget
	}
}

// writeResponse sends a complete response of a target to the caller. A caller that does not take it
// in time must not keep its room from the responses to others.
func (c *call) writeResponse(resp *bufferedResponse) {
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
	h := c.w.Header()
	for name, values := range resp.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if c.entry.stopping.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(resp.status)
	_ = resp.body.writeTo(c.w)
	c.record.partDelivered(time.Now())
	c.recordEnd(resp.status, "", 0)
}

// recordEnd logs and counts the end of the request.
func (c *call) recordEnd(status int, reason contract.Reason, retryAfter time.Duration) {
	c.entry.logEnd(c, status, reason, retryAfter)
}

// mayHaveRun reports whether an attempt that failed with err may have run at the target.
func mayHaveRun(err error) bool { return !errors.Is(err, errNotSent) }
