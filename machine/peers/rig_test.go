package peers

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/standin/fleet"
)

// catchUp waits until asking is linked to a peer and tells it that another one knows the
// operators' records up to an offset. It returns the keys of the records that come, and
// catches up until the test ends.
func catchUp(t *testing.T, asking *Peers, linked, ahead contract.MachineID, newest int64) <-chan string {
	t.Helper()
	news := make(chan string, 8)
	f := feed.New(nil, feed.Options{
		Topic: platform.TopicOperators,
		OnChange: func(n feed.Update) {
			for _, r := range n.Records {
				news <- r.Key
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	c := NewCatchup(asking, f, platform.TopicOperators, 0)
	for !asking.IsLinked(linked) {
		time.Sleep(time.Millisecond)
	}
	c.ObservePeerOffset(ahead, newest)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return news
}

// openEntry opens and runs an entry's peers until the test ends.
func openEntry(t *testing.T, store *fleet.Store, id contract.MachineID, serve func(*link.Stream)) *Peers {
	p, err := Open(Options{
		Self:          Member{Machine: id, Role: link.RoleEntry, Zone: "a", Region: "ra", Address: "127.0.0.1:0"},
		Store:         platform.NewStore(store.Address()),
		Log:           &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
		FillHeartbeat: func(contract.MachineID, *contract.Heartbeat) {},
		OnHeartbeat:   func(contract.Heartbeat) {},
		ServeStream:   func(_ context.Context, _ contract.Message, s *link.Stream) { serve(s) },
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return p
}
