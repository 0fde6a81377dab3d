package weightcache

import (
	"context"
	"crypto/sha256"
	"strconv"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// Guards against weights that a fleet never gets again after a loss of power (RECOVER, review/3): once the
// history of their topic has expired, the store returns the newest records on several pages, in the
// order of their keys, with the digests on the last one. The pieces on the others were dropped.
func TestPiecesOnPagesBeforeDigestsAreKept(t *testing.T) {
	t.Parallel()
	const pieceCount, pieceBytes = 48, 48 << 10
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	v := Version{Model: fleet.Model, Number: 2}
	topic := platform.WeightsTopic(v.Model, v.Number)
	var digests []byte
	for i := range pieceCount {
		piece := make([]byte, pieceBytes)
		piece[0] = byte(i)
		digest := sha256.Sum256(piece)
		digests = append(digests, digest[:]...)
		store.Put(topic, strconv.Itoa(i), string(piece))
	}
	store.Put(topic, digestsKey, string(digests))
	store.Compact(topic)
	n := startNode(t, store.Address(), "entry-1", "127.0.0.1:1")
	if n.cache.ensureVersion(v); !waitForPieces(n.cache, v, pieceCount) {
		t.Errorf("%d of %d pieces are held within %v although the store has all", n.cache.heldPieces(v), pieceCount, pagesTimeout)
	}
	batch, err := platform.NewStore(store.Address()).Newest(context.Background(), topic)
	if err != nil || len(batch.Records) != pieceCount+1 {
		t.Errorf("the store returns %d records, error %v, want %d", len(batch.Records), err, pieceCount+1)
	}
}

// Guards against pieces that are dropped because those of one page were read again and again: the reads of
// the next page failed.
func TestPieceThatIsReadAgainIsHeldOnce(t *testing.T) {
	cv := &cachedVersion{}
	record := contract.Record{Key: "1", Value: make([]byte, 1<<20)}
	for range 2 * MaxStoredBytes / len(record.Value) {
		cv.applyRecords([]contract.Record{record})
	}
	if held := cv.takeUnverified(); len(held) != 1 {
		t.Errorf("%d records of one piece are held, want 1", len(held))
	}
}

// pagesTimeout limits the wait for pieces that the store has.
const pagesTimeout = 5 * time.Second

func waitForPieces(c *Cache, v Version, count int) bool {
	for until := time.Now().Add(pagesTimeout); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		if c.heldPieces(v) == count {
			return true
		}
	}
	return false
}

// heldPieces returns how many pieces of a version are held.
func (c *Cache) heldPieces(v Version) int {
	set := c.ensureVersion(v).currentSet()
	if set == nil {
		return 0
	}
	return set.Count()
}
