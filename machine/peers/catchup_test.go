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

// A peer told that it knows more and is cut off before it can be asked, while the
// process's own read of the store waits and is not woken: the store is asked anew.
func TestTheStoreIsAskedWhenThePeerThatIsAheadIsGone(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	quiet := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	client := platform.NewStore(store.Address())
	opened, err := Open(Options{
		Self:          Member{Machine: "entry-1", Role: link.RoleEntry, Zone: "a", Region: "ra", Address: "127.0.0.1:0"},
		Store:         client,
		Log:           quiet,
		FillHeartbeat: func(contract.MachineID, *contract.Heartbeat) {},
		OnHeartbeat:   func(contract.Heartbeat) {},
		ServeStream:   func(context.Context, contract.Message, *link.Stream) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.TopicOperators, "a", "1")
	news := make(chan string, 8)
	f := feed.New(client, feed.Options{
		Topic:   platform.TopicOperators,
		MaxWait: time.Hour,
		OnChange: func(n feed.Update) {
			for _, r := range n.Records {
				news <- r.Key
			}
		},
		Log: quiet,
	})
	c := NewCatchup(opened, f, platform.TopicOperators, 0)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { opened.Run(ctx) })
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() { c.Run(ctx) })
	if key := <-news; key != "a" {
		t.Fatalf("first record %s", key)
	}
	store.SetAsleep(true)
	c.ObservePeerOffset("entry-2", store.Put(platform.TopicOperators, "b", "2"))
	if key := <-news; key != "b" {
		t.Errorf("second record %s", key)
	}
	cancel()
	wg.Wait()
}
