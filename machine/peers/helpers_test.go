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

// startCatchup waits until puller is linked to the peer linked, and reports that the peer
// ahead holds the operators' records up to an offset. It runs a Catchup until the test
// ends and returns the keys of the records that change.
func startCatchup(t *testing.T, puller *Peers, linked, ahead contract.MachineID, newest int64) <-chan string {
	t.Helper()
	changedKeys := make(chan string, 8)
	f := feed.New(nil, feed.Options{
		Topic: platform.TopicOperators,
		OnChange: func(update feed.Update) {
			for _, r := range update.Records {
				changedKeys <- r.Key
			}
		},
		Log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	})
	c := NewCatchup(puller, f, platform.TopicOperators, 0)
	waitForLink(puller, linked)
	c.ObservePeerOffset(ahead, newest)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { c.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	return changedKeys
}

// startEntry opens the Peers of an entry and runs them until the test ends.
func startEntry(t *testing.T, store *fleet.Store, id contract.MachineID, serve func(*link.Stream)) *Peers {
	return startMember(t, store, id, link.RoleEntry, serve)
}

// startMember opens the Peers of a process with a role and runs them until the test ends.
func startMember(t *testing.T, store *fleet.Store, id contract.MachineID, role link.Role, serve func(*link.Stream)) *Peers {
	p, err := Open(Options{
		Self:          Member{Machine: id, Role: role, Zone: "a", Region: "ra", Address: "127.0.0.1:0"},
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

// waitForLink waits until a process is linked to a machine.
func waitForLink(p *Peers, id contract.MachineID) {
	for !p.IsLinked(id) {
		time.Sleep(time.Millisecond)
	}
}
