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
	"mimosastand.example/mimosastand/zone/roster"
)

// call is one caller's request.
type call struct {
	entry   *Entry
	w       http.ResponseWriter
	r       *http.Request
	info    platform.Call
	arrived time.Time

	// manifest is the version that the request was admitted by.
	manifest int64
	route    *catalog.Route
	team     *catalog.Team
	service  contract.ServiceName
	deadline time.Time
	body     []byte

	// tried lists the targets that were sent to or could not be reached.
	tried []roster.TargetID
	// sent counts the attempts that went to a target, unsent those that did not.
	sent, unsent int
	// ran tells that some attempt may have run.
	ran bool
	// begun tells that the head of the answer has gone to the caller; last is the
	// last event that it has, version that of the weights it came from.
	begun   bool
	last    int64
	version int64
	// targetID is the target of the last attempt.
	targetID roster.TargetID
	// story is what the log tells of the request at its end.
	story story
}

// serve answers the request.
func (c *call) serve() {
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	c.entry.world.first(c.service)
	for {
		choice, reason, after := c.place(ctx)
		if reason != "" {
			c.giveUp(reason, after)
			return
		}
		outcome, answer := c.attempt(ctx, choice)
		if outcome == attempts.Completed {
			return
		}
		if c.r.Context().Err() != nil {
			c.ended(0, contract.ReasonCallerGone, 0)
			panic(http.ErrAbortHandler)
		}
		verdict := attempts.Decide(outcome, c.state())
		c.story.limit = attempts.LimitFor(outcome, c.state())
		if verdict == attempts.Retry && !c.entry.world.mayRetry(c.service) {
			verdict = attempts.FinalVerdict(outcome, c.state())
			c.story.limit = attempts.LimitBudget
		}
		if verdict != attempts.Retry && verdict != attempts.Reroute {
			c.conclude(verdict, answer)
			return
		}
		c.entry.logRetry(c, outcome)
	}
}

func (c *call) state() attempts.State {
	return attempts.State{
		Repeatable:  c.route.IsRepeatable(),
		MayHaveRun:  c.ran,
		AnswerBegun: c.begun,
		Sent:        c.sent,
		Unsent:      c.unsent,
		MaxAttempts: c.route.MaxAttempts,
		TimeLeft:    time.Until(c.deadline),
	}
}

// giveUp ends a request for which there is no target.
func (c *call) giveUp(reason contract.Reason, after time.Duration) {
	switch {
	case c.r.Context().Err() != nil:
		c.ended(0, contract.ReasonCallerGone, 0)
		panic(http.ErrAbortHandler)
	case c.begun:
		c.conclude(attempts.Abort, nil)
	case c.ran:
		c.conclude(attempts.Fail, nil)
	default:
		c.refuse(reason, after)
	}
}

// conclude gives the final answer.
func (c *call) conclude(verdict attempts.Verdict, answer *answer) {
	switch verdict {
	case attempts.Forward:
		c.passOn(answer)
	case attempts.Refuse:
		c.refuse(contract.ReasonTargetFull, c.entry.world.comeBack(c.service, c.want(), 0))
	case attempts.Expire:
		c.write(http.StatusGatewayTimeout, contract.ReasonDeadline, 0)
	case attempts.Abort:
		c.ended(0, contract.ReasonCutAnswer, 0)
		panic(http.ErrAbortHandler)
	default:
		c.write(http.StatusBadGateway, contract.ReasonCutAnswer, 0)
	}
}

// want describes the next attempt.
func (c *call) want() placement.Requirements {
	var team []contract.RegionName
	if c.team != nil {
		team = c.team.Regions
	}
	return placement.Requirements{
		RegionAllowed: func(r contract.RegionName) bool { return catalog.RegionAllowed(r, c.route.Regions, team) },
		Tried:         c.tried,
		Pinned:        c.version,
	}
}

const (
	// placeInterval is the time between two looks for room.
	placeInterval = 8 * time.Millisecond
	// arrivalPart of its objective is how long a new request waits for room.
	arrivalPart = 8
	// retryPatience is how long a request that was sent before waits for room
	// elsewhere: callers leave a stream that pauses for some two seconds.
	retryPatience = time.Second
)

// place chooses a target, waiting for a short time if all are full.
func (c *call) place(ctx context.Context) (placement.Choice, contract.Reason, time.Duration) {
	until := c.arrived.Add(c.route.Objective / arrivalPart)
	if c.sent > 0 {
		until = time.Now().Add(retryPatience)
	}
	for {
		limit := time.Until(c.deadline)
		if c.sent == 0 {
			limit = min(limit, max(c.route.Objective-time.Since(c.arrived), 0))
		}
		choice, refusal := c.entry.world.pick(c.service, c.want(), limit)
		if refusal == placement.Placed {
			return choice, "", 0
		}
		if time.Now().After(until) || refusal == placement.NoTarget && !c.begun {
			c.story.noRoom(c.entry.world.survey(c.service, c.want(), limit))
			return choice, reasonOf(refusal), c.entry.world.comeBack(c.service, c.want(), limit)
		}
		select {
		case <-ctx.Done():
			c.story.noRoom(c.entry.world.survey(c.service, c.want(), limit))
			return choice, reasonOf(refusal), 0
		case <-time.After(placeInterval):
		}
	}
}

func reasonOf(r placement.Refusal) contract.Reason {
	switch r {
	case placement.Full:
		return contract.ReasonTargetFull
	case placement.ColdShareUsed:
		return contract.ReasonColdStart
	default:
		return contract.ReasonNoTarget
	}
}

// attempt sends the request to a target and passes its answer on.
func (c *call) attempt(ctx context.Context, choice placement.Choice) (attempts.Outcome, *answer) {
	w := c.entry.world
	c.tried = append(c.tried, choice.ID)
	c.targetID = choice.ID
	c.entry.logPlaced(c, choice)
	w.sent(c.service, choice.ID)
	defer w.ended(c.service, choice.ID)
	x := newExchange(c, choice)
	c.story.placed(choice, x.start)
	c.entry.meters.placed.RecordDuration(x.start.Sub(c.arrived))
	outcome, answer := x.run(ctx)
	c.story.attempted(time.Now(), outcome, x.broke, x.err)
	c.entry.meters.attempted(outcome)
	switch outcome {
	case attempts.NotSent:
		c.unsent++
		w.failed(c.service, choice.ID, false)
	case attempts.NotRun:
		c.sent++
		w.refused(c.service, choice.ID, x.misdirected)
	case attempts.Failed:
		c.sent++
		c.ran = true
		w.failed(c.service, choice.ID, false)
	case attempts.Lost:
		c.sent++
		c.ran = true
		if ctx.Err() == nil || x.silent {
			w.failed(c.service, choice.ID, x.silent)
		}
	default:
		c.sent++
	}
	return outcome, answer
}

// passOn sends a target's whole answer to the caller.
func (c *call) passOn(a *answer) {
	h := c.w.Header()
	for name, values := range a.header {
		h[name] = values
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil
	}
	if c.entry.stopping.Load() {
		h.Set("Connection", "close")
	}
	c.w.WriteHeader(a.status)
	_, _ = c.w.Write(a.body)
	c.story.delivered(time.Now())
	c.ended(a.status, "", 0)
}

// ended logs how the request ended.
func (c *call) ended(status int, reason contract.Reason, after time.Duration) {
	c.entry.logEnd(c, status, reason, after)
}

// isLost reports whether an error means that an attempt may have run.
func isLost(err error) bool { return !errors.Is(err, errNotSent) }
