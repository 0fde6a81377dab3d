package weightcache

import (
	"context"
	"fmt"
	"testing"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// Guards against an entry that crashes since two goroutines append the same record: one began when a record was
// queued at the moment at which the other one had appended the last.
func TestRecordQueuedAsLastOneIsAppendedIsAppendedOnce(t *testing.T) {
	const records = 4000
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	cache := New(ctx, Options{Store: platform.NewStore(store.Address()), Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel}})
	cv := &cachedVersion{cache: cache, id: Version{Model: fleet.Model, Number: 2}, ctx: ctx}
	isIdle := func() bool {
		cv.pendingMu.Lock()
		defer cv.pendingMu.Unlock()
		return len(cv.pending) == 0
	}
	for i := range records {
		cv.enqueueRecord(fmt.Sprint("key-", i), []byte("value"))
		for !isIdle() {
		}
	}
	if calls := store.Calls(); calls != records {
		t.Errorf("%d records were appended with %d calls", records, calls)
	}
}
