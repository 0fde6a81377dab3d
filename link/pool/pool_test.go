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

type noopHandler struct{}

func (noopHandler) Heartbeat(link.Peer) contract.Heartbeat { return contract.Heartbeat{} }

func (noopHandler) HeartbeatReceived(*link.Conn, contract.Heartbeat) {}

func (noopHandler) ServeStream(context.Context, *link.Conn, *link.Stream) {}

func (noopHandler) PeerRejected(error) {}

func listen(t *testing.T, authority *devkeys.Authority, name string, role link.Role) *link.Endpoint {
	t.Helper()
	creds, err := authority.IssueCredentials(name, role)
	if err != nil {
		t.Fatal(err)
	}
	e, err := link.Listen("127.0.0.1:0", creds, noopHandler{}, link.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func newEndpoints(t *testing.T) (entry, target *link.Endpoint) {
	t.Helper()
	authority, err := devkeys.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return listen(t, authority, "entry-1", link.RoleEntry), listen(t, authority, "target-1", link.RoleTarget)
}

// TestRedialLeavesPreviousConnectionOpen checks that a redial makes a new connection and
// leaves the previous one open for its streams.
func TestRedialLeavesPreviousConnectionOpen(t *testing.T) {
	entry, target := newEndpoints(t)
	up := make(chan *link.Conn, 2)
	p := pool.New(entry, pool.Options{OnUp: func(_ contract.MachineID, c *link.Conn) { up <- c }})
	t.Cleanup(p.Close)
	p.Set(map[contract.MachineID]string{"target-1": target.Address()})
	first := <-up
	p.Redial("target-1")
	second := <-up
	if first == second {
		t.Fatal("OnUp after Redial() got the previous connection, want a new one")
	}
	if first.Err() != nil {
		t.Fatalf("Err() of previous connection = %v, want nil", first.Err())
	}
	if got, ok := p.Get("target-1"); !ok || got != second {
		t.Fatal("Get() does not return the connection made by Redial()")
	}
}

// TestGetOmitsEndedConnection checks that Get does not return a connection that has
// ended, even before the pool has handled its end because OnUp is still running.
func TestGetOmitsEndedConnection(t *testing.T) {
	entry, target := newEndpoints(t)
	up, unblockOnUp := make(chan *link.Conn, 1), make(chan struct{})
	p := pool.New(entry, pool.Options{OnUp: func(_ contract.MachineID, c *link.Conn) {
		up <- c
		<-unblockOnUp
	}})
	t.Cleanup(p.Close)
	t.Cleanup(func() { close(unblockOnUp) })
	p.Set(map[contract.MachineID]string{"target-1": target.Address()})
	conn := <-up
	conn.Close()
	<-conn.Done()
	if got, ok := p.Get("target-1"); ok {
		t.Fatalf("Get() returned a connection that ended with %v, want none", got.Err())
	}
}

// TestOtherHostAtAddressIsRejected checks that the pool does not use a connection to
// another host that answers at a peer's address.
func TestOtherHostAtAddressIsRejected(t *testing.T) {
	entry, target := newEndpoints(t)
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
		t.Fatalf("OnDown got error %v, want ErrWrongPeer", err)
	}
	if _, ok := p.Get("target-2"); ok {
		t.Fatal("Get() returned a connection to another host, want none")
	}
}
