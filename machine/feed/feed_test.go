package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// A read that waits is not woken by a write. Refresh ends it, and the next one brings
// the record; the store does not count as lost.
func TestRefreshReadsWhatAWaitingReadWasNotWokenFor(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	news := make(chan contract.Record, 8)
	f := New(platform.NewStore(store.Address()), Options{
		Topic:   platform.TopicOperators,
		MaxWait: time.Hour,
		OnChange: func(n Update) {
			for _, r := range n.Records {
				news <- r
			}
		},
		OnStoreStateChange: func(up bool) {
			if !up {
				t.Error("the store counts as lost")
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	if r := <-news; r.Key != "a" {
		t.Fatalf("first record %+v", r)
	}
	store.SetAsleep(true)
	// The newest records and the read that waits.
	for store.Calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	store.Put(platform.TopicOperators, "b", "2")
	f.Refresh()
	if r := <-news; r.Key != "b" {
		t.Errorf("second record %+v", r)
	}
	cancel()
	wg.Wait()
}

// A store that takes reads and never answers comes to count as lost, however often the
// topic is to be read anew meanwhile.
func TestRefreshDoesNotHideAStoreThatIsLost(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "newest") {
			_, _ = w.Write([]byte(`{"items":[],"has_more":false,"end_offset":0}`))
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	lost := make(chan struct{}, 8)
	f := New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), Options{
		Topic:    platform.TopicOperators,
		MaxWait:  time.Hour,
		OnChange: func(Update) {},
		OnStoreStateChange: func(up bool) {
			if !up {
				lost <- struct{}{}
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	for told := false; !told; {
		f.Refresh()
		select {
		case <-lost:
			told = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	cancel()
	wg.Wait()
}

// What stood in the store before the process started is told apart from what is written
// while it follows the topic.
func TestWhatWasFoundAtTheStartIsToldApart(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	news := make(chan Update, 8)
	f := New(platform.NewStore(store.Address()), Options{
		Topic:    platform.TopicOperators,
		MaxWait:  time.Hour,
		OnChange: func(n Update) { news <- n },
		Log:      &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	if n := <-news; !n.Since.IsZero() || len(n.Records) != 1 {
		t.Errorf("found at the start: %+v", n)
	}
	store.Put(platform.TopicOperators, "a", "2")
	if n := <-news; n.Since.IsZero() || len(n.Records) != 1 {
		t.Errorf("written later: %+v", n)
	}
	cancel()
	wg.Wait()
}
