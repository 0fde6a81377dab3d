package weightcache

import (
	"encoding/hex"
	"strconv"
	"testing"

	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// storeVersion puts the pieces of a version into the store, with the digests of the first digestCount.
func storeVersion(t *testing.T, store *fleet.Store, v Version, digestCount int) {
	t.Helper()
	topic := platform.WeightsTopic(v.Model, v.Number)
	var digests []byte
	for i := range chunks {
		digest, err := hex.DecodeString(fleet.PieceDigest(v.Number, i))
		if err != nil {
			t.Fatal(err)
		}
		digests = append(digests, digest...)
	}
	store.Put(topic, digestsKey, string(digests[:digestCount*len(digests)/chunks]))
	for i := range chunks {
		store.Put(topic, strconv.Itoa(i), string(fleet.Piece(v.Number, i)))
	}
}

// Guards against engines that load pieces which nobody verifies (WHOLE, inc2): a record of digests in the
// store that had been cut off was passed on to all zones, and made the version complete with too few pieces.
func TestDigestsOfTooFewPiecesInStoreAreRefused(t *testing.T) {
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	v := Version{Model: fleet.Model, Number: 2}
	storeVersion(t, store, v, chunks/2)
	n := startNode(t, store.Address(), "entry-1", origin.Address())
	n.cache.opts.PieceCount = func(string) int { return chunks }
	cv := n.cache.ensureVersion(v)
	eventually(t, "the version is complete", cv.isComplete)
	if got := cv.currentSet().Len(); got != chunks {
		t.Errorf("the version is complete with %d of %d pieces", got, chunks)
	}
}
