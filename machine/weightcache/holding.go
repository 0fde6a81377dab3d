package weightcache

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
)

const (
	// patience is how long an entry waits for progress before it helps itself.
	// Those behind in rank wait a little longer, so that not all help themselves at
	// once.
	patience     = 1200 * time.Millisecond
	rankPatience = 100 * time.Millisecond
	// neighbourTime is how long the next entry of a zone relies on the one that reads for
	// it, and how much longer each one after that: if all helped themselves at once, they
	// would fill the links between regions with copies.
	neighbourTime = 3500 * time.Millisecond
	// storeHead is how long an entry waits for what the store holds before it draws.
	storeHead = 400 * time.Millisecond
	// maxAsked is how many entries are asked in one round for what they hold.
	maxAsked = 6
	// retryPause is the time between tries after a failure.
	retryPause = 150 * time.Millisecond
)

// holding is one version in the course of arriving.
type holding struct {
	depot   *Cache
	version Version
	// ctx ends with the work on the version.
	ctx context.Context
	// cancel ends the work on the version; hurry ends the wait for what others draw.
	cancel, hurry context.CancelFunc

	mu  sync.Mutex
	set *pieces.Set
	// askedAt is when another entry last asked this one to draw.
	askedAt time.Time
	// ready is closed when the digests are known.
	ready chan struct{}
	// stored marks the pieces that stand in the store.
	stored []bool
	// from is the offset to read on from. It belongs to read, and then to complete.
	from int64

	storing sync.Mutex
	// unstored are the records that are still to be appended, the first one under way.
	unstored []contract.Record
}

func (h *holding) current() *pieces.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.set
}

// begin makes the set of pieces once the digests are known.
func (h *holding) begin(digests [][]byte) *pieces.Set {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.set == nil {
		h.set = pieces.NewSet(digests)
		h.stored = make([]bool, len(digests))
		close(h.ready)
	}
	return h.set
}

func (h *holding) log() log.Interface {
	return h.depot.opts.Log.WithField("version", h.version.String())
}

// fill gets the pieces until the version is whole. It waits for others to draw them
// until patient ends.
func (h *holding) fill(ctx, patient context.Context) {
	start := time.Now()
	h.awaitMembers(ctx)
	h.log().WithField("rank", h.depot.rank(h.version)).Info("weights wanted")
	h.askNeighbour(patient)
	reading, stop := context.WithCancel(ctx)
	defer stop()
	first := make(chan struct{})
	var reads sync.WaitGroup
	reads.Go(func() { h.read(reading, first) })
	// What an earlier run has stored need not be drawn again.
	select {
	case <-first:
	case <-time.After(storeHead):
	case <-ctx.Done():
	}
	h.await(patient)
	h.getDrawn(ctx)
	if !h.whole() {
		return
	}
	h.log().WithField("ms", time.Since(start).Milliseconds()).Info("weights whole")
	stop()
	reads.Wait()
	h.complete(ctx)
}

// awaitMembers waits until this entry knows its place among the others.
func (h *holding) awaitMembers(ctx context.Context) {
	const look = 50 * time.Millisecond
	for ctx.Err() == nil && !h.depot.knowsMembers() {
		pause(ctx, look)
	}
}

// askNeighbour gets the pieces from another entry of the zone, unless this one reads them
// for the zone: they cross the links between regions once.
func (h *holding) askNeighbour(ctx context.Context) {
	const look = 100 * time.Millisecond
	start := time.Now()
	for ctx.Err() == nil && !h.whole() {
		ahead := h.depot.ahead(h.version)
		left := waitsForReader(len(ahead)) - time.Since(start)
		if left <= 0 {
			return
		}
		h.askEntry(ctx, ahead[upgrade.ParentIndex(len(ahead))], left)
		if ctx.Err() == nil && !h.whole() {
			h.askKept(ctx, ahead[rand.IntN(len(ahead))])
		}
		pause(ctx, look)
	}
}

// waitsForReader is how long an entry relies on the one that reads for its zone, if so
// many entries of the zone come before it. The reader itself waits for nobody.
func waitsForReader(ahead int) time.Duration { return neighbourTime * time.Duration(ahead) }

// askEntry takes the pieces as another entry of the zone gets them, for a time.
func (h *holding) askEntry(ctx context.Context, id contract.MachineID, limit time.Duration) {
	if !h.depot.opts.Peers.IsLinked(id) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	got, err := Fetch(ctx, h.depot.opts.Peers, id, h.version, FetchFollow, h.current, h.begin)
	h.log().WithField("peer", string(id)).WithField("pieces", got).WithField("failed", err != nil).Info("pieces from a neighbour")
}

func (h *holding) whole() bool {
	set := h.current()
	return set != nil && set.IsComplete()
}

func (h *holding) count() int {
	if set := h.current(); set != nil {
		return set.Count()
	}
	return -1
}

// await waits until the version is whole, has made no progress for a time, or it is
// this entry's turn to draw.
func (h *holding) await(ctx context.Context) {
	const look = 50 * time.Millisecond
	last, at := h.count(), time.Now()
	for ctx.Err() == nil && !h.whole() {
		rank := h.depot.rank(h.version)
		if rank == 0 || time.Since(at) >= patience+time.Duration(rank)*rankPatience {
			return
		}
		pause(ctx, look)
		if n := h.count(); n != last {
			last, at = n, time.Now()
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// linked lists the other entries that are linked, in rank.
func (h *holding) linked() []contract.MachineID {
	d := h.depot
	var list []contract.MachineID
	for _, m := range RankEntries(h.version, d.opts.Peers.Members(link.RoleEntry), d.currentOrigin().Zone) {
		if m.Machine != d.opts.Self && d.opts.Peers.IsLinked(m.Machine) {
			list = append(list, m.Machine)
		}
	}
	return list
}

// holders lists the entries to ask in one round: those that draw, the reader of the
// zone, and some of the others, drawn anew each time.
func (h *holding) holders() []contract.MachineID {
	list := h.linked()
	if len(list) <= maxAsked {
		return list
	}
	rest := list[maxDrawers:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	if ahead := h.depot.ahead(h.version); len(ahead) > 0 {
		if i := slices.Index(rest, ahead[0]); i > 0 {
			rest[0], rest[i] = rest[i], rest[0]
		}
	}
	return list[:maxAsked]
}

// askEntries asks other entries for what they hold: while the store does not
// carry the pieces, each may have drawn others.
func (h *holding) askEntries(ctx context.Context) {
	for _, id := range h.holders() {
		if h.whole() || ctx.Err() != nil {
			return
		}
		h.askKept(ctx, id)
	}
}

// askKept asks another entry for what it holds now.
func (h *holding) askKept(ctx context.Context, id contract.MachineID) {
	got, err := Fetch(ctx, h.depot.opts.Peers, id, h.version, FetchHeld, h.current, h.begin)
	entry := h.log().WithField("peer", string(id)).WithField("pieces", got)
	switch {
	case err != nil:
		entry.WithError(err).Warn("pieces not received")
	case got > 0:
		entry.Info("pieces from a peer")
	}
}
