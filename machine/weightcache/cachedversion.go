package weightcache

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
)

const (
	// stallTimeout is how long an entry waits without progress before it requests and
	// downloads pieces itself. Entries of higher rank wait stallTimeoutPerRank longer for
	// each rank up to maxStallRank, so that they do not all start at once.
	stallTimeout        = 1200 * time.Millisecond
	stallTimeoutPerRank = 100 * time.Millisecond
	maxStallRank        = 20
	// readerTimeoutStep is how long the second entry of a zone relies on the reader without
	// getting a piece, and how much longer each further one does: if all took over at once, their
	// copies would saturate the links between regions.
	readerTimeoutStep = 2500 * time.Millisecond
	// neighbourInterval is how long an entry gets no piece from its parent until it asks another
	// entry of the zone for those that it holds, and the time between two such requests.
	neighbourInterval = 600 * time.Millisecond
	// followTimeout is how long an entry follows a neighbour until it looks for a better one: the
	// neighbour may be on a slow link.
	followTimeout = 5 * time.Second
	// firstReadTimeout is how long an entry waits for the first read of the store before it
	// may download.
	firstReadTimeout = 400 * time.Millisecond
	// maxPeersPerRound is how many entries are requested in one round to send the pieces
	// that they hold.
	maxPeersPerRound = 6
	// retryDelay is the time between attempts after a failure.
	retryDelay = 150 * time.Millisecond
)

// cachedVersion is a version whose pieces are held or being fetched.
type cachedVersion struct {
	cache *Cache
	id    Version
	// ctx ends when the work on the version ends.
	ctx context.Context
	// cancel ends the work on the version. endWait ends the wait for pieces that others
	// read or download.
	cancel, endWait context.CancelFunc
	// transfer tells whether the version waits while another one of the model goes first: it is not
	// downloaded then. What the store and other entries hold arrives nonetheless, unless the version is
	// superseded: the links between entries carry several times what the origin sends.
	transfer Transfer
	// isFront reports whether this entry last tried to download by its rank.
	isFront atomic.Bool

	mu  sync.Mutex
	set *pieces.Set
	// downloadRequestedAt is when another entry last requested this one to download.
	downloadRequestedAt time.Time
	// digestsKnown is closed when the digests are known.
	digestsKnown chan struct{}
	// storedDigests is the newest list of digests in the store that was read.
	storedDigests [][]byte
	// stored flags the pieces that are known to be in the store, in its era storedEra.
	// appendedEnd is the offset after the last of them.
	stored                 []bool
	storedEra, appendedEnd int64
	// unverified holds the records of pieces that were read before the digests were known, by key, and
	// unverifiedBytes is their size.
	unverified      map[string]contract.Record
	unverifiedBytes int
	// nextOffset is the offset of the next read, in the era readEra of the store. They are
	// used without a lock: by readStore, and once that has returned by backfillStore, which
	// holds backfillMu.
	nextOffset, readEra int64
	backfillMu          sync.Mutex

	pendingMu sync.Mutex
	// pending holds the records that are still to be appended. The append of the first one
	// is in progress.
	pending []contract.Record
}

// currentSet returns the set of pieces, or nil while the digests are unknown.
func (cv *cachedVersion) currentSet() *pieces.Set {
	cv.mu.Lock()
	defer cv.mu.Unlock()
	return cv.set
}

// initSet creates the set of pieces from the digests, unless it exists, and returns it. It fails with
// pieces.ErrInvalidDigests if they cannot be those of the model.
func (cv *cachedVersion) initSet(digests [][]byte) (*pieces.Set, error) {
	pieceCount := cv.cache.pieceCount(cv.id.Model)
	cv.mu.Lock()
	defer cv.mu.Unlock()
	if cv.set != nil {
		return cv.set, nil
	}
	set, err := pieces.NewSet(digests, pieceCount)
	if err != nil {
		return nil, err
	}
	cv.set = set
	cv.stored = make([]bool, len(digests))
	close(cv.digestsKnown)
	return set, nil
}

func (cv *cachedVersion) log() log.Interface {
	return cv.cache.opts.Log.WithField("version", cv.id.String())
}

