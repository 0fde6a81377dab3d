package direct

import (
	"context"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
)

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

// heldCount returns the number of pieces of a set, which may be nil.
func heldCount(set *pieces.Set) int {
	if set == nil {
		return 0
	}
	return set.Count()
}

// fetchPieces fetches the pieces of a candidate from the entries of the zone, and if these fail
// from any entry, until the candidate is complete or no longer needed.
func (r *reconciler) fetchPieces(ctx context.Context, c *candidate, origin catalog.Origin) {
	const retryInterval = 100 * time.Millisecond
	start := time.Now()
	logger := r.log.WithField("version", c.version.String())
	defer r.markFetchFinished(c)
	clock := newSourceClock(start)
	asksOthers := func(hasLocal bool, rank int) bool {
		return clock.state(time.Now(), heldCount(r.currentPieces(c)()), hasLocal, rank).AsksOtherZones()
	}
	for ctx.Err() == nil && r.needsFetch(c) {
		if c.transfer.IsWaiting() {
			clock.pause(time.Now())
			sleep(ctx, retryInterval)
			continue
		}
		for _, id := range r.sourceEntries(c.version, origin, asksOthers) {
			isInterrupted, err := r.fetchFrom(ctx, c, id)
			if isInterrupted {
				break
			}
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
		sleep(ctx, retryInterval)
	}
}

// fetchFrom fetches the missing pieces of a candidate from an entry. It stops, and reports that it was
// interrupted, when another candidate goes first.
func (r *reconciler) fetchFrom(ctx context.Context, c *candidate, entry contract.MachineID) (isInterrupted bool, err error) {
	fetchCtx, cancel := c.transfer.Context(ctx)
	defer cancel()
	_, err = weightcache.Fetch(fetchCtx, r.target.peers, entry, c.version, weightcache.FetchFollow, r.currentPieces(c), r.initPieces(c))
	return err != nil && ctx.Err() == nil && fetchCtx.Err() != nil, err
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
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
	// Digests are small.
	anyZone := func(bool, int) bool { return true }
	for _, id := range r.sourceEntries(c.version, origin, anyZone) {
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

// sourceEntries lists the linked entries to ask for pieces, in order: those of the target's own
// zone, and those of other zones if asksOthers says so, given whether an entry of the own zone is linked.
func (r *reconciler) sourceEntries(v weightcache.Version, origin catalog.Origin, asksOthers func(hasLocal bool, rank int) bool) []contract.MachineID {
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
	if !asksOthers(len(local) > 0, rank) {
		return local
	}
	return append(local, remote...)
}

// sourceClock measures for how long a fetch has had no piece and no linked entry in the target's zone.
type sourceClock struct {
	count             int
	pieceAt, linkedAt time.Time
}

func newSourceClock(now time.Time) *sourceClock { return &sourceClock{pieceAt: now, linkedAt: now} }

// pause has the time without a piece count from now: the fetch waits for that of another version.
func (c *sourceClock) pause(now time.Time) { c.pieceAt = now }

// state returns the state of the sources at a time when count pieces are held.
func (c *sourceClock) state(now time.Time, count int, hasLocal bool, rank int) upgrade.SourceState {
	if count != c.count {
		c.count, c.pieceAt = count, now
	}
	if hasLocal {
		c.linkedAt = now
	}
	return upgrade.SourceState{HasLocal: hasLocal, Unlinked: now.Sub(c.linkedAt), WithoutPiece: now.Sub(c.pieceAt), Rank: rank}
}
