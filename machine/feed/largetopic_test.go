package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

const (
	largeBytes  = 64 << 10
	largeLength = 200 << 10
)

// largeValue returns a large value that begins with a name.
func largeValue(name string) string { return name + strings.Repeat(".", largeLength) }

// runLargeFeed runs a feed whose topic is large until the test ends, and returns the first bytes
// of the values that change.
func runLargeFeed(t *testing.T, address string, opts Options) (f *Feed, names <-chan string) {
	t.Helper()
	changed := make(chan string, 64)
	opts.Topic, opts.LargeBytes = platform.TopicOperators, largeBytes
	opts.Log = &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	opts.OnChange = func(update Update) {
		for _, r := range update.Records {
			changed <- strings.TrimRight(string(r.Value), ".")
		}
	}
	f = New(platform.NewStore(address), opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		f.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, changed
}

// recordOf returns what a peer sends that holds one record as the complete topic.
func recordOf(store *fleet.Store, offset int64, value string) contract.Records {
	position := contract.NewPosition(store.Era(), offset)
	return contract.Records{
		Topic: platform.TopicOperators, Records: []contract.Record{{Offset: position, Key: "config", Value: []byte(value)}},
		Synced: true, Newest: position, Era: store.Era(),
	}
}

// Guards against a reader that reads each version of a large manifest that was written while it
// read the one before: over a full link each version arrived later than the one before it.
func TestFeedSkipsSupersededLargeRecords(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "config", largeValue("first"))
	reads := make(chan struct{})
	_, names := runLargeFeed(t, store.Address(), Options{ReadInterval: func() time.Duration {
		<-reads
		return 0
	}})
	if name := <-names; name != "first" {
		t.Fatalf("first value = %q, want that of the first version", name)
	}
	for _, name := range []string{"second", "third", "fourth", "fifth"} {
		store.Put(platform.TopicOperators, "config", largeValue(name))
	}
	close(reads)
	if name := <-names; name != "fifth" {
		t.Errorf("next value = %q, want that of the newest version", name)
	}
	if n := store.RecordsServed(); n != 2 {
		t.Errorf("records read = %d, want 2: the first version and the newest", n)
	}
}

// Guards against entries that read a large manifest over the link between regions when they
// start, all at the same time, although peers hold it: after 26 of 44 entries had lost power, none
// of those of a zone held it for 2.4 s. What follows is read from the store.
func TestFeedLeavesLargeTopicToPeersAtStart(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	offset := store.Put(platform.TopicOperators, "config", largeValue("first"))
	f, names := runLargeFeed(t, store.Address(), Options{StartDelay: func() time.Duration { return time.Hour }})
	for !f.IsStoreUp() {
		time.Sleep(time.Millisecond)
	}
	select {
	case name := <-names:
		t.Fatalf("value %q read at the start, want it left to peers", name)
	case <-time.After(4 * startCheckInterval):
	}
	f.Merge(recordOf(store, offset, largeValue("first")))
	if name := <-names; name != "first" {
		t.Fatalf("value = %q, want that which the peer sent", name)
	}
	store.Put(platform.TopicOperators, "config", largeValue("second"))
	if name := <-names; name != "second" {
		t.Errorf("value = %q, want that of the version written later", name)
	}
	// The store counts the page whose rest was left unread.
	if n := store.RecordsServed(); n != 2 {
		t.Errorf("records served = %d, want 2: the beginning of the first page, and the second version", n)
	}
}

// Guards against a store that sends a large topic to each of many processes that start and read only its
// beginning, and against a feed that spends its processor time on waiting for peers.
func TestFeedThatMayNotProbeWaits(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "config", largeValue("first"))
	var looks atomic.Int32
	mayProbe := func() bool { looks.Add(1); return false }
	started := time.Now()
	const delay = 6 * startCheckInterval
	_, names := runLargeFeed(t, store.Address(), Options{StartDelay: func() time.Duration { looks.Add(1); return delay }, MayProbe: mayProbe})
	if name := <-names; name != "first" || time.Since(started) < delay {
		t.Errorf("value %q read %v after the start, want the first one after %v", name, time.Since(started), delay)
	}
	if n := looks.Load(); n > 20 {
		t.Errorf("the feed looked %d times whether it may read within %v, want one look in %v", n, delay, startCheckInterval)
	}
}

// Guards against a feed that waits for peers that send nothing, and against a small topic that is
// left to peers.
func TestFeedReadsTopicAtStart(t *testing.T) {
	for value, delay := range map[string]time.Duration{largeValue("large"): 100 * time.Millisecond, "small": time.Hour} {
		store := fleet.NewStore()
		t.Cleanup(store.Close)
		store.Put(platform.TopicOperators, "config", value)
		started := time.Now()
		_, names := runLargeFeed(t, store.Address(), Options{StartDelay: func() time.Duration { return delay }})
		name := <-names
		if name == "large" && time.Since(started) < delay {
			t.Errorf("large topic read %v after the start, want %v at least", time.Since(started), delay)
		}
	}
}

// Guards against a full link that carries a manifest a second time: a read that has not ended when
// a peer has sent the record is given up, and the feed waits for the next one.
func TestReadOfWhatPeerSentIsCanceled(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "config", largeValue("first"))
	target, err := url.Parse("http://" + store.Address())
	if err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(target)
	begun, canceled := make(chan string, 8), make(chan string, 8)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != readPath {
			proxy.ServeHTTP(w, r)
			return
		}
		from := r.URL.Query().Get("from")
		begun <- from
		<-r.Context().Done()
		canceled <- from
	}))
	t.Cleanup(server.Close)
	f, names := runLargeFeed(t, server.Listener.Addr().String(), Options{MaxWait: time.Hour})
	<-names
	if from := <-begun; from != "1" {
		t.Fatalf("read from %s, want from 1", from)
	}
	f.Merge(recordOf(store, store.Put(platform.TopicOperators, "config", largeValue("second")), largeValue("second")))
	if from := <-canceled; from != "1" {
		t.Errorf("read from %s canceled, want that from 1", from)
	}
	if from := <-begun; from != "2" {
		t.Errorf("next read from %s, want from 2", from)
	}
	server.CloseClientConnections()
}
