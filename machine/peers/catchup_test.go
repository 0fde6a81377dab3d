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

// Guards against a feed that stays behind when the peer that reported a newer offset is
// cut off before the pull, while the process's own read waits at the store and is not
// woken: the feed must read the store again.
func TestCatchupRefreshesFeedWhenPeerAheadIsUnreachable(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	discardLog := &log.Logger{Handler: discard.Default, Level: log.InfoLevel}
	client := platform.NewStore(store.Address())
	p, err := Open(Options{
		Self:          Member{Machine: "entry-1", Role: link.RoleEntry, Zone: "a", Region: "ra", Address: "127.0.0.1:0"},
		Store:         client,
		Log:           discardLog,
		FillHeartbeat: func(contract.MachineID, *contract.Heartbeat) {},
		OnHeartbeat:   func(contract.Heartbeat) {},
		ServeStream:   func(context.Context, contract.Message, *link.Stream) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put(platform.TopicOperators, "a", "1")
	changedKeys := make(chan string, 8)
	f := feed.New(client, feed.Options{
		Topic:   platform.TopicOperators,
		MaxWait: time.Hour,
		OnChange: func(update feed.Update) {
			for _, r := range update.Records {
				changedKeys <- r.Key
			}
		},
		Log: discardLog,
	})
	c := NewCatchup(p, f, platform.TopicOperators, 0)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.Run(ctx) })
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() { c.Run(ctx) })
	if key := <-changedKeys; key != "a" {
		t.Fatalf("first changed key = %q, want \"a\"", key)
	}
	store.SetWakeupsDisabled(true)
	// The feed's next read waits at the store before "b" is written.
	time.Sleep(50 * time.Millisecond)
	offset := store.Put(platform.TopicOperators, "b", "2")
	c.ObservePeerOffset("entry-2", contract.NewPosition(f.Era(), offset))
	select {
	case key := <-changedKeys:
		if key != "b" {
			t.Errorf("second changed key = %q, want \"b\"", key)
		}
	case <-time.After(10 * time.Second):
		t.Error("\"b\" is not read within 10s, although a peer has reported it")
	}
	cancel()
	wg.Wait()
}