// fetchAll gets the pieces until the version is complete. Until waitCtx ends it waits for
// others to read or download them.
func (cv *cachedVersion) fetchAll(ctx, waitCtx context.Context) {
	start := time.Now()
	cv.waitForMembers(ctx)
	cv.log().WithField("rank", cv.cache.rankOf(cv.id)).Info("weights wanted")
	downloadCtx, stopDownload := context.WithCancel(ctx)
	ready := make(chan struct{})
	var download sync.WaitGroup
	defer download.Wait()
	defer stopDownload()
	download.Go(func() { cv.downloadWhenAllowed(downloadCtx, ready) })
	cv.fetchFromZone(waitCtx)
	readCtx, stopReading := context.WithCancel(ctx)
	defer stopReading()
	firstRead := make(chan struct{})
	var reads sync.WaitGroup
	reads.Go(func() { cv.readStore(readCtx, firstRead) })
	// Pieces that an earlier run has stored need not be downloaded again.
	select {
	case <-firstRead:
	case <-time.After(firstReadTimeout):
	case <-ctx.Done():
	}
	cv.waitForProgress(waitCtx)
	cv.fetchMissing(ctx, ready)
	stopDownload()
	if !cv.isComplete() {
		return
	}
	set := cv.currentSet()
	cv.log().WithField("ms", time.Since(start).Milliseconds()).WithField("pieces", set.Len()).WithField("digests", set.Fingerprint()).Info("weights whole")
	stopReading()
	reads.Wait()
	cv.backfillStore(ctx)
	sleep(ctx, lateWriteTime)
	cv.backfillStore(ctx)
}

// waitForMembers waits until this entry can determine its rank.
func (cv *cachedVersion) waitForMembers(ctx context.Context) {
	const pollInterval = 50 * time.Millisecond
	for ctx.Err() == nil && !cv.cache.canDetermineRank() {
		sleep(ctx, pollInterval)
	}
}

// fetchFromZone gets the pieces from other entries of the zone, unless this entry is the
// reader, so that the pieces cross the links between regions only once for the zone. It
// returns when the version is complete, this entry stops relying on the reader, or ctx ends.
func (cv *cachedVersion) fetchFromZone(ctx context.Context) {
	const pollInterval = 100 * time.Millisecond
	progress := newProgress(cv.pieceCount())
	for ctx.Err() == nil && !cv.isComplete() {
		if cv.transfer.IsSuperseded() {
			sleep(ctx, retryDelay)
			continue
		}
		// The reader cannot do better while the origin is known to be away.
		progress.resumeAfter(cv.cache.opts.Origin.knownUntil())
		predecessors := cv.cache.zonePredecessors(cv.id)
		if progress.stalledFor(cv.pieceCount()) >= readerTimeout(len(predecessors)) {
			return
		}
		cv.followZone(ctx)
		sleep(ctx, pollInterval)
	}
}

// readerTimeout returns how long the entry of the given rank within its zone relies on the
// reader without getting a piece. The reader itself has rank 0 and does not wait.
func readerTimeout(rank int) time.Duration { return readerTimeoutStep * time.Duration(rank) }

// followZone receives the pieces from the parent in the zone's tree, for as long as they come and for
// followTimeout at most, and then those that a linked entry of the zone holds.
func (cv *cachedVersion) followZone(ctx context.Context) {
	c := cv.cache
	ranked := c.rankedEntries(cv.id)
	parent, ok := parentInZone(ranked, c.opts.Self, c.opts.Zone, c.opts.Peers.IsLinked)
	if !ok {
		return
	}
	followCtx, stop := context.WithCancel(ctx)
	var others sync.WaitGroup
	others.Go(func() { cv.fetchHeldWhileStalled(followCtx, parent) })
	cv.followPeer(ctx, parent, followTimeout)
	stop()
	others.Wait()
	if ctx.Err() == nil && !cv.isComplete() {
		cv.fetchHeldFromNeighbour(ctx, parent)
	}
}

// fetchHeldWhileStalled fetches the pieces that linked entries of the zone but the parent hold, one entry
// after another, for as long as no others arrive: after many entries lost power, the parent may be waiting while a
// neighbour that kept running has the pieces.
func (cv *cachedVersion) fetchHeldWhileStalled(ctx context.Context, parent contract.MachineID) {
	progress := newProgress(cv.pieceCount())
	for ctx.Err() == nil && !cv.isComplete() {
		sleep(ctx, neighbourInterval)
		if ctx.Err() == nil && progress.stalledFor(cv.pieceCount()) >= neighbourInterval {
			cv.fetchHeldFromNeighbour(ctx, parent)
		}
	}
}

// fetchHeldFromNeighbour fetches the pieces that a linked entry of the zone other than the parent, drawn at
// random, holds.
func (cv *cachedVersion) fetchHeldFromNeighbour(ctx context.Context, parent contract.MachineID) {
	c := cv.cache
	var linked []contract.MachineID
	for _, m := range c.rankedEntries(cv.id) {
		if m.Zone == c.opts.Zone && m.Machine != c.opts.Self && m.Machine != parent && c.opts.Peers.IsLinked(m.Machine) {
			linked = append(linked, m.Machine)
		}
	}
	if len(linked) > 0 {
		cv.fetchHeld(ctx, linked[rand.IntN(len(linked))])
	}
}

