package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

// noTargetRetryAfter is the time after which a target is expected while none can serve
// the request: a target that starts without weights has them after about this time.
const noTargetRetryAfter = 2 * time.Second

// randomFloat returns a random number in [0, 1).
func (fs *fleetState) randomFloat() float64 {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.rng.Float64()
}

// pickTarget chooses a target for an attempt whose first event is due within limit. The
// attempt counts as sent from now on, until recordAttemptEnd: two requests that choose at the
// same time must not both use up the last of a share.
func (fs *fleetState) pickTarget(service contract.ServiceName, req placement.Requirements, limit time.Duration) (placement.Choice, placement.Refusal) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	choice, refusal := fs.pool(service).Pick(now, req, limit)
	if refusal == placement.Placed {
		fs.pool(service).SentSized(now, choice.ID, req)
	}
	return choice, refusal
}

// retryAfter counts a refused caller and returns the time after which it should retry,
// spread so that callers refused together do not return together.
func (fs *fleetState) retryAfter(service contract.ServiceName, req placement.Requirements, limit time.Duration) time.Duration {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	wait, ok := fs.pool(service).PredictWait(now, req, limit)
	if !ok {
		wait = noTargetRetryAfter
	}
	estimator := fs.returnEstimator(service)
	estimator.RecordRefused(now)
	return estimator.RetryAfter(now, wait, fs.rng.Float64())
}

// surveyTargets returns why a request finds no target.
func (fs *fleetState) surveyTargets(service contract.ServiceName, req placement.Requirements, limit time.Duration) placement.Survey {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.pool(service).Survey(time.Now(), req, limit)
}

// expectedVersion returns the version of weights that an attempt insists on; 0 for any, if none is known.
// That is pinned if set, otherwise the newer of the oldest allowed version and held, the
// version that the target is known to hold. A target refuses an attempt that expects
// another version than it holds: it may have loaded one since that is not known to be sound.
func (fs *fleetState) expectedVersion(service contract.ServiceName, pinned, held int64) int64 {
	if pinned != 0 {
		return pinned
	}
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return max(fs.oldestBeginning(service), held)
}

// keepsIdleConns reports whether connections to the service's targets are kept between
// attempts.
func (fs *fleetState) keepsIdleConns(service contract.ServiceName) (keeps bool) {
	fs.withPool(service, func(_ time.Time, p *placement.Pool) { keeps = p.KeepsIdleConns() })
	return keeps
}

// recordRequest counts a request towards the service's retry budget.
func (fs *fleetState) recordRequest(service contract.ServiceName) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.retryBudget(service).RecordRequest(time.Now())
}

// canRetry reports whether the service's retry budget allows a retry.
func (fs *fleetState) canRetry(service contract.ServiceName) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.retryBudget(service).Remaining(time.Now()) >= 1
}

// takeRetry takes one retry from the service's retry budget and reports whether the
// budget allowed it.
func (fs *fleetState) takeRetry(service contract.ServiceName) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.retryBudget(service).TryAcquire(time.Now())
}

// withPool calls f with the service's pool while mu is locked.
func (fs *fleetState) withPool(service contract.ServiceName, f func(now time.Time, p *placement.Pool)) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	f(time.Now(), fs.pool(service))
}

func (fs *fleetState) recordAttemptEnd(service contract.ServiceName, id roster.TargetID) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) {
		p.Ended(id)
		fs.slotFreed(now, service)
	})
}

// runTime returns for how long the process has run; time in which it stood still does not
// count.
func (fs *fleetState) runTime() time.Duration {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.runClock.Advance(time.Now())
}

// recordActivity records that a target sent something. It returns the run time of the
// process.
func (fs *fleetState) recordActivity(service contract.ServiceName, id roster.TargetID) (runTime time.Duration) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) {
		runTime = fs.runClock.Advance(now)
		p.Received(runTime, id)
	})
	return runTime
}

// lastActivity returns the run time of the process at which a target last sent something.
func (fs *fleetState) lastActivity(service contract.ServiceName, id roster.TargetID) (runTime time.Duration) {
	fs.withPool(service, func(_ time.Time, p *placement.Pool) { runTime = p.LastReceived(id) })
	return runTime
}

func (fs *fleetState) recordReportedLoad(service contract.ServiceName, id roster.TargetID, requests int) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) { p.LoadReported(now, id, requests) })
}

// recordPace records the pace in percent that a target reported with an answer.
func (fs *fleetState) recordPace(service contract.ServiceName, id roster.TargetID, percent float64) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) { p.PaceAnswered(now, id, percent) })
}

// recordResponse records that the first event of an attempt, or its complete response if it is no stream,
// arrived after delay.
func (fs *fleetState) recordResponse(service contract.ServiceName, choice placement.Choice, delay time.Duration) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) {
		p.Answered(now, choice.ID, delay)
		fs.returnEstimator(service).RecordServed(now)
	})
}

// recordDelay records the delay that recordResponse has, for later predictions and hedges.
func (fs *fleetState) recordDelay(service contract.ServiceName, choice placement.Choice, delay time.Duration) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) {
		p.PredictionObserved(now, choice, delay)
		if t := fs.hedgeTracker(service); t != nil {
			t.RecordFirstEvent(now, delay)
		}
	})
}

func (fs *fleetState) recordRefusal(service contract.ServiceName, id roster.TargetID, misdirected bool) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) {
		if misdirected {
			p.Misdirected(now, id)
			return
		}
		p.Refused(now, id)
	})
}

// recordInconclusive records an attempt whose end says nothing about the target's health.
func (fs *fleetState) recordInconclusive(service contract.ServiceName, id roster.TargetID) {
	fs.withPool(service, func(_ time.Time, p *placement.Pool) { p.Inconclusive(id) })
}

func (fs *fleetState) recordFailure(service contract.ServiceName, id roster.TargetID, silent bool) {
	fs.withPool(service, func(now time.Time, p *placement.Pool) {
		if p.Failed(now, id, silent) {
			fs.log.WithField("target", string(id)).WithField("silent", silent).Warn("target ejected")
		}
	})
}
