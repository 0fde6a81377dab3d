package weightcache

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	chunks = 6
	// testTimeout limits the wait for an expected state.
	testTimeout = 20 * time.Second
)

// node is the cache of an entry with its links to peers.
type node struct {
	cache *Cache
	peers *peers.Peers
	// ends holds when the bounds of announced versions end.
	ends sync.Map
	// stop ends the process.
	stop func()
}

func (n *node) versionEnd(_ string, number int64) (time.Time, bool) {
	end, ok := n.ends.Load(number)
	if !ok {
		return time.Time{}, false
	}
	return end.(time.Time), true
}

// startNode starts an entry in zone "a" with the given store and origin addresses.
func startNode(t *testing.T, store string, name contract.MachineID, origin string) *node {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	logger := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	n := &node{}
	watch := NewOriginWatch()
	opened, err := peers.Open(peers.Options{
		Self:          peers.Member{Machine: name, Role: link.RoleEntry, Zone: "a", Region: "ra", Address: "127.0.0.1:0"},
		Store:         platform.NewStore(store),
		Log:           logger,
		FillHeartbeat: func(_ contract.MachineID, hb *contract.Heartbeat) { hb.OriginOutage = watch.Report() },
		OnHeartbeat:   func(hb contract.Heartbeat) { watch.Apply(hb.OriginOutage) },
		ServeStream: func(ctx context.Context, m contract.Message, s *link.Stream) {
			if m.Kind == contract.KindPiecesRequest {
				n.cache.Serve(ctx, *m.PiecesRequest, s)
			}
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	n.peers = opened
	n.cache = New(ctx, Options{Self: name, Zone: "a", Store: platform.NewStore(store), Peers: opened, Log: logger, Origin: watch, VersionEnd: n.versionEnd})
	n.cache.SetOrigin(catalog.Origin{Address: origin, Zone: "a"})
	var wg sync.WaitGroup
	wg.Go(func() { opened.Run(ctx) })
	n.stop = func() {
		cancel()
		wg.Wait()
	}
	t.Cleanup(n.stop)
	return n
}

// eventually waits until done reports the state that what describes.
func eventually(t *testing.T, what string, done func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !done(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("state not reached within %v: %s", testTimeout, what)
		}
	}
}

// If the entry that is to download a version cannot reach the origin, and the version has
// not been requested from any other entry, another entry must download it.
func TestAnotherEntryDownloadsWhenOriginIsUnreachable(t *testing.T) {
	t.Parallel()
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	t.Cleanup(store.Close)
	t.Cleanup(origin.Close)
	const unreachable = "127.0.0.1:1"
	disconnected := startNode(t, store.Address(), "entry-1", unreachable)
	other := startNode(t, store.Address(), "entry-2", origin.Address())
	eventually(t, "the entries are linked", func() bool {
		return disconnected.peers.IsLinked("entry-2") && other.peers.IsLinked("entry-1")
	})
	v := Version{Model: fleet.Model, Number: 2}
	disconnected.cache.FetchIfFirstInRank(v)
	cv := disconnected.cache.ensureVersion(v)
	eventually(t, "the version is complete", cv.isComplete)
	if downloaded, limit := origin.PiecesServed(), 2*chunks; downloaded > limit {
		t.Errorf("the origin sent %d pieces for a version of %d, want at most twice as many", downloaded, chunks)
	}
}

// The bandwidth of the origin's link is small: entries of high rank download only when they
// are requested to, for a limited time, and only while the origin answers them. Without this, all
// 38 entries of a fleet downloaded at once after an outage of the origin, and none had the version
// for 20 s.
func TestOnlyFirstInRankDownloadUnlessRequested(t *testing.T) {
	_, endWait := context.WithCancel(context.Background())
	cv := &cachedVersion{endWait: endWait}
	state := func(rank int) upgrade.DownloadState {
		return upgrade.DownloadState{Rank: rank, Place: rank, Entries: 38, Stalled: 900 * time.Millisecond}
	}
	for rank, want := range []bool{true, true, true, false, false} {
		if got := cv.mayDownload(state(rank)); got != want {
			t.Errorf("mayDownload() of rank %d = %v without a request, want true only below 3", rank, got)
		}
	}
	cv.triggerDownload()
	if !cv.mayDownload(state(30)) {
		t.Error("mayDownload() of rank 30 = false after a request, want true")
	}
	cv.endRequestedDownload(time.Now().Add(-time.Second))
	if !cv.mayDownload(state(30)) {
		t.Error("an attempt before the request failed: mayDownload() of rank 30 = false, want true")
	}
	cv.endRequestedDownload(time.Now())
	if cv.mayDownload(state(30)) {
		t.Error("the origin did not answer: mayDownload() of rank 30 = true, want false")
	}
	cv.downloadRequestedAt = time.Now().Add(-requestedDownloadTimeout)
	if cv.mayDownload(state(30)) {
		t.Error("mayDownload() of rank 30 = true when the request has timed out, want false")
	}
}

// Guards against entries that replace the first in rank although these run and try: the time without
// a piece must count from the last report that the origin is unreachable.
func TestStallCountsFromEndOfKnownOutage(t *testing.T) {
	now := time.Now()
	p := &progress{count: 54, since: now.Add(-6 * time.Second)}
	p.resumeAfter(now.Add(-7 * time.Second))
	if got := p.stalledFor(54); got < 6*time.Second {
		t.Errorf("an outage before the last piece: stalled for %v, want at least 6s", got)
	}
	p.resumeAfter(now.Add(time.Hour))
	if got := p.stalledFor(54); got != 0 {
		t.Errorf("during a known outage: stalled for %v, want 0s", got)
	}
}

// Guards against an entry that relies on one that it is not linked to: with some links only, the
// pieces come from the parent in the zone's tree, and from another linked entry if that is gone.
func TestPiecesComeFromLinkedEntries(t *testing.T) {
	var members []peers.Member
	for i := range 30 {
		members = append(members, peers.Member{Machine: contract.MachineID(fmt.Sprintf("entry-%02d", i)), Zone: "a"})
	}
	ranked := RankEntries(Version{Model: "m", Number: 2}, members, "a")
	const place = 12
	parent := ranked[upgrade.ParentIndex(place)].Machine
	all := func(contract.MachineID) bool { return true }
	if got, ok := parentInZone(ranked, ranked[place].Machine, "a", all); !ok || got != parent {
		t.Errorf("parentInZone() = %q, %v, want %q", got, ok, parent)
	}
	withoutParent := func(id contract.MachineID) bool { return id == ranked[place-1].Machine }
	if got, ok := parentInZone(ranked, ranked[place].Machine, "a", withoutParent); !ok || got != ranked[place-1].Machine {
		t.Errorf("parentInZone() without a link to the parent = %q, %v, want %q", got, ok, ranked[place-1].Machine)
	}
	if got, ok := parentInZone(ranked, ranked[0].Machine, "a", all); ok {
		t.Errorf("parentInZone() of the reader = %q, want none", got)
	}
}

// Guards against a reader that sends the pieces to most of its zone: after many entries had lost power at
// once, all others followed the first linked one, and its link carried a few copies in 3 s.
func TestEntriesWithoutParentSpreadOverThoseThatRun(t *testing.T) {
	const entries, limit = 30, 6
	var members []peers.Member
	for i := range entries {
		members = append(members, peers.Member{Machine: contract.MachineID(fmt.Sprintf("entry-%02d", i)), Zone: "a"})
	}
	ranked := RankEntries(Version{Model: "m", Number: 3}, members, "a")
	runs := map[contract.MachineID]bool{}
	for i := 0; i < entries; i += 2 {
		runs[ranked[i].Machine] = true
	}
	followers := map[contract.MachineID]int{}
	for _, m := range ranked[1:] {
		parent, ok := parentInZone(ranked, m.Machine, "a", func(id contract.MachineID) bool { return runs[id] })
		if !ok || !runs[parent] {
			t.Fatalf("parentInZone() of %s = %q, %v, want an entry that runs", m.Machine, parent, ok)
		}
		followers[parent]++
	}
	if got := followers[ranked[0].Machine]; got > limit {
		t.Errorf("%d of %d entries follow the reader, want at most %d", got, entries-1, limit)
	}
}

// If the entry that downloaded a version cannot write to the store, another entry that got
// the pieces from it must store what is missing: after a power failure no process has them.
func TestStoreIsBackfilledWhenDownloaderCannotWrite(t *testing.T) {
	t.Parallel()
	store, origin := fleet.NewStore(), fleet.NewOrigin(chunks)
	accessPoint := store.NewAccessPoint()
	t.Cleanup(store.Close)
	t.Cleanup(accessPoint.Close)
	t.Cleanup(origin.Close)
	downloader := startNode(t, accessPoint.Address(), "entry-1", origin.Address())
	other := startNode(t, store.Address(), "entry-2", origin.Address())
	eventually(t, "the entries are linked", func() bool {
		return downloader.peers.IsLinked("entry-2") && other.peers.IsLinked("entry-1")
	})
	accessPoint.SetDown(true)
	v := Version{Model: fleet.Model, Number: 2}
	downloader.cache.FetchIfFirstInRank(v)
	other.cache.ensureVersion(v)
	client := platform.NewStore(store.Address())
	eventually(t, "the store holds the digests and all pieces", func() bool {
		batch, err := client.Newest(context.Background(), platform.WeightsTopic(v.Model, v.Number))
		return err == nil && len(batch.Records) == chunks+1
	})
}

// Guards against too few requests served in a zone: while a version was late, all helpers of
// the zone stopped relying on the reader at the same time, read the store and requested the
// pieces from other regions. Their copies saturated the links between regions, so that the
// version took 10 s longer.
func TestHelpersOfZoneTakeOverOneAfterAnother(t *testing.T) {
	if got := readerTimeout(0); got != 0 {
		t.Errorf("readerTimeout(0) = %v, want 0s", got)
	}
	for rank := 1; rank < 13; rank++ {
		if apart := readerTimeout(rank+1) - readerTimeout(rank); apart < stallTimeout {
			t.Errorf("after rank %d the next entry waits %v longer, want at least the stall timeout of 1.2s", rank, apart)
		}
	}
}

// Guards against 13 copies downloaded at once from an origin that recovered from an outage:
// entries that were requested to download and failed requested others in turn.
func TestRequestedDownloaderRequestsNoOthers(t *testing.T) {
	for rank := range 12 {
		if got, want := mayRequestDownload(rank), rank < upgrade.MaxDownloaders; got != want {
			t.Errorf("mayRequestDownload(%d) = %v, want %v", rank, got, want)
		}
	}
}

// An entry that retries downloads must not open new connections to the origin for each
// attempt, because the origin accepts few.
func TestOriginClientIsReused(t *testing.T) {
	c := New(context.Background(), Options{})
	if c.originClient() != nil {
		t.Error("originClient() returns a client although no origin is set, want nil")
	}
	c.SetOrigin(catalog.Origin{Address: "127.0.0.1:1", Zone: "a"})
	first := c.originClient()
	c.SetOrigin(catalog.Origin{Address: "127.0.0.1:1", Zone: "b"})
	if c.originClient() != first {
		t.Error("SetOrigin() with the same address replaced the client, want it reused")
	}
	c.SetOrigin(catalog.Origin{Address: "127.0.0.1:2"})
	if c.originClient() == first {
		t.Error("SetOrigin() with another address reused the client, want a new one")
	}
}

// Guards against too few requests served after all processes had restarted: until the
// members arrived over the saturated links between regions, each entry considered itself
// first in rank, read the store and downloaded.
func TestEntryWithoutMembersDoesNotDownload(t *testing.T) {
	const unreachable = "127.0.0.1:1"
	c := startNode(t, unreachable, "entry-1", unreachable).cache
	v := Version{Model: fleet.Model, Number: 2}
	c.started = time.Now().Add(time.Hour)
	c.FetchIfFirstInRank(v)
	if len(c.versions) > 0 {
		t.Error("entry gets the version before its rank can be determined, want it to wait")
	}
	c.started = time.Now().Add(-membersTimeout)
	c.FetchIfFirstInRank(v)
	if len(c.versions) != 1 {
		t.Error("entry does not get the version after the time to read the members, want it to continue alone")
	}
}

// Guards against a zone that depends on a single entry: other entries and targets relied on
// an entry that was linked but waited for the pieces itself, for as long as it ran, although
// other entries of the zone held them.
func TestFetchFailsWhenPeerOnlyWaits(t *testing.T) {
	t.Parallel()
	const unreachable = "127.0.0.1:1"
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	stuck := startNode(t, store.Address(), "entry-1", unreachable)
	other := startNode(t, store.Address(), "entry-2", unreachable)
	eventually(t, "the entries are linked", func() bool {
		return stuck.peers.IsLinked("entry-2") && other.peers.IsLinked("entry-1")
	})
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	v := Version{Model: fleet.Model, Number: 2}
	noSet := func() *pieces.Set { return nil }
	newSet := func(digests [][]byte) (*pieces.Set, error) { return pieces.NewSet(digests, 0) }
	_, err := Fetch(ctx, other.peers, "entry-1", v, FetchFollow, noSet, newSet)
	if !errors.Is(err, ErrNoProgress) {
		t.Errorf("Fetch() error = %v, want %v", err, ErrNoProgress)
	}
}
