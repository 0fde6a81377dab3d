package direct

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/internal/boottime"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// pollInterval is the time between two reads of the engine's report.
	pollInterval = 200 * time.Millisecond
	// changePollInterval is the same while the engine loads weights or is about to: it serves nothing
	// until entries know that it is back.
	changePollInterval = 50 * time.Millisecond
	// maxReportAge is the age of the engine's last report from which on the engine gets no requests: what
	// it has done since is not known, for example while the process waits in a call to it or stood still.
	maxReportAge = 800 * time.Millisecond
	// orderReportLag is how long after a load order the engine's report may not show the
	// order yet.
	orderReportLag = 600 * time.Millisecond
)

// reconciler keeps the weights of one engine up to date: it polls the engine, fetches the
// pieces of newer versions, stages them at the engine and orders it to load them.
type reconciler struct {
	target *Target
	engine *platform.EngineClient
	log    log.Interface
	// bootTime returns the time since the machine was booted, including the time for which it was
	// suspended.
	bootTime func() time.Duration

	mu sync.Mutex
	// report is the engine's last report, received at reportedAt; up reports whether the
	// engine answered the last poll.
	report     platform.Report
	reportedAt time.Time
	// reportedBoot is the boot time then.
	reportedBoot time.Duration
	up           bool
	// changePending reports whether a load order is imminent or has been sent, until the
	// engine has finished it or has restarted. orderedAt is when the engine accepted the
	// order, or may have, to load orderedVersion; zero if there is none.
	changePending  bool
	orderedAt      time.Time
	orderedVersion int64
	unanswered     unansweredOrder
	// refusedAt is when the engine last refused an order since its state was another: it may have accepted
	// one that its report does not show yet.
	refusedAt time.Time

	// candidates lists the versions that the engine should load, oldest first.
	candidates []*candidate
	// staged is what the engine's staging area holds.
	staged stagingArea

	proof proof

	// statusNumber is the number of the last status.
	statusNumber uint32
}

func newReconciler(t *Target) *reconciler {
	return &reconciler{
		target:   t,
		engine:   platform.NewEngineClient(t.process.Fleet.EngineAddress),
		log:      logs.NewLogger("reconciler", t.process.Machine),
		bootTime: boottime.Now,
	}
}

// loadedVersion returns the version that the engine has loaded completely, 0 if there is
// none. Before the manifest is known, entries tell whether its layers are all. mu must be held.
func (r *reconciler) loadedVersion() int64 {
	return r.report.Model.WholeVersion(r.target.modelLayers())
}

// refreshReport polls the engine unless its last report is recent. It is called between calls to the engine
// of which there may be many.
func (r *reconciler) refreshReport(ctx context.Context) {
	r.mu.Lock()
	age := time.Since(r.reportedAt)
	r.mu.Unlock()
	if age >= pollInterval {
		r.pollEngine(ctx)
	}
}

// lastReport returns the engine's last report.
func (r *reconciler) lastReport() platform.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.report
}

// isUnreported reports whether the engine has sent no report yet.
func (r *reconciler) isUnreported() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.reportedAt.IsZero()
}

// servedVersion returns the version that the engine serves, 0 if none: weights that are not known to be
// sound serve no requests. mu must be held.
func (r *reconciler) servedVersion() int64 {
	if r.isWithheld() {
		return 0
	}
	return r.loadedVersion()
}

// run calls reconcile at intervals until ctx ends.
func (r *reconciler) run(ctx context.Context) {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		r.reconcile(ctx)
		timer.Reset(r.nextPollDelay())
	}
}

// nextPollDelay returns the time until the engine is polled again.
func (r *reconciler) nextPollDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up && (r.changePending || r.report.Busy || r.isWithheld()) {
		return changePollInterval
	}
	return pollInterval
}

// reconcile polls the engine and takes the next steps towards the desired version.
func (r *reconciler) reconcile(ctx context.Context) {
	r.pollEngine(ctx)
	version, origin, ok := r.target.desiredVersion()
	if !ok {
		return
	}
	r.updateCandidates(ctx, version, origin)
	r.arbitrate(time.Now())
	if r.unloadPart(ctx, version.Model) {
		return
	}
	if r.voidUnansweredOrder(ctx, version.Model) {
		return
	}
	r.proveLoaded(ctx)
	c := r.nextCandidate()
	if c == nil {
		r.endChange()
		return
	}
	if !r.mayStage() {
		return
	}
	r.stagePieces(ctx, c)
	r.orderWhenDue(ctx, c)
}

