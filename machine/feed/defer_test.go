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

// door passes calls on to a store and tells the path of each.
func door(t *testing.T, store *fleet.Store) (address string, paths <-chan string) {
	target, err := url.Parse("http://" + store.Address())
	if err != nil {
		t.Fatal(err)
	}
	seen := make(chan string, 1<<10)
	proxy := httputil.NewSingleHostReverseProxy(target)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen <- r.URL.Path
		proxy.ServeHTTP(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String(), seen
}

// follower runs a feed that leaves peers head to tell what is new, once it knows the
// topic, and returns the keys that it tells of.
func follower(t *testing.T, address string, head time.Duration) (f *Feed, keys <-chan string) {
	told := make(chan string, 1<<10)
	f = New(platform.NewStore(address), Options{
		Topic:        platform.TopicOperators,
		ReadInterval: func() time.Duration { return time.Millisecond },
		PeerGracePeriod: func() time.Duration {
			if !f.HasSynced() {
				return 0
			}
			return head
		},
		OnChange: func(n Update) {
			for _, r := range n.Records {
				told <- r.Key
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
	return f, told
}

// await passes over calls until n to a path have come, and reports how many read records.
func await(paths <-chan string, path string, n int) (reads int) {
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

// All entries of a region read a manifest of 1,933 routes over one link at the same
// time, and again after a peer had told it; those that were last were 3 s late.
func TestWhatAPeerTellsIsNotReadAgain(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	address, paths := door(t, store)
	f, keys := follower(t, address, time.Hour)
	if key := <-keys; key != "a" {
		t.Fatalf("first record %s", key)
	}
	offset := store.Put(platform.TopicOperators, "config", "large")
	if reads := await(paths, newestPath, 4); reads != 0 {
		t.Errorf("%d reads while peers had time to tell", reads)
	}
	f.Merge(contract.Records{
		Topic:   platform.TopicOperators,
		Records: []contract.Record{{Offset: offset, Key: "config", Value: []byte("large")}},
		Known:   true,
		Newest:  offset,
	})
	if key := <-keys; key != "config" {
		t.Fatalf("second record %s", key)
	}
	if reads := await(paths, newestPath, 4); reads != 0 {
		t.Errorf("%d reads of what a peer had told", reads)
	}
}

// Peers that tell nothing must not keep a feed from what the store holds.
func TestWhatNoPeerTellsIsRead(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	_, keys := follower(t, store.Address(), time.Millisecond)
	if key := <-keys; key != "a" {
		t.Fatalf("first record %s", key)
	}
	store.Put(platform.TopicOperators, "config", "large")
	if key := <-keys; key != "config" {
		t.Fatalf("second record %s", key)
	}
}

// After all processes had started again, every target process read a large manifest
// from the store at once: the links between regions were full for ten seconds, and
// entries beyond them knew no manifest.
func TestAFeedThatKnowsNothingLeavesReadingToPeers(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	offset := store.Put(platform.TopicOperators, "config", "large")
	told := make(chan string, 8)
	f := New(platform.NewStore(store.Address()), Options{
		Topic:           platform.TopicOperators,
		ReadInterval:    func() time.Duration { return time.Millisecond },
		PeerGracePeriod: func() time.Duration { return time.Hour },
		OnChange: func(n Update) {
			for _, r := range n.Records {
				told <- r.Key
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	f.Merge(contract.Records{
		Topic:   platform.TopicOperators,
		Records: []contract.Record{{Offset: offset, Key: "config", Value: []byte("large")}},
		Known:   true,
		Newest:  offset,
	})
	if key := <-told; key != "config" {
		t.Errorf("told %s", key)
	}
	for !f.IsStoreUp() {
		time.Sleep(time.Millisecond)
	}
	if n := store.Records(); n != 0 {
		t.Errorf("the store told %d records", n)
	}
	cancel()
	wg.Wait()
}
