package weightcache

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"testing"

	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
	"mimosastand.example/mimosastand/weights/pieces"
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

// Guards against a version that no engine ever gets: two replies of the origin had been corrupted alike, so
// that one piece never matched its digest, in any zone. The second entry has the digests from the first.
func TestCorruptDigestsAreCorrected(t *testing.T) {
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	origin.CorruptDigests(2)
	first := startNode(t, store.Address(), "entry-1", origin.Address())
	second := startNode(t, store.Address(), "entry-2", "127.0.0.1:1")
	eventually(t, "the entries are linked", func() bool {
		return first.peers.IsLinked("entry-2") && second.peers.IsLinked("entry-1")
	})
	v := Version{Model: fleet.Model, Number: 2}
	others := second.cache.ensureVersion(v)
	cv := first.cache.ensureVersion(v)
	eventually(t, "the version is complete at the entry that downloads", cv.isComplete)
	eventually(t, "the version is complete at the other entry", others.isComplete)
}

// Guards against a version that no engine ever gets: the store holds a digest that no piece matches.
func TestCorruptDigestsInStoreAreCorrected(t *testing.T) {
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	v := Version{Model: fleet.Model, Number: 2}
	var digests []byte
	for range chunks {
		digests = append(digests, make([]byte, sha256.Size)...)
	}
	storeVersion(t, store, v, 0)
	store.Put(platform.WeightsTopic(v.Model, v.Number), digestsKey, string(digests))
	cv := startNode(t, store.Address(), "entry-1", origin.Address()).cache.ensureVersion(v)
	eventually(t, "the version is complete", cv.isComplete)
}

// Guards against pieces of another version (WHOLE, inc2): a version that was evicted while it was served, and
// is requested again, is the same version.
func TestEvictedVersionIsServedAsItself(t *testing.T) {
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	server := startNode(t, store.Address(), "entry-1", origin.Address())
	client := startNode(t, store.Address(), "entry-2", "127.0.0.1:1")
	eventually(t, "the entries are linked", func() bool { return client.peers.IsLinked("entry-1") })
	old := Version{Model: fleet.Model, Number: 2}
	set := fetchVersion(t, client, old, func() {
		server.cache.ensureVersion(Version{Model: fleet.Model, Number: old.Number + versionWindow})
	})
	for i := range set.Len() {
		if !bytes.Equal(set.Get(i), fleet.Piece(old.Number, i)) {
			t.Errorf("piece %d of version %d is %.20q", i, old.Number, set.Get(i))
		}
	}
}

// fetchVersion fetches all pieces of a version from entry-1. It calls onDigests when the digests have come.
func fetchVersion(t *testing.T, n *node, v Version, onDigests func()) *pieces.Set {
	t.Helper()
	var set *pieces.Set
	current := func() *pieces.Set { return set }
	initSet := func(digests [][]byte) (_ *pieces.Set, err error) {
		if set == nil {
			onDigests()
			set, err = pieces.NewSet(digests, chunks)
		}
		return set, err
	}
	eventually(t, "the version is fetched", func() bool {
		_, _ = Fetch(t.Context(), n.peers, "entry-1", v, FetchFollow, current, initSet)
		return set != nil && set.IsComplete()
	})
	return set
}
