package direct

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/boottime"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// pollInterval is the time between two reads of the engine's report.
	pollInterval = 200 * time.Millisecond
	// changePollInterval is the same while the engine loads weights or is about to: it serves nothing
	// until entries know that it is back.
	changePollInterval = 50 * time.Millisecond
	// ownZoneTimeout is how long a fetch asks only the entries of the target's own zone.
	ownZoneTimeout = 1500 * time.Millisecond
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
	up         bool
	// changePending reports whether a load order is imminent or has been sent, until the
	// engine has finished it or has restarted. orderedAt is when the engine accepted the
	// order, or may have, to load orderedVersion; zero if there is none.
	changePending  bool
	orderedAt      time.Time
	orderedVersion int64
	unanswered     unansweredOrder

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

// status returns the state of the engine for the heartbeats to entries; nil if entries are to go by what
// an earlier process reported.
func (r *reconciler) status() *contract.EngineStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isInherited() && time.Since(r.proof.inheritedAt) < inheritedSilence {
		return nil
	}
	s := &contract.EngineStatus{
		Address:  r.target.process.Fleet.EngineAddress,
		Born:     r.report.Born,
		Up:       r.up,
		Changing: r.changePending || r.report.Busy || r.isWithheld(),
		Layers:   uint32(min(r.report.Model.Layers, math.MaxUint32)),
		Number:   r.nextStatusNumber(),
	}
	if r.up {
		s.Version = r.loadedVersion()
	}
	if s.HasLoad = r.up && r.report.Load >= 0; s.HasLoad {
		s.Load = uint32(r.report.Load)
	}
	return s
}

// nextStatusNumber returns a number above that of the last status, also of an earlier process: the
// milliseconds of the clock, modulo 2^32, or the next number if that is not above. mu must be held.
func (r *reconciler) nextStatusNumber() uint32 {
	now := uint32(time.Now().UnixMilli())
	if r.statusNumber == 0 || int32(now-r.statusNumber) > 0 {
		r.statusNumber = now
	} else {
		r.statusNumber++
	}
	if r.statusNumber == 0 {
		r.statusNumber++
	}
	return r.statusNumber
}

// loadedVersion returns the version that the engine has loaded completely, 0 if there is
// none. Before the manifest is known, entries tell whether its layers are all. mu must be held.
func (r *reconciler) loadedVersion() int64 {
	return r.report.Model.WholeVersion(r.target.modelLayers())
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
	r.stagePieces(ctx, c)
	r.orderWhenDue(ctx, c)
}

// endChange ends the change that entries were told of if nothing is left to order: another order may have
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
		r.report, r.reportedAt = report, time.Now()
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
	return newestComplete(r.candidates, r.loadedVersion())
}

// currentPieces returns a function that returns the candidate's set of pieces, nil before
// its digests are known.
func (r *reconciler) currentPieces(c *candidate) func() *pieces.Set {
	return func() *pieces.Set {
		r.mu.Lock()
		defer r.mu.Unlock()
		return c.set
	}
}

// initPieces returns a function that returns the candidate's set of pieces, which it
// creates from the digests if there is none yet. That function fails with pieces.ErrInvalidDigests if
// they cannot be those of the model: an engine loads pieces without a digest as they are.
func (r *reconciler) initPieces(c *candidate) func([][]byte) (*pieces.Set, error) {
	return func(digests [][]byte) (*pieces.Set, error) {
		pieceCount := r.target.pieceCount()
		r.mu.Lock()
		defer r.mu.Unlock()
		if c.set != nil {
			return c.set, nil
		}
		set, err := pieces.NewSet(digests, pieceCount)
		if err != nil {
			return nil, err
		}
		c.set = set
		return set, nil
	}
}

// fetchPieces fetches the pieces of a candidate from the entries of the zone, and later
// from any entry, until the candidate is complete or no longer needed.
func (r *reconciler) fetchPieces(ctx context.Context, c *candidate, origin catalog.Origin) {
	const retryInterval = 100 * time.Millisecond
	start := time.Now()
	logger := r.log.WithField("version", c.version.String())
	defer r.markFetchFinished(c)
	for ctx.Err() == nil && r.needsFetch(c) {
		for _, id := range r.sourceEntries(c.version, origin, time.Since(start)) {
			_, err := weightcache.Fetch(ctx, r.target.peers, id, c.version, weightcache.FetchFollow, r.currentPieces(c), r.initPieces(c))
			r.target.meters.countResult("fetches", err)
			if err != nil {
				logger.WithError(err).WithField("entry", string(id)).Warn("pieces not received")
			}
			if set := r.currentPieces(c)(); set != nil && set.IsComplete() {
				logger.WithField("ms", time.Since(start).Milliseconds()).WithField("entry", string(id)).WithField("pieces", set.Len()).
					WithField("digests", set.Fingerprint()).Info("pieces received")
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryInterval):
		}
	}
}

// needsDigests reports whether the digests of a candidate are to be fetched: an earlier process had the
// engine load it. mu must be held.
func (r *reconciler) needsDigests(c *candidate) bool {
	return c.set == nil && r.isInherited() && c.version.Number == r.proof.inherited.version && time.Since(r.proof.inheritedAt) < inheritedFetchTime
}

// fetchDigests fetches the digests of a candidate from the entries that have them.
func (r *reconciler) fetchDigests(ctx context.Context, c *candidate, origin catalog.Origin) {
	defer r.markFetchFinished(c)
	for _, id := range r.sourceEntries(c.version, origin, ownZoneTimeout) {
		_, err := weightcache.Fetch(ctx, r.target.peers, id, c.version, weightcache.FetchDigests, r.currentPieces(c), r.initPieces(c))
		r.target.meters.countResult("fetches", err)
		if err != nil {
			r.log.WithError(err).WithField("version", c.version.String()).WithField("entry", string(id)).Warn("digests not received")
		}
		if r.currentPieces(c)() != nil {
			return
		}
	}
}

// needsFetch reports whether c is still a candidate and its pieces are to be fetched.
func (r *reconciler) needsFetch(c *candidate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.candidates, c) && r.fetchState(c.version).ShouldFetch()
}

// markFetchFinished records that the pieces of a candidate are no longer being fetched.
func (r *reconciler) markFetchFinished(c *candidate) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.fetching = false
}

// sourceEntries lists the linked entries to ask for pieces, in order: those of the
// target's own zone and, once the fetch has waited for ownZoneTimeout, those of other
// zones, whose pieces are sent over the links between regions.
func (r *reconciler) sourceEntries(v weightcache.Version, origin catalog.Origin, waited time.Duration) []contract.MachineID {
	ownZone := r.target.process.Zone
	ranked := weightcache.RankEntries(v, r.target.peers.Members(link.RoleEntry), origin.Zone)
	var local, remote []contract.MachineID
	for _, m := range ranked {
		switch {
		case !r.target.peers.IsLinked(m.Machine):
		case m.Zone == ownZone:
			local = append(local, m.Machine)
		default:
			remote = append(remote, m.Machine)
		}
	}
	rank, total := r.zoneRank()
	local = upgrade.OrderSources(local, rank, total)
	if waited < ownZoneTimeout {
		return local
	}
	return append(local, remote...)
}
