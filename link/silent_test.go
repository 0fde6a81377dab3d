package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/relay"
	"mimosastand.example/mimosastand/link"
)

func newRelay(t *testing.T, server string) *relay.UDP {
	t.Helper()
	r, err := relay.NewUDP("127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// TestNewConnectionAfterASilentOne checks that a path that has gone silent for
// one connection does not keep a new one from working, and that the silent one
// is told from a closed one.
func TestNewConnectionAfterASilentOne(t *testing.T) {
	a := authority(t)
	entry := listen(t, a, "entry-1", link.RoleEntry)
	target := listen(t, a, "target-1", link.RoleTarget)
	path := newRelay(t, target.Address())
	first, err := entry.Dial(context.Background(), path.Address())
	if err != nil {
		t.Fatal(err)
	}
	path.ForgetClients()
	second, err := entry.Dial(context.Background(), path.Address())
	if err != nil {
		t.Fatalf("a new connection beside a silent one: %v", err)
	}
	if second.Peer().Machine != "target-1" {
		t.Fatalf("peer %+v", second.Peer())
	}
	select {
	case <-first.Done():
	case <-time.After(time.Minute):
		t.Fatal("the silent connection was never closed")
	}
	if !errors.Is(first.Err(), link.ErrSilent) {
		t.Fatalf("the silent connection ended with %v", first.Err())
	}
	if second.Err() != nil {
		t.Fatalf("the new connection ended with %v", second.Err())
	}
}
