package direct

import (
	"context"
	"strconv"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/contention"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	// lateWaitDivisor gives how long a request waits whose caller was refused before: the time that
	// its caller has left, divided by lateWaitDivisor.
	lateWaitDivisor = 4
	// minTimeSpent is the least time that a refused caller has spent when it returns: part of the
	// shortest Retry-After. A first call may have a little less time left than its route gives.
	minTimeSpent = 100 * time.Millisecond
	// maxReturnDivisor bounds the time after which refused callers are told to return: they wait for
	// a third of the time that they have left, at most.
	maxReturnDivisor = 3
	// dispatchInterval is the time between two looks at a queue for what comes with time alone,
	// such as the end of a target's cold start.
	dispatchInterval = 50 * time.Millisecond
	// minDispatchInterval is the least time between two looks at a queue since the loads changed
	// that peers report: a heartbeat may arrive every few milliseconds.
	minDispatchInterval = 10 * time.Millisecond
	// maxRank is the greatest rank that targets and metrics are told.
	maxRank = 9
)

// refusalKind is why a request of a ranked service found no target. The values are names in metrics.
type refusalKind string

const (
	// refusedNoTime requests were refused on arrival, since they would have started too late.
	refusedNoTime refusalKind = "no_time"
	// refusedDisplaced requests made room for more urgent ones.
	refusedDisplaced refusalKind = "displaced"
	// refusedExpired requests found no room while they could wait.
	refusedExpired refusalKind = "expired"
	// refusedNoTarget requests could not have been placed by waiting.
	refusedNoTarget refusalKind = "no_target"
	// refusedEnded requests ended while they waited, by their deadline or their caller.
	refusedEnded refusalKind = "ended"
)

// waiter is a request that needs a target of a ranked service.
type waiter struct {
	service contract.ServiceName
	request contention.Request
	// requirements are those of the request but for the oldest version of the weights, which
	// depends on the time.
	requirements placement.Requirements
	repeatable   bool
	// begun is set if the caller has the beginning of the answer.
	begun bool
	// due is when the first event is due, deadline that of the caller.
	due, deadline time.Time
	// queued is the place in the queue while the request waits.
	queued *contention.Waiting[*waiter]
	// done receives the result of a request that waits.
	done chan waitResult
}

// waitResult is what becomes of a request that needs a target. kind is empty if choice is set.
type waitResult struct {
	choice  placement.Choice
	refusal placement.Refusal
	kind    refusalKind
}

// rankedService is what an entry keeps for a ranked service.
type rankedService struct {
	queue   contention.Queue[*waiter]
	returns retry.ReturnPlan
	// dispatchedAt is when waiting requests were last tried because of what a peer reported;
	// ticking is set while a timer is to try them.
	dispatchedAt time.Time
	ticking      bool
}

// hasQueue reports whether requests of a service wait in a queue, and entries share the slots of its
// targets: if it is ranked and its targets are model engines whose load is known later than it changes.
func hasQueue(m *catalog.Manifest, name contract.ServiceName) bool {
	s := m.Service(name)
	return s != nil && s.Engine != nil && s.Engine.PrefillRate > 0 && m.IsRanked(name)
}

func (fs *fleetState) rankedService(name contract.ServiceName) *rankedService {
	s, ok := fs.ranked[name]
	if !ok {
		s = &rankedService{}
		fs.ranked[name] = s
	}
	return s
}

// sharesSlots reports whether the settings turn on slot shares and queues.
func (e *Entry) sharesSlots() bool {
	return e.process != nil && e.process.Fleet != nil && e.process.Fleet.SharesSlots
}

// updateSlotShares has the services with queues share the slots of their targets among the entries
// that run, and the others not.
func (fs *fleetState) updateSlotShares() {
	for i := range fs.manifest.Services {
		name := fs.manifest.Services[i].Name
		if fs.process.Fleet.SharesSlots && hasQueue(fs.manifest, name) {
			fs.pool(name).ShareSlots(fs.process.Machine, fs.runningEntries)
		} else {
			fs.pool(name).ShareSlots("", nil)
		}
	}
}

// setRunningEntries replaces the entries that run, which own the slots of targets.
func (fs *fleetState) setRunningEntries(entries []contract.MachineID) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.runningEntries = append([]contract.MachineID{}, entries...)
	if fs.manifest != nil {
		fs.updateSlotShares()
	}
}

