package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// newRecordingProxy starts a proxy to a store and returns its address and the paths of
// the calls that it forwards.
func newRecordingProxy(t *testing.T, store *fleet.Store) (proxyAddress string, paths <-chan string) {
	target, err := url.Parse("http://" + store.Address())
	if err != nil {
		t.Fatal(err)
	}
	requested := make(chan string, 1<<10)
	proxy := httputil.NewSingleHostReverseProxy(target)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requested <- r.URL.Path
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), requested
}

// startFeed runs a feed that reads at once until it has synced and afterwards has the
// given peer grace period. It returns the feed and the keys of the records that change.
func startFeed(t *testing.T, address string, gracePeriod time.Duration) (f *Feed, keys <-chan string) {
	return startFeedWithGrace(t, address, func(f *Feed) time.Duration {
		if !f.HasSynced() {
			return 0
		}
		return gracePeriod
	})
}

// startFeedWithGrace runs a feed with a peer grace period. It returns the feed and the keys of the
// records that change.
func startFeedWithGrace(t *testing.T, address string, gracePeriod func(*Feed) time.Duration) (f *Feed, keys <-chan string) {
	changedKeys := make(chan string, 1<<10)
	f = New(platform.NewStore(address), Options{
		Topic:           platform.TopicOperators,
		ReadInterval:    func() time.Duration { return time.Millisecond },
		PeerGracePeriod: func() time.Duration { return gracePeriod(f) },
		OnChange: func(update Update) {
			for _, r := range update.Records {
				changedKeys <- r.Key
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return f, changedKeys
}

// countReads skips calls until path has been called n times, and returns how many of the
// skipped calls read records.
func countReads(paths <-chan string, path string, n int) (reads int) {
	for n > 0 {
		p := <-paths
		if p == path {
			n--
		}
		if p == readPath {
			reads++
		}
	}
	return reads
}

const (
	readPath   = "/-/log-read"
	newestPath = "/-/log-newest"
)

// mergeConfig has a feed receive the record "config" from a peer that holds all of the store's records.
func mergeConfig(f *Feed, store *fleet.Store, position int64) {
	f.Merge(contract.Records{
		Topic:   platform.TopicOperators,
		Records: []contract.Record{{Offset: position, Key: "config", Value: []byte("large")}},
		Synced:  true,
		Newest:  position,
		Era:     store.Era(),
	})
}

// Guards against reading from the store what a peer sends: all entries of a region read a
// manifest of 1,933 routes over one link at the same time, and again after a peer had
// sent it, and the last of them received it 3 s late.
func TestFeedDoesNotReadRecordsReceivedFromPeer(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	address, paths := newRecordingProxy(t, store)
	f, keys := startFeed(t, address, time.Hour)
	if key := <-keys; key != "a" {
		t.Fatalf("first changed key = %q, want \"a\"", key)
	}
	position := contract.NewPosition(store.Era(), store.Put(platform.TopicOperators, "config", "large"))
	if reads := countReads(paths, newestPath, 4); reads != 0 {
		t.Errorf("reads within the peer grace period = %d, want 0", reads)
	}
	mergeConfig(f, store, position)
	if key := <-keys; key != "config" {
		t.Fatalf("second changed key = %q, want \"config\"", key)
	}
	if reads := countReads(paths, newestPath, 4); reads != 0 {
		t.Errorf("reads after a peer had sent the record = %d, want 0", reads)
	}
}

// Guards against a feed that never reads the store's records because peers send nothing.
func TestFeedReadsStoreWhenPeersSendNothing(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	_, keys := startFeed(t, store.Address(), time.Millisecond)
	if key := <-keys; key != "a" {
		t.Fatalf("first changed key = %q, want \"a\"", key)
	}
	store.Put(platform.TopicOperators, "config", "large")
	if key := <-keys; key != "config" {
		t.Fatalf("second changed key = %q, want \"config\"", key)
	}
}

// Guards against a feed that reads the store at its start although peers hold the topic.
// When all processes had restarted, every target process read a large manifest from the
// store at once: the links between regions were saturated for ten seconds, and entries on
// their far side had no manifest.
func TestUnsyncedFeedWaitsForPeersBeforeReadingStore(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	position := contract.NewPosition(store.Era(), store.Put(platform.TopicOperators, "config", "large"))
	f, keys := startFeedWithGrace(t, store.Address(), func(*Feed) time.Duration { return time.Hour })
	mergeConfig(f, store, position)
	if key := <-keys; key != "config" {
		t.Errorf("changed key = %q, want \"config\"", key)
	}
	for !f.IsStoreUp() {
		time.Sleep(time.Millisecond)
	}
	if n := store.RecordsServed(); n != 0 {
		t.Errorf("records read from the store = %d, want 0", n)
	}
}
