package target

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/link"
)

// TestSweepRemovesUnreachablePeers checks that a peer to which no connection could be
// opened is removed once it is idle, so that it does not use memory forever.
func TestSweepRemovesUnreachablePeers(t *testing.T) {
	p := newPeers("t1", "khomas-a")
	p.dial = func(context.Context, string) (*link.Conn, error) { return nil, link.ErrDial }
	if _, err := p.connect(context.Background(), "t2"); !errors.Is(err, errPeerFailed) {
		t.Fatalf("connect() error = %v, want errPeerFailed", err)
	}
	p.closeIdle(time.Now())
	if len(p.byMachine) != 1 {
		t.Fatal("a peer in use was removed")
	}
	p.closeIdle(time.Now().Add(2 * peerIdleTimeout))
	if len(p.byMachine) != 0 {
		t.Fatal("an idle unreachable peer was not removed")
	}
}
