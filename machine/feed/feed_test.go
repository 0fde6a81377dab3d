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

// Guards against missing a record whose write does not wake the waiting read: Refresh
// must cancel that read, the next read must return the record, and the store must not be
// reported as lost.
func TestRefreshReadsRecordMissedByWaitingRead(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	changed := make(chan contract.Record, 8)
	f := New(platform.NewStore(store.Address()), Options{
		Topic:   platform.TopicOperators,
		MaxWait: time.Hour,
		OnChange: func(update Update) {
			for _, r := range update.Records {
				changed <- r
			}
		},
		OnStoreStateChange: func(s StoreState) {
			if !s.Up {
				t.Error("OnStoreStateChange called with a lost store, want no report of a lost store")
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	if r := <-changed; r.Key != "a" {
		t.Fatalf("first record = %+v, want key \"a\"", r)
	}
	store.SetWakeupsDisabled(true)
	// The two calls are the snapshot and the read that waits for records.
	for store.Calls() < 2 {
		time.Sleep(time.Millisecond)
	}
	store.Put(platform.TopicOperators, "b", "2")
	f.Refresh()
	if r := <-changed; r.Key != "b" {
		t.Errorf("second record = %+v, want key \"b\"", r)
	}
	cancel()
	wg.Wait()
}

// Guards against refreshes that hide an unresponsive store: a store that accepts reads
// and never answers them must be reported as lost, however often Refresh is called
// meanwhile.
func TestRefreshDoesNotMaskUnresponsiveStore(t *testing.T) {
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
		OnStoreStateChange: func(s StoreState) {
			if !s.Up {
				lost <- struct{}{}
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	for reported := false; !reported; {
		f.Refresh()
		select {
		case <-lost:
			reported = true
		case <-time.After(10 * time.Millisecond):
		}
	}
	cancel()
	wg.Wait()
}

// Guards against mistaking records that the store held before the process started for
// records that were written while it follows the topic.
func TestUpdateCaughtUpAtIsZeroOnlyForRecordsFoundAtStart(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	store.Put(platform.TopicOperators, "a", "1")
	updates := make(chan Update, 8)
	f := New(platform.NewStore(store.Address()), Options{
		Topic:    platform.TopicOperators,
		MaxWait:  time.Hour,
		OnChange: func(update Update) { updates <- update },
		Log:      &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	if update := <-updates; !update.CaughtUpAt.IsZero() || len(update.Records) != 1 {
		t.Errorf("update with the records found at the start = %+v, want a zero Since and 1 record", update)
	}
	store.Put(platform.TopicOperators, "a", "2")
	if update := <-updates; update.CaughtUpAt.IsZero() || len(update.Records) != 1 {
		t.Errorf("update with a record written later = %+v, want a nonzero Since and 1 record", update)
	}
	cancel()
	wg.Wait()
}
