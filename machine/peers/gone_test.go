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

// An entry that the store turned away asked only the peer that had told first of the
// newest manifest; when that did not answer it kept an older one, though all others
// had the newest.
func TestAnotherPeerIsAskedWhenTheFirstThatToldIsGone(t *testing.T) {
	store := fleet.NewStore()
	t.Cleanup(store.Close)
	openEntry(t, store, "entry-2", func(s *link.Stream) {
		_ = s.Send(contract.Message{Kind: contract.KindRecords, Records: &contract.Records{
			Topic:   platform.TopicOperators,
			Records: []contract.Record{{Offset: 5, Key: "config", Value: []byte("newest")}},
			Known:   true,
		}})
	})
	asking := openEntry(t, store, "entry-1", func(*link.Stream) {})
	news := make(chan string, 8)
	f := feed.New(nil, feed.Options{
		Topic: platform.TopicOperators,
		OnChange: func(n feed.News) {
			for _, r := range n.Records {
				news <- r.Key
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	c := NewCatchup(asking, f, platform.TopicOperators, 0)
	for !asking.Linked("entry-2") {
		time.Sleep(time.Millisecond)
	}
	c.Told("entry-3", 5)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	if key := <-news; key != "config" {
		t.Errorf("told %s", key)
	}
	cancel()
	wg.Wait()
}

// openEntry opens and runs an entry's peers until the test ends.
func openEntry(t *testing.T, store *fleet.Store, id contract.MachineID, serve func(*link.Stream)) *Peers {
	p, err := Open(Options{
		Self:   Member{Machine: id, Role: link.RoleEntry, Zone: "a", Region: "ra", Address: "127.0.0.1:0"},
		Store:  platform.NewStore(store.Address()),
		Log:    &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
		Beat:   func(contract.MachineID, *contract.Heartbeat) {},
		OnBeat: func(contract.Heartbeat) {},
		Serve:  func(_ context.Context, _ contract.Message, s *link.Stream) { serve(s) },
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
