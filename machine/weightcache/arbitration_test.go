package weightcache

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/standin/fleet"
)

// Guards against two versions that share the link of the origin: with one announced while half of the one
// before it was missing, both arrived late. The older one must wait, and must arrive nonetheless when the
// newer one does not, here since the origin is away.
func TestNewerVersionGoesFirstAndOlderOneIsNotLost(t *testing.T) {
	t.Parallel()
	const pieceCount, pieceTime = 40, 25 * time.Millisecond
	store, origin := fleet.NewStore(), fleet.NewOrigin(pieceCount)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	origin.SetPieceTime(pieceTime)
	n := startNode(t, store.Address(), "entry-1", origin.Address())
	older, newer := Version{Model: fleet.Model, Number: 2}, Version{Model: fleet.Model, Number: 3}
	eventually(t, "the entry knows its rank", n.cache.canDetermineRank)
	n.ends.Store(older.Number, time.Now().Add(8*time.Second))
	first := n.cache.ensureVersion(older)
	eventually(t, "a quarter of the older version is here", func() bool { return first.pieceCount() >= pieceCount/4 })
	n.ends.Store(newer.Number, time.Now().Add(10*time.Second))
	second := n.cache.ensureVersion(newer)
	eventually(t, "the older version waits", first.transfer.IsWaiting)
	before := first.pieceCount()
	eventually(t, "half of the newer version is here", func() bool { return second.pieceCount() >= pieceCount/2 })
	if added := first.pieceCount() - before; added > 2*downloadWorkers {
		t.Errorf("%d pieces of the older version arrived meanwhile, want at most %d", added, 2*downloadWorkers)
	}
	origin.SetDown(true)
	eventually(t, "the older version goes on", func() bool { return !first.transfer.IsWaiting() })
	origin.SetDown(false)
	eventually(t, "the newer version is complete", second.isComplete)
	eventually(t, "the older version is superseded or complete", func() bool { return first.transfer.IsWaiting() || first.isComplete() })
}
