package pool_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/pool"
)

type quiet struct{}

func (quiet) Heartbeat(link.Peer) contract.Heartbeat { return contract.Heartbeat{} }

func (quiet) HeartbeatReceived(*link.Conn, contract.Heartbeat) {}

func (quiet) ServeStream(context.Context, *link.Conn, *link.Stream) {}

func (quiet) PeerRejected(error) {}

func listen(t *testing.T, a *devkeys.Authority, name string, role link.Role) *link.Endpoint {
	t.Helper()
	creds, err := a.IssueCredentials(name, role)
	if err != nil {
		t.Fatal(err)
	}
	e, err := link.Listen("127.0.0.1:0", creds, quiet{}, link.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func endpoints(t *testing.T) (entry, target *link.Endpoint) {
	t.Helper()
	a, err := devkeys.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return listen(t, a, "entry-1", link.RoleEntry), listen(t, a, "target-1", link.RoleTarget)
}

// TestRedialKeepsTheFormerConnection checks that a redial gives a new connection
// while streams on the former one go on.
func TestRedialKeepsTheFormerConnection(t *testing.T) {
	entry, target := endpoints(t)
	up := make(chan *link.Conn, 2)
	p := pool.New(entry, pool.Options{OnUp: func(_ contract.MachineID, c *link.Conn) { up <- c }})
	t.Cleanup(p.Close)
	p.Set(map[contract.MachineID]string{"target-1": target.Address()})
	first := <-up
	p.Redial("target-1")
	second := <-up
	if first == second {
		t.Fatal("redial gave the former connection")
	}
	if first.Err() != nil {
		t.Fatalf("the former connection ended: %v", first.Err())
	}
	if got, ok := p.Get("target-1"); !ok || got != second {
		t.Fatal("Get does not return the new connection")
	}
}

// TestEndedConnectionIsNotGiven checks that a connection is not given once it has
// ended, also while its end is still being told.
func TestEndedConnectionIsNotGiven(t *testing.T) {
	entry, target := endpoints(t)
	up, told := make(chan *link.Conn, 1), make(chan struct{})
	p := pool.New(entry, pool.Options{OnUp: func(_ contract.MachineID, c *link.Conn) {
		up <- c
		<-told
	}})
	t.Cleanup(p.Close)
	t.Cleanup(func() { close(told) })
	p.Set(map[contract.MachineID]string{"target-1": target.Address()})
	conn := <-up
	conn.Close()
	<-conn.Done()
	if got, ok := p.Get("target-1"); ok {
		t.Fatalf("Get gave a connection that ended with %v", got.Err())
	}
}

// TestWrongPeer checks that another machine at a peer's address is not taken
// for it.
func TestWrongPeer(t *testing.T) {
	entry, target := endpoints(t)
	down := make(chan error, 16)
	p := pool.New(entry, pool.Options{OnDown: func(_ contract.MachineID, err error) {
		select {
		case down <- err:
		default:
		}
	}})
	t.Cleanup(p.Close)
	p.Set(map[contract.MachineID]string{"target-2": target.Address()})
	if err := <-down; !errors.Is(err, pool.ErrWrongPeer) {
		t.Fatalf("error %v", err)
	}
	if _, ok := p.Get("target-2"); ok {
		t.Fatal("a connection to another machine was offered")
	}
}
