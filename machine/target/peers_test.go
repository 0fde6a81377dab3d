package target

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/link"
)

// TestUnreachablePeersAreForgotten checks that a peer that was never connected
// takes no memory for good.
func TestUnreachablePeersAreForgotten(t *testing.T) {
	p := newPeers("t1", "khomas-a")
	p.dial = func(context.Context, string) (*link.Conn, error) { return nil, link.ErrDial }
	if _, err := p.connect(context.Background(), "t2"); !errors.Is(err, errPeer) {
		t.Fatalf("error %v", err)
	}
	p.sweep(time.Now())
	if len(p.known) != 1 {
		t.Fatal("a peer in use was forgotten")
	}
	p.sweep(time.Now().Add(2 * peerIdle))
	if len(p.known) != 0 {
		t.Fatal("an unreachable peer is kept")
	}
}
