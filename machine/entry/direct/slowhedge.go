package direct

import (
	"math"
	"slices"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/entry/hedging"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// hedgeResult is what became of a hedge beside a slow target. The values are tags of a counter.
type hedgeResult string

const (
	hedgeStarted hedgeResult = "started"
	// hedgeWon hedges sent the first event before the first attempt did, hedgePromoted ones are what is
	// left after it failed.
	hedgeWon      hedgeResult = "won"
	hedgePromoted hedgeResult = "promoted"
	// hedgeCancelled hedges were ended since the first attempt answered, or the request ended.
	hedgeCancelled hedgeResult = "cancelled"
	// hedgeFailed hedges were refused by their target or brought no usable answer.
	hedgeFailed hedgeResult = "failed"
)

// hedgingState holds what decides on hedges beside slow targets. It is part of fleetState, with mu locked.
type hedgingState struct {
	settings   config.Hedging
	trackers   map[contract.ServiceName]*hedging.Tracker
	unanswered hedging.Unanswered
	// waiting counts the requests of each service that wait for a target.
	waiting map[contract.ServiceName]int
}

// setHedging replaces the settings of hedges beside slow targets. The extra attempts so far stay counted, also
// while hedges are off: the limit holds in any span of time.
func (fs *fleetState) setHedging(settings config.Hedging) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.hedging.settings = settings
	for _, t := range fs.hedging.trackers {
		t.SetExtraWork(settings.ExtraWork)
	}
}

// hedgeTracker returns what decides on the hedges of a service; nil if they are off.
func (fs *fleetState) hedgeTracker(service contract.ServiceName) *hedging.Tracker {
	extraWork := fs.hedging.settings.ExtraWork
	if extraWork <= 0 {
		return nil
	}
	t, ok := fs.hedging.trackers[service]
	if !ok {
		t = hedging.NewTracker(fs.startedAt, extraWork)
		if fs.hedging.trackers == nil {
			fs.hedging.trackers = map[contract.ServiceName]*hedging.Tracker{}
		}
		fs.hedging.trackers[service] = t
	}
	return t
}

// recordPrompt counts a request with a prompt of a size, in tokens, towards the extra work that its
// service allows.
func (fs *fleetState) recordPrompt(service contract.ServiceName, tokens float64) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if t := fs.hedgeTracker(service); t != nil {
		t.RecordRequest(time.Now(), tokens)
	}
}

// addWaiting changes the number of requests that wait for a target of a service.
func (fs *fleetState) addWaiting(service contract.ServiceName, change int) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.hedging.waiting == nil {
		fs.hedging.waiting = map[contract.ServiceName]int{}
	}
	fs.hedging.waiting[service] += change
}

// hedgeDelay returns for how long the first event of an attempt may be missing before a hedge is due. ok
// is false if there are none for the service.
func (fs *fleetState) hedgeDelay(service contract.ServiceName, a hedging.Attempt) (delay time.Duration, ok bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	t := fs.hedgeTracker(service)
	now := time.Now()
	if t == nil || !fs.pool(service).IsPaced(now) {
		return 0, false
	}
	return t.Delay(now, a), true
}

// pickHedge chooses the target of a hedge for an attempt that has waited for a time. The hedge counts as
// sent and towards its limits from then on. It needs a target with a free slot that is predicted to begin
// before the attempt and within limit.
func (fs *fleetState) pickHedge(service contract.ServiceName, a hedging.Attempt, waited time.Duration, req placement.Requirements, limit time.Duration) (placement.Choice, hedging.Refusal) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	t, pool := fs.hedgeTracker(service), fs.pool(service)
	if t == nil || !pool.IsPaced(now) {
		return placement.Choice{}, hedging.Off
	}
	if refusal := t.Check(now, a, waited, fs.hedging.waiting[service] > 0); refusal != hedging.Allowed {
		return placement.Choice{}, refusal
	}
	if fs.retryBudget(service).Remaining(now) < 1 {
		return placement.Choice{}, hedging.Budget
	}
	choice, ok := pool.PickSpare(now, req, min(t.Remaining(now, a, waited), limit))
	if !ok {
		return placement.Choice{}, hedging.NoTarget
	}
	pool.SentSized(now, choice.ID, req)
	t.TryAcquire(now)
	fs.retryBudget(service).TryAcquire(now)
	return choice, hedging.Allowed
}

// recordReplaced records an attempt that its hedge has replaced. That says nothing on the target's
// health, unless none of several attempts has been answered.
func (fs *fleetState) recordReplaced(service contract.ServiceName, x *exchange) {
	silent, id := false, x.choice.ID
	fs.withPool(service, func(now time.Time, p *placement.Pool) {
		if t := fs.hedgeTracker(service); t != nil {
			t.RecordFirstEvent(now, now.Sub(x.start))
		}
		silent = fs.hedging.unanswered.Replaced(id, x.startRunTime, p.LastReceived(id), fs.runClock.Advance(now), targetSilenceTimeout)
		if !silent {
			p.Inconclusive(id)
		}
	})
	if silent {
		fs.recordFailure(service, id, true)
	}
}