// placeQueued chooses a target for an attempt of a ranked service, as placeAttempt does for others.
// Without room the request waits in the queue of its service.
func (c *call) placeQueued(ctx context.Context) (placement.Choice, contract.Reason, time.Duration) {
	if refused, retryAfter := c.crashesTargets(); refused {
		return placement.Choice{}, contract.ReasonPoisonedPrompt, retryAfter
	}
	w := c.newWaiter()
	start := time.Now()
	result, waits := c.entry.fleet.enter(w)
	if waits {
		c.entry.meters.countQueued(c.rank)
		result = c.entry.fleet.await(ctx, w)
		c.record.queueTime += time.Since(start)
		c.entry.meters.countDequeued(c.rank, result.kind, time.Since(start))
	}
	if result.kind == "" {
		return c.confirmAttempt(result.choice)
	}
	c.entry.meters.countRankRefusal(c.rank, result.kind)
	limit := w.limit(time.Now())
	c.record.setSurvey(c.entry.fleet.surveyTargets(c.service, c.requirements(limit), limit))
	if ctx.Err() != nil {
		return result.choice, refusalReason(result.refusal), 0
	}
	return result.choice, refusalReason(result.refusal), c.entry.fleet.rankedRetryAfter(w, result.refusal)
}

// newWaiter describes the request to the queue of its service.
func (c *call) newWaiter() *waiter {
	now := time.Now()
	w := &waiter{
		service: c.service, repeatable: c.route.IsRepeatable(), begun: c.headSent,
		requirements: c.targetRequirements(), due: c.deadline, deadline: c.deadline, done: make(chan waitResult, 1),
	}
	w.request = contention.Request{Rank: c.rank, Class: c.route.Name + "/" + strconv.Itoa(c.rank)}
	if c.team != nil {
		w.request.Team = c.team.Name
		w.request.Class += "/" + string(c.team.Name)
	}
	timeLeft := c.deadline.Sub(now)
	due := c.arrived.Add(c.route.Objective - c.timeSpent())
	startBy := due.Add(-c.entry.fleet.slotDelay(c.service))
	switch {
	case c.attemptsSent > 0:
		// What the request was sent to before excludes targets for it alone.
		w.request.Resent, w.request.Class = true, c.info.AttemptID
		w.request.StartBy = now.Add(min(retryPlacementTimeout, timeLeft))
	case c.timeSpent() > 0 && startBy.Before(now):
		w.request.Late, w.request.Class = true, w.request.Class+"/late"
		w.request.StartBy = now.Add(timeLeft / lateWaitDivisor)
	default:
		w.request.StartBy = startBy
		if due.Before(w.due) {
			w.due = due
		}
	}
	return w
}

// timeSpent returns how long ago the caller made its first call if it was refused before: it has less
// time left then than its route gives. It is 0 for a first call.
func (c *call) timeSpent() time.Duration {
	spent := routeTimeout(c.route) - c.info.Timeout
	if c.info.Timeout <= 0 || spent < minTimeSpent {
		return 0
	}
	return spent
}

// limit returns the time within which the first event is due.
func (w *waiter) limit(now time.Time) time.Duration { return max(w.due.Sub(now), 0) }

// slotDelay predicts the time to the first event of an attempt on a free slot of a service.
func (fs *fleetState) slotDelay(service contract.ServiceName) (delay time.Duration) {
	fs.withPool(service, func(_ time.Time, p *placement.Pool) { delay = p.SlotDelay() })
	return delay
}

// enter places a request, refuses it or has it wait. result is that of one that does not wait.
func (fs *fleetState) enter(w *waiter) (result waitResult, waits bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	result.refusal = placement.Full
	rate := func() float64 { return fs.pool(w.service).SlotRate(now, w.requirements) }
	queued, verdict, displaced := fs.rankedService(w.service).queue.Arrive(now, w.request, w, rate, func(_ *contention.Waiting[*waiter], spare int) contention.Outcome {
		outcome, placed := fs.tryPlace(now, w, spare)
		result = placed
		return outcome
	})
	for _, d := range displaced {
		d.Value.done <- waitResult{refusal: placement.Full, kind: refusedDisplaced}
	}
	switch verdict {
	case contention.Queued:
		w.queued = queued
		fs.tick(w.service)
		return waitResult{}, true
	case contention.Refused:
		result.kind = refusedNoTime
	case contention.Dropped:
		result.kind = refusedNoTarget
	}
	return result, false
}

