package link_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
)

type echoHandler struct{}

func (echoHandler) Heartbeat(link.Peer) contract.Heartbeat { return contract.Heartbeat{Machine: "m"} }

func (echoHandler) HeartbeatReceived(*link.Conn, contract.Heartbeat) {}

func (echoHandler) ServeStream(_ context.Context, _ *link.Conn, s *link.Stream) {
	m, err := s.Recv()
	if err == nil {
		_ = s.Send(m)
	}
}

func (echoHandler) PeerRejected(error) {}

func listen(t *testing.T, authority *devkeys.Authority, name string, role link.Role) *link.Endpoint {
	t.Helper()
	creds, err := authority.IssueCredentials(name, role)
	if err != nil {
		t.Fatal(err)
	}
	e, err := link.Listen("127.0.0.1:0", creds, echoHandler{}, link.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func newAuthority(t *testing.T) *devkeys.Authority {
	t.Helper()
	authority, err := devkeys.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return authority
}

func TestStreamExchangesMessages(t *testing.T) {
	authority := newAuthority(t)
	entry := listen(t, authority, "entry-1", link.RoleEntry)
	target := listen(t, authority, "target-1", link.RoleTarget)
	c, err := entry.Dial(context.Background(), target.Address())
	if err != nil {
		t.Fatal(err)
	}
	if c.Peer() != (link.Peer{Machine: "target-1", Role: link.RoleTarget}) {
		t.Fatalf("Peer() = %+v, want target-1 with role target", c.Peer())
	}
	s, err := c.Open(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	sent := contract.Message{Kind: contract.KindQuery, Query: &contract.Query{Tombstone: true}}
	if err := s.Send(sent); err != nil {
		t.Fatal(err)
	}
	got, err := s.Recv()
	if err != nil || !got.Query.Tombstone {
		t.Fatalf("Recv() = %+v, %v, want a Query with Tombstone set", got, err)
	}
	s.Close()
}

// TestDialFailsWithUnknownAuthority checks that no connection is made between processes
// whose certificates are of different authorities.
func TestDialFailsWithUnknownAuthority(t *testing.T) {
	entry := listen(t, newAuthority(t), "entry-1", link.RoleEntry)
	target := listen(t, newAuthority(t), "target-1", link.RoleTarget)
	c, err := entry.Dial(context.Background(), target.Address())
	if err == nil {
		t.Fatalf("Dial() connected to %+v, want ErrDial", c.Peer())
	}
	if !errors.Is(err, link.ErrDial) {
		t.Fatalf("Dial() error = %v, want ErrDial", err)
	}
}

func TestLoadCredentialsFailsIfExpiredOrWrongRole(t *testing.T) {
	authority := newAuthority(t)
	expired, err := authority.Issue("entry-1", link.RoleEntry, -time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := link.LoadCredentials(expired, link.RoleEntry, time.Now()); !errors.Is(err, link.ErrCredentials) {
		t.Fatalf("LoadCredentials() with expired certificate: error = %v, want ErrCredentials", err)
	}
	valid, err := authority.Issue("entry-2", link.RoleEntry, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := link.LoadCredentials(valid, link.RoleTarget, time.Now()); !errors.Is(err, link.ErrCredentials) {
		t.Fatalf("LoadCredentials() with wrong role: error = %v, want ErrCredentials", err)
	}
}
