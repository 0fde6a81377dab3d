package direct

import (
	"time"

	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/weights/upgrade"
)

// arbitrate decides which candidates are fetched now, if there are several. The loaded version is not one
// of them: until its pieces prove that it is sound, the engine gets no requests.
func (r *reconciler) arbitrate(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var contenders []weightcache.Contender
	for _, c := range r.candidates {
		end, ok := r.target.versionEnd(c.version.Model, c.version.Number)
		contender := weightcache.Contender{Version: c.version, Transfer: &c.transfer, Set: c.set, End: end}
		if !ok || c.version.Number == r.loadedVersion() || !c.isComplete() && !r.fetchState(c.version).ShouldFetch() {
			// Alone it waits for none.
			weightcache.Arbitrate(now, []weightcache.Contender{contender}, r.logTransferEvent)
			continue
		}
		contenders = append(contenders, contender)
	}
	weightcache.Arbitrate(now, contenders, r.logTransferEvent)
}

func (r *reconciler) logTransferEvent(c weightcache.Contender, e weightcache.TransferEvent, preferred weightcache.Version) {
	logger := r.log.WithField("version", c.Version.String()).WithField("preferred", preferred.String()).WithField("pieces", heldCount(c.Set))
	switch e {
	case weightcache.TransferDeferred:
		logger.Info("fetch deferred")
		r.target.meters.countSuccession("fetch_deferred")
	case weightcache.TransferResumed:
		logger.Info("fetch resumed")
		r.target.meters.countSuccession("fetch_resumed")
	case weightcache.TransferSuperseded:
		logger.Info("fetch superseded")
		r.target.meters.countSuccession("fetch_superseded")
	}
}

// skipsForNewer reports whether a staged candidate is not loaded now, given the state of the engine,
// because a newer one is about to arrive. mu must be held.
func (r *reconciler) skipsForNewer(c *candidate, s upgrade.EngineState) bool {
	newest := r.candidates[len(r.candidates)-1]
	if newest.version.Number <= c.version.Number || newest.isComplete() {
		return false
	}
	state := upgrade.SkipState{Now: s.Now, SkippedSince: c.skippedSince, Newer: newest.transfer.Progress(s.Now, newest.set, time.Time{})}
	if s.Loaded > 0 {
		state.AllowedUntil = s.BehindSince.Add(s.Bound)
	}
	waits := state.WaitsForNewer()
	if waits == c.isSkipped {
		return waits
	}
	c.isSkipped = waits
	logger := r.log.WithField("version", c.version.String()).WithField("preferred", newest.version.String()).WithField("pieces", heldCount(newest.set))
	if !waits {
		logger.Info("load resumed")
		r.target.meters.countSuccession("load_resumed")
		return false
	}
	if c.skippedSince.IsZero() {
		c.skippedSince = s.Now
	}
	logger.Info("load deferred")
	r.target.meters.countSuccession("load_deferred")
	return true
}

// logSupersededLoads logs the candidates that were skipped for one that has arrived. mu must be held.
func (r *reconciler) logSupersededLoads(next *candidate) {
	for _, c := range r.candidates {
		if c.isSkipped && c.version.Number < next.version.Number {
			c.isSkipped = false
			r.log.WithField("version", c.version.String()).WithField("preferred", next.version.String()).Info("load superseded")
			r.target.meters.countSuccession("load_superseded")
		}
	}
}