// tryPlace chooses a target for a request if one has room and spare own slots stay free.
func (fs *fleetState) tryPlace(now time.Time, w *waiter, spare int) (contention.Outcome, waitResult) {
	req, limit := w.requirements, w.limit(now)
	req.Spare = spare
	req.MinVersion = fs.oldestSendableLocked(w.service, limit, w.repeatable)
	choice, refusal := fs.pool(w.service).Pick(now, req, limit)
	switch {
	case refusal == placement.Placed:
		fs.pool(w.service).Sent(now, choice.ID)
		return contention.Started, waitResult{choice: choice}
	case isFinal(refusal) && (!w.begun || req.IsOutdated()):
		return contention.Ended, waitResult{refusal: refusal, kind: refusedNoTarget}
	default:
		return contention.NoRoom, waitResult{refusal: refusal}
	}
}

// dispatch tries to place the requests of a service that wait.
func (fs *fleetState) dispatch(now time.Time, service contract.ServiceName) {
	s, ok := fs.ranked[service]
	if !ok || s.queue.Len() == 0 {
		return
	}
	rate := func() float64 { return fs.pool(service).SlotRate(now, placement.Requirements{}) }
	s.queue.Dispatch(now, rate, func(q *contention.Waiting[*waiter], spare int) contention.Outcome {
		outcome, result := fs.tryPlace(now, q.Value, spare)
		if outcome != contention.NoRoom {
			q.Value.done <- result
		}
		return outcome
	})
}

// dispatchReported tries to place waiting requests after a peer has reported loads.
func (fs *fleetState) dispatchReported(now time.Time) {
	for name, s := range fs.ranked {
		if s.queue.Len() > 0 && now.Sub(s.dispatchedAt) >= minDispatchInterval {
			s.dispatchedAt = now
			fs.dispatch(now, name)
		}
	}
}

// slotFreed counts the end of an attempt of a ranked service, and places the next request.
func (fs *fleetState) slotFreed(now time.Time, service contract.ServiceName) {
	if s, ok := fs.ranked[service]; ok {
		s.queue.RecordEnd(now)
		fs.dispatch(now, service)
	}
}

// tick has a service's queue looked at every dispatchInterval while requests wait.
func (fs *fleetState) tick(service contract.ServiceName) {
	s := fs.rankedService(service)
	if s.ticking {
		return
	}
	s.ticking = true
	time.AfterFunc(dispatchInterval, func() {
		fs.mu.Lock()
		defer fs.mu.Unlock()
		s.ticking = false
		fs.dispatch(time.Now(), service)
		if s.queue.Len() > 0 {
			fs.tick(service)
		}
	})
}

// await waits until a request is placed or refused, as long as it may wait.
func (fs *fleetState) await(ctx context.Context, w *waiter) waitResult {
	timer := time.NewTimer(time.Until(w.request.StartBy))
	defer timer.Stop()
	kind := refusedExpired
	select {
	case result := <-w.done:
		return result
	case <-ctx.Done():
		kind = refusedEnded
	case <-timer.C:
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.rankedService(w.service).queue.Remove(w.queued) {
		return waitResult{refusal: placement.Full, kind: kind}
	}
	return <-w.done
}

// rankedRetryAfter returns the time after which a refused caller of a ranked service should retry: when
// room is predicted for its rank, after those that were refused before.
func (fs *fleetState) rankedRetryAfter(w *waiter, refusal placement.Refusal) time.Duration {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	s, p := fs.rankedService(w.service), fs.pool(w.service)
	rate := p.SlotRate(now, w.requirements)
	wait := s.queue.PredictWait(now, w.request, rate)
	if isFinal(refusal) {
		var ok bool
		if wait, ok = p.PredictWait(now, w.requirements, w.limit(now)); !ok {
			wait = noTargetRetryAfter
		}
	}
	limit := max(w.deadline.Sub(now)/maxReturnDivisor, 0)
	return s.returns.RetryAfter(now, w.request.Rank, wait, s.queue.LateRate(now, rate), limit, fs.rng.Float64())
}
