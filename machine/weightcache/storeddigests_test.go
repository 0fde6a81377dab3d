package weightcache

import (
	"context"
	"testing"
	"time"

	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// storedDigestsAre reports whether the store has the digests of a version and all of its pieces.
func storedDigestsAre(store *platform.Store, v Version, want [][]byte) bool {
	batch, err := store.Newest(context.Background(), platform.WeightsTopic(v.Model, v.Number))
	if err != nil || len(batch.Records) != len(want)+1 {
		return false
	}
	for _, r := range batch.Records {
		if r.Key == digestsKey {
			return equalDigests(splitDigests(r.Value), want)
		}
	}
	return false
}

// Guards against a version that no entry gets back after a loss of power (RECOVER): the append of its digests
// was given up while the store was away, and nobody looked whether the store has them once the pieces were there.
func TestDigestsThatWereNotAppendedAreAppendedLater(t *testing.T) {
	t.Parallel()
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	accessPoint := store.NewAccessPoint()
	t.Cleanup(store.Close)
	t.Cleanup(accessPoint.Close)
	t.Cleanup(origin.Close)
	n := startNode(t, accessPoint.Address(), "entry-1", origin.Address())
	eventually(t, "the members are read", func() bool { return !n.peers.MembersFirstReadAt().IsZero() })
	// The download lasts longer than the attempts to append the digests.
	origin.SetPieceTime(time.Second)
	accessPoint.SetDown(true)
	v := Version{Model: fleet.Model, Number: 2}
	cv := n.cache.ensureVersion(v)
	eventually(t, "the append of the digests is given up", func() bool {
		cv.pendingMu.Lock()
		defer cv.pendingMu.Unlock()
		return len(cv.pending) > 0 && cv.pending[0].Key != digestsKey
	})
	accessPoint.SetDown(false)
	client := platform.NewStore(store.Address())
	eventually(t, "the store holds the digests and all pieces", func() bool {
		return storedDigestsAre(client, v, cv.currentSet().Digests())
	})
}

// Guards against the same after a late write: the record of digests that an earlier run had read wrong, and
// whose write got no answer, replaces the corrected one after the version is complete.
func TestDigestsThatWereReplacedInStoreAreWrittenAgain(t *testing.T) {
	t.Parallel()
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	v := Version{Model: fleet.Model, Number: 2}
	cv := startNode(t, store.Address(), "entry-1", origin.Address()).cache.ensureVersion(v)
	client := platform.NewStore(store.Address())
	eventually(t, "the version is complete", cv.isComplete)
	isStored := func() bool { return storedDigestsAre(client, v, cv.currentSet().Digests()) }
	eventually(t, "the store holds the version", isStored)
	// By then the entry has looked at the store once.
	time.Sleep(2 * backfillDelay)
	store.Put(platform.WeightsTopic(v.Model, v.Number), digestsKey, string(make([]byte, len(cv.currentSet().Digests())*len(cv.currentSet().Digests()[0]))))
	eventually(t, "the store holds the version again", isStored)
}