// isLessUrgent reports whether requests of a rank are less urgent than others of the service.
func (fs *fleetState) isLessUrgent(service contract.ServiceName, rank int) bool {
	m := fs.currentManifest()
	return m != nil && slices.ContainsFunc(m.Routes, func(r catalog.Route) bool {
		return r.Priority < rank && slices.ContainsFunc(r.Shares, func(s catalog.Share) bool { return s.Service == service })
	})
}

// hedgeAttempt describes the attempt for the decision on a hedge. A stream that the caller has the
// beginning of has its objective anew.
func (x *exchange) hedgeAttempt() hedging.Attempt {
	c := x.call
	a := hedging.Attempt{
		Predicted: x.choice.FirstEventDelay, Objective: c.route.Objective, PromptTokens: c.info.PromptTokens,
	}
	if !c.headSent {
		a.Spent = x.start.Sub(c.arrived)
	}
	return a
}

// scheduleHedge determines when a hedge of the current attempt is due, if there is to be one.
func (p *attemptPair) scheduleHedge() {
	c, x := p.call, p.current
	p.stopHedging()
	if !c.route.IsRepeatable() || c.route.Objective <= 0 || x.hasReceived() {
		return
	}
	delay, ok := c.entry.fleet.hedgeDelay(c.service, x.hedgeAttempt())
	if !ok {
		return
	}
	p.hedgeAfter = x.startRunTime + delay
	p.hedgeDue.Store(int64(p.hedgeAfter))
}

// stopHedging has no hedge started for the current attempt.
func (p *attemptPair) stopHedging() {
	p.hedgeAfter = math.MaxInt64
	p.hedgeDue.Store(0)
}

// untilHedge returns the time until the request is to look whether a hedge may start; checkInterval at
// most. The time is put off by checkInterval when it has come: the loop has the request look then, and
// the request looks again if it could not start one. It is called by another goroutine than that of the
// request.
func (p *attemptPair) untilHedge(runTime time.Duration) (wait time.Duration, due bool) {
	at := p.hedgeDue.Load()
	if at == 0 {
		return checkInterval, false
	}
	if wait = time.Duration(at) - runTime; wait > 0 {
		return min(wait, checkInterval), false
	}
	p.hedgeDue.CompareAndSwap(at, int64(runTime+checkInterval))
	return checkInterval, true
}

// hasReceived reports whether anything of the answer has arrived.
func (x *exchange) hasReceived() bool { return x.lastActivity.Load() != 0 }

// checkSlow starts a hedge if the first event of the current attempt is due, and the limits and the
// targets allow one.
func (p *attemptPair) checkSlow() {
	c, x := p.call, p.current
	if p.hedge != nil || len(x.parts) > 0 || x.hasReceived() || c.entry.fleet.runTime() < p.hedgeAfter {
		return
	}
	choice, refusal := p.pickHedge()
	if refusal != hedging.Allowed {
		if refusal.IsFinal() {
			p.stopHedging()
		}
		if x.hedgeRefusal != refusal {
			x.hedgeRefusal = refusal
			c.entry.meters.countHedgeRefusal(refusal)
		}
		return
	}
	p.stopHedging()
	p.setHedge(c.beginAttempt(p.ctx, choice))
	p.hedge.outpaces = true
	c.entry.logHedge(x, p.hedge, hedgeStarted)
}

// pickHedge chooses the target of a hedge of the current attempt.
func (p *attemptPair) pickHedge() (placement.Choice, hedging.Refusal) {
	c, x := p.call, p.current
	state := c.attemptState()
	state.Sent++
	if attempts.LimitFor(attempts.NotSent, state) != attempts.NoLimit || attempts.LimitFor(attempts.Lost, state) != attempts.NoLimit {
		return placement.Choice{}, hedging.Attempts
	}
	if !x.proven && !c.entry.fleet.mayHedge(c.suspect) {
		return placement.Choice{}, hedging.Suspect
	}
	a := x.hedgeAttempt()
	a.LessUrgent = c.entry.fleet.isLessUrgent(c.service, c.rank)
	limit := time.Until(c.deadline)
	return c.entry.fleet.pickHedge(c.service, a, time.Since(x.start), c.requirements(limit), limit)
}

// hedgeEnded records what became of the hedge, if it was started beside a slow target.
func (p *attemptPair) hedgeEnded(result hedgeResult) {
	if !p.hedge.outpaces {
		return
	}
	p.hedge.outpaces = false
	p.call.entry.logHedge(p.current, p.hedge, result)
}

// logHedge counts what became of a hedge beside a slow target, and logs its start and that it won.
func (e *Entry) logHedge(slow, hedge *exchange, result hedgeResult) {
	e.meters.countHedgeResult(result)
	c := hedge.call
	line := e.log.WithField("request", c.info.AttemptID).WithField("service", string(c.service)).WithField("target", string(hedge.choice.ID)).
		WithField("slow_target", string(slow.choice.ID)).WithField("attempt_ms", time.Since(slow.start).Milliseconds()).
		WithField("first_ms", hedge.choice.FirstEventDelay.Milliseconds()).WithField("ms", time.Since(c.arrived).Milliseconds())
	switch result {
	case hedgeStarted:
		line.WithField("slow_first_ms", slow.choice.FirstEventDelay.Milliseconds()).Info("hedge started")
	case hedgeWon:
		line.WithField("hedge_ms", time.Since(hedge.start).Milliseconds()).Info("hedge won")
	}
}