// followPeer receives the pieces as another entry of the zone gets them, until the timeout.
func (cv *cachedVersion) followPeer(ctx context.Context, peer contract.MachineID, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	got, err := Fetch(ctx, cv.cache.opts.Peers, peer, cv.id, FetchFollow, cv.currentSet, cv.initSet)
	cv.log().WithField("peer", string(peer)).WithField("pieces", got).WithField("failed", err != nil).Info("pieces from a neighbour")
}

func (cv *cachedVersion) isComplete() bool {
	set := cv.currentSet()
	return set != nil && set.IsComplete()
}

// pieceCount returns the number of pieces held, or -1 while the digests are unknown.
func (cv *cachedVersion) pieceCount() int {
	if set := cv.currentSet(); set != nil {
		return set.Count()
	}
	return -1
}

// waitForProgress waits while the version makes progress. It returns when the version is
// complete, has stalled, or this entry is first in rank and thus the one to download.
func (cv *cachedVersion) waitForProgress(ctx context.Context) {
	const pollInterval = 50 * time.Millisecond
	progress := newProgress(cv.pieceCount())
	for ctx.Err() == nil && !cv.isComplete() {
		if cv.transfer.IsSuperseded() {
			sleep(ctx, retryDelay)
			continue
		}
		rank := cv.cache.rankOf(cv.id)
		stalled := progress.stalledFor(cv.pieceCount())
		if rank == 0 || stalled >= stallTimeout+time.Duration(min(rank, maxStallRank))*stallTimeoutPerRank {
			return
		}
		sleep(ctx, pollInterval)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// linkedEntries returns the other entries that are linked, in order of rank.
func (cv *cachedVersion) linkedEntries() []contract.MachineID {
	c := cv.cache
	var list []contract.MachineID
	for _, m := range c.rankedEntries(cv.id) {
		if m.Machine != c.opts.Self && c.opts.Peers.IsLinked(m.Machine) {
			list = append(list, m.Machine)
		}
	}
	return list
}

// downloadCandidates returns the other linked entries in the order in which they are requested to
// download: those of different zones alternate, since it may be this entry's zone that cannot reach
// the origin.
func (cv *cachedVersion) downloadCandidates() []contract.MachineID {
	c := cv.cache
	var entries []upgrade.ZoneEntry[contract.MachineID]
	for _, m := range c.rankedEntries(cv.id) {
		if m.Machine != c.opts.Self && c.opts.Peers.IsLinked(m.Machine) {
			entries = append(entries, upgrade.ZoneEntry[contract.MachineID]{Entry: m.Machine, Zone: m.Zone})
		}
	}
	return upgrade.AlternateZones(entries, c.opts.Zone)
}

// selectPeers returns the entries to request pieces from in one round. The reader of a zone requests
// them from those that download, and from a random selection of the others. The other entries of the
// zone request them from entries of the zone first, beginning with the reader: what these hold need
// not come over the links between regions again.
func (cv *cachedVersion) selectPeers() []contract.MachineID {
	list := cv.linkedEntries()
	if len(list) <= maxPeersPerRound {
		return list
	}
	downloaders, others := list[:upgrade.MaxDownloaders], list[upgrade.MaxDownloaders:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	predecessors := cv.cache.zonePredecessors(cv.id)
	if len(predecessors) == 0 {
		return list[:maxPeersPerRound]
	}
	distance := func(id contract.MachineID) int {
		m, ok := cv.cache.opts.Peers.Member(id)
		return weightOf(id != predecessors[0]) + weightOf(!ok || m.Zone != cv.cache.opts.Zone)
	}
	slices.SortStableFunc(others, func(a, b contract.MachineID) int { return distance(a) - distance(b) })
	return slices.Concat(others[:maxPeersPerRound-upgrade.MaxDownloaders], downloaders)
}

// fetchHeldFromPeers fetches the pieces that other entries hold: while the store does not
// hold the pieces, each entry may have downloaded different ones.
func (cv *cachedVersion) fetchHeldFromPeers(ctx context.Context) {
	for _, peer := range cv.selectPeers() {
		if cv.isComplete() || ctx.Err() != nil {
			return
		}
		cv.fetchHeld(ctx, peer)
	}
}

// fetchHeld fetches the pieces that another entry holds now.
func (cv *cachedVersion) fetchHeld(ctx context.Context, peer contract.MachineID) {
	got, err := Fetch(ctx, cv.cache.opts.Peers, peer, cv.id, FetchHeld, cv.currentSet, cv.initSet)
	entry := cv.log().WithField("peer", string(peer)).WithField("pieces", got)
	switch {
	case err != nil && ctx.Err() == nil:
		entry.WithError(err).Warn("pieces not received")
	case got > 0:
		entry.Info("pieces from a peer")
	}
}
