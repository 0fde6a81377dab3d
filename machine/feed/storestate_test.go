package feed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/platform"
)

// Guards against a store that is found again long after its return (DRAIN, review/5): after a call that
// the store did not answer, the feed waited before the next one as if the store had refused it. What
// it reports bounds when the store returned.
func TestReturnOfSilentStoreIsFoundSoon(t *testing.T) {
	t.Parallel()
	const (
		silentCalls = 5
		// callTime is the time limit of a read of the store, slack what the machine may add.
		callTime = time.Second
		slack    = 200 * time.Millisecond
	)
	var isSilent atomic.Bool
	calls := make(chan time.Time, 64)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "newest") {
			_, _ = w.Write([]byte(`{"items":[],"has_more":false,"end_offset":0}`))
			return
		}
		if isSilent.Load() {
			calls <- time.Now()
			<-r.Context().Done()
			return
		}
		_, _ = w.Write(make([]byte, 16))
	}))
	t.Cleanup(server.Close)
	states := make(chan StoreState, 8)
	f := New(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), Options{
		Topic:              platform.TopicTargets,
		ReadInterval:       func() time.Duration { return 10 * time.Millisecond },
		OnChange:           func(Update) {},
		OnStoreStateChange: func(s StoreState) { states <- s },
		Log:                &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	if s := <-states; !s.Up || !s.AwayAt.IsZero() {
		t.Errorf("first state = %+v, want a store that answers and was never away", s)
	}
	isSilent.Store(true)
	last := <-calls
	for range silentCalls - 1 {
		at := <-calls
		if gap := at.Sub(last); gap > callTime+slack {
			t.Errorf("%v between two calls that were not answered, want at most %v", gap, callTime+slack)
		}
		last = at
	}
	isSilent.Store(false)
	if s := <-states; s.Up {
		t.Errorf("second state = %+v, want a lost store", s)
	}
	s := <-states
	if found := time.Since(last); !s.Up || found > callTime+slack {
		t.Errorf("third state = %+v, %v after the last call that was not answered, want a store that answers after at most %v", s, found, callTime+slack)
	}
	if age := last.Sub(s.AwayAt); age < 0 || age > slack {
		t.Errorf("the store was away %v before the last call that was not answered, want when that call began", age)
	}
	cancel()
	wg.Wait()
}
