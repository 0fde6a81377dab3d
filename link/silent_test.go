package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/relay"
	"mimosastand.example/mimosastand/link"
)

func newUDPRelay(t *testing.T, server string) *relay.UDP {
	t.Helper()
	r, err := relay.NewUDP("127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// TestDialWorksBesideSilentConnection checks that a path that drops all packets of one
// connection does not prevent a new connection, and that the first one ends with
// ErrSilent and not with ErrClosed.
func TestDialWorksBesideSilentConnection(t *testing.T) {
	authority := newAuthority(t)
	entry := listen(t, authority, "entry-1", link.RoleEntry)
	target := listen(t, authority, "target-1", link.RoleTarget)
	udpRelay := newUDPRelay(t, target.Address())
	first, err := entry.Dial(context.Background(), udpRelay.Address())
	if err != nil {
		t.Fatal(err)
	}
	udpRelay.ForgetClients()
	second, err := entry.Dial(context.Background(), udpRelay.Address())
	if err != nil {
		t.Fatalf("Dial() beside a silent connection: error = %v, want nil", err)
	}
	if second.Peer().Machine != "target-1" {
		t.Fatalf("Peer() = %+v, want machine target-1", second.Peer())
	}
	select {
	case <-first.Done():
	case <-time.After(time.Minute):
		t.Fatal("silent connection still open after 1 min, want it closed")
	}
	if !errors.Is(first.Err(), link.ErrSilent) {
		t.Fatalf("Err() of silent connection = %v, want ErrSilent", first.Err())
	}
	if second.Err() != nil {
		t.Fatalf("Err() of new connection = %v, want nil", second.Err())
	}
}
