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

type echo struct{}

func (echo) Heartbeat(link.Peer) contract.Heartbeat { return contract.Heartbeat{Machine: "m"} }

func (echo) HeartbeatReceived(*link.Conn, contract.Heartbeat) {}

func (echo) ServeStream(_ context.Context, _ *link.Conn, s *link.Stream) {
	m, err := s.Recv()
	if err == nil {
		_ = s.Send(m)
	}
}

func (echo) PeerRejected(error) {}

func listen(t *testing.T, a *devkeys.Authority, name string, role link.Role) *link.Endpoint {
	t.Helper()
	creds, err := a.IssueCredentials(name, role)
	if err != nil {
		t.Fatal(err)
	}
	e, err := link.Listen("127.0.0.1:0", creds, echo{}, link.Config{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Close)
	return e
}

func authority(t *testing.T) *devkeys.Authority {
	t.Helper()
	a, err := devkeys.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func TestStreamBetweenEndpoints(t *testing.T) {
	a := authority(t)
	entry := listen(t, a, "entry-1", link.RoleEntry)
	target := listen(t, a, "target-1", link.RoleTarget)
	c, err := entry.Dial(context.Background(), target.Address())
	if err != nil {
		t.Fatal(err)
	}
	if c.Peer() != (link.Peer{Machine: "target-1", Role: link.RoleTarget}) {
		t.Fatalf("peer %+v", c.Peer())
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
		t.Fatalf("got %+v, %v", got, err)
	}
	s.Close()
}

// TestUnknownAuthority checks that a certificate of another authority opens no
// stream, in either direction.
func TestUnknownAuthority(t *testing.T) {
	entry := listen(t, authority(t), "entry-1", link.RoleEntry)
	target := listen(t, authority(t), "target-1", link.RoleTarget)
	c, err := entry.Dial(context.Background(), target.Address())
	if err == nil {
		t.Fatalf("connected to %+v", c.Peer())
	}
	if !errors.Is(err, link.ErrDial) {
		t.Fatalf("error %v", err)
	}
}

func TestExpiredOrWrongRoleCredentials(t *testing.T) {
	a := authority(t)
	expired, err := a.Issue("entry-1", link.RoleEntry, -time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := link.LoadCredentials(expired, link.RoleEntry, time.Now()); !errors.Is(err, link.ErrCredentials) {
		t.Fatalf("expired: %v", err)
	}
	valid, err := a.Issue("entry-2", link.RoleEntry, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := link.LoadCredentials(valid, link.RoleTarget, time.Now()); !errors.Is(err, link.ErrCredentials) {
		t.Fatalf("wrong role: %v", err)
	}
}
