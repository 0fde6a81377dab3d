package weightcache

import (
	"context"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/standin/fleet"
)

func nodeName(i int) contract.MachineID { return contract.MachineID(fmt.Sprintf("entry-%d", i+1)) }

// startLinkedNodes starts entries that get a version, once they are linked.
func startLinkedNodes(t *testing.T, count int, store *fleet.Store, origin *fleet.Origin, v Version) (nodes []*node, wanted []*cachedVersion) {
	t.Helper()
	for i := range count {
		nodes = append(nodes, startNode(t, store.Address(), nodeName(i), origin.Address()))
	}
	eventually(t, "the entries are linked", func() bool {
		return !slices.ContainsFunc(nodes, func(n *node) bool { return n.peers.LinkedCount() < count/2 })
	})
	for _, n := range nodes {
		wanted = append(wanted, n.cache.ensureVersion(v))
	}
	return nodes, wanted
}

// Guards against a slow return from an outage and a herd after it: several entries lack the same
// pieces when the origin comes back, and all of them downloaded them in the same order, or were
// waiting for a request to another entry to time out.
func TestOriginAwayAndBackSendsAboutOneCopy(t *testing.T) {
	t.Parallel()
	const pieceCount, entries = 24, 6
	store, origin := fleet.NewStore(), fleet.NewOrigin(pieceCount)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	origin.SetPieceTime(20 * time.Millisecond)
	origin.SetDown(true)
	v := Version{Model: fleet.Model, Number: 2}
	_, wanted := startLinkedNodes(t, entries, store, origin, v)
	time.Sleep(stallTimeout + 3*time.Second)
	origin.SetDown(false)
	back := time.Now()
	eventually(t, "an entry has the version", func() bool {
		return slices.ContainsFunc(wanted, (*cachedVersion).isComplete)
	})
	if took, limit := time.Since(back), requestedDownloadTimeout/2; took > limit {
		t.Errorf("the first entry has the version %v after the origin is back, want at most %v", took, limit)
	}
	eventually(t, "all entries have the version", func() bool {
		return !slices.ContainsFunc(wanted, func(cv *cachedVersion) bool { return !cv.isComplete() })
	})
	if served, limit := origin.PiecesServed(), pieceCount*9/8; served > limit {
		t.Errorf("the origin sent %d pieces for a version of %d, want at most %d", served, pieceCount, limit)
	}
}

// Guards against pieces that are downloaded again, and against a version that nobody downloads, after most
// entries lost power while the origin was away: among them the first in rank. The store has half of the pieces.
func TestHerdOfEntriesLosesPowerDuringOutage(t *testing.T) {
	t.Parallel()
	const pieceCount, entries = 32, 6
	store, origin := fleet.NewStore(), fleet.NewOrigin(pieceCount)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	origin.SetPieceTime(20 * time.Millisecond)
	v := Version{Model: fleet.Model, Number: 2}
	nodes, wanted := startLinkedNodes(t, entries, store, origin, v)
	eventually(t, "half of the pieces are everywhere", func() bool {
		return !slices.ContainsFunc(wanted, func(cv *cachedVersion) bool { return cv.pieceCount() < pieceCount/2 })
	})
	origin.SetDown(true)
	// Ranks 0 to 3 lose power.
	ranked := wanted[0].cache.rankedEntries(v)
	for _, m := range ranked[:4] {
		i := slices.IndexFunc(nodes, func(n *node) bool { return n != nil && n.cache.opts.Self == m.Machine })
		nodes[i].stop()
		nodes[i] = nil
	}
	time.Sleep(700 * time.Millisecond)
	for i := range nodes {
		if nodes[i] == nil {
			nodes[i] = startNode(t, store.Address(), nodeName(i), origin.Address())
			wanted[i] = nodes[i].cache.ensureVersion(v)
		}
	}
	origin.SetDown(false)
	back := time.Now()
	eventually(t, "all entries have the version", func() bool {
		return !slices.ContainsFunc(wanted, func(cv *cachedVersion) bool { return !cv.isComplete() })
	})
	t.Logf("complete after %v, the origin sent %d pieces", time.Since(back), origin.PiecesServed())
	if served, limit := origin.PiecesServed(), pieceCount*5/4; served > limit {
		t.Errorf("the origin sent %d pieces for a version of %d, want at most %d", served, pieceCount, limit)
	}
}

// Guards against entries that wait for a parent which lost its pieces with its power, while a neighbour that
// kept running has them: they asked others only after peerProgressTimeout.
func TestPiecesComeFromNeighbourWhileParentWaits(t *testing.T) {
	t.Parallel()
	const pieceCount = 8
	store, origin := fleet.NewStore(), fleet.NewOrigin(pieceCount)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	origin.SetDown(true)
	v := Version{Model: fleet.Model, Number: 2}
	nodes, _ := startLinkedNodes(t, 3, store, origin, Version{Model: fleet.Model, Number: 1})
	byName := map[contract.MachineID]*node{}
	for i, n := range nodes {
		byName[nodeName(i)] = n
	}
	ranked := nodes[0].cache.rankedEntries(v)
	eventually(t, "the entries are linked to each other", func() bool { return byName[ranked[1].Machine].peers.LinkedCount() == 2 })
	// The parent gets no pieces.
	parent := byName[ranked[0].Machine].cache
	parent.mu.Lock()
	parent.versions[v] = &cachedVersion{cache: parent, id: v, digestsKnown: make(chan struct{}), cancel: func() {}}
	parent.mu.Unlock()
	holder := byName[ranked[2].Machine].cache.ensureVersion(v)
	var digests [][]byte
	for i := range pieceCount {
		sum := sha256.Sum256(fleet.Piece(v.Number, i))
		digests = append(digests, sum[:])
	}
	set, err := holder.initSet(digests)
	if err != nil {
		t.Fatal(err)
	}
	for i := range pieceCount {
		if _, err := set.Add(i, fleet.Piece(v.Number, i)); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// Without its own downloads and reads of the store, the entry depends on the others.
	follower := &cachedVersion{cache: byName[ranked[1].Machine].cache, id: v, digestsKnown: make(chan struct{})}
	start := time.Now()
	go follower.followZone(ctx)
	eventually(t, "the entry has the pieces", follower.isComplete)
	if took := time.Since(start); took >= peerProgressTimeout {
		t.Errorf("the entry has the pieces after %v, want less than %v", took, peerProgressTimeout)
	}
}