// mayStage reports whether pieces may be staged now. What is staged later than the engine accepts an order
// hides what it has loaded: so an order must show in the engine's report and be proved before, and
// weights that an earlier process had loaded must have been looked at, if that is possible soon.
func (r *reconciler) mayStage() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	isShown := r.proof.answered.born != r.report.Born || r.proof.answered.orders <= r.report.Orders || time.Since(r.orderedAt) >= orderReportLag
	isLookedAt := !r.isInherited() || time.Since(r.proof.inheritedAt) >= inheritedLookTime
	return isShown && isLookedAt && time.Since(r.refusedAt) >= orderReportLag
}

// endChange ends the change that entries were notified of if nothing is left to order: another order may have
// loaded the version that this process wanted.
func (r *reconciler) endChange() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.up && r.orderedAt.IsZero() {
		r.changePending = false
	}
}

// pollEngine reads the engine's report, and reports whether the engine answered. It sends heartbeats at
// once if the engine's state has changed.
func (r *reconciler) pollEngine(ctx context.Context) (isUp bool) {
	report, err := r.engine.Report(ctx)
	isFirst := r.isUnreported()
	previous, wasUp, current, isUp := r.recordReport(report, err == nil)
	if wasUp == isUp && (!isUp || sameEngineState(previous, current)) {
		return isUp
	}
	r.logReport(current, isUp, isFirst)
	r.target.peers.SendHeartbeats()
	return isUp
}

// recordReport stores the report if the engine answered; otherwise the last report stays.
// It returns the report and whether the engine was up, as known before and now.
func (r *reconciler) recordReport(report platform.Report, answered bool) (previous platform.Report, wasUp bool, current platform.Report, isUp bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, wasUp = r.report, r.up
	r.up = answered
	if answered {
		isFirst := r.reportedAt.IsZero()
		r.report, r.reportedAt, r.reportedBoot = report, time.Now(), r.bootTime()
		r.proof.observe(r.state(), report.Busy, isFirst)
		if report.Born != previous.Born || r.orderFinished() {
			r.changePending, r.orderedAt = false, time.Time{}
		}
	}
	return previous, wasUp, r.report, r.up
}

// orderFinished reports whether the last load order is over: the engine is not busy, and has loaded
// what was ordered, or the report has had the time to show the order. mu must be held.
func (r *reconciler) orderFinished() bool {
	if r.orderedAt.IsZero() || r.report.Busy {
		return false
	}
	return r.loadedVersion() == r.orderedVersion || time.Since(r.orderedAt) > orderReportLag
}

// sameEngineState reports whether two reports show the same orders and weights.
func sameEngineState(a, b platform.Report) bool {
	return a.Born == b.Born && a.Orders == b.Orders && a.Busy == b.Busy && a.Model == b.Model
}

// updateCandidates adds the newest version to the candidates and starts to fetch the
// pieces that are missing. A loaded version stays one until it is proved: until then the engine gets
// no requests.
func (r *reconciler) updateCandidates(ctx context.Context, v weightcache.Version, origin catalog.Origin) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.candidates
	r.candidates = addCandidate(previous, v)
	if loaded := r.newestOrdered(); r.up && loaded > 0 && r.isUnproved() {
		r.candidates = keepCandidate(r.candidates, previous, weightcache.Version{Model: v.Model, Number: loaded})
	}
	for _, c := range r.candidates {
		if c.fetching || c.isComplete() {
			continue
		}
		switch {
		case r.fetchState(c.version).ShouldFetch():
			c.fetching = true
			go r.fetchPieces(ctx, c, origin)
		case r.needsDigests(c):
			c.fetching = true
			go r.fetchDigests(ctx, c, origin)
		}
	}
}

// fetchState returns what decides whether the pieces of a version are to be fetched. mu
// must be held.
func (r *reconciler) fetchState(v weightcache.Version) upgrade.FetchState {
	return upgrade.FetchState{
		Up:        r.up,
		Loaded:    r.loadedVersion(),
		Desired:   v.Number,
		HasBeenUp: r.report.Born != 0,
		Returned:  r.target.peers.HasPreviousRun(),
		Unproved:  r.isWithheld(),
	}
}

// nextCandidate returns the candidate to load next, or nil if there is none or the engine
// is down.
func (r *reconciler) nextCandidate() *candidate {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.up {
		return nil
	}
	next := newestComplete(r.candidates, r.loadedVersion())
	if next != nil {
		r.logSupersededLoads(next)
	}
	return next
}
