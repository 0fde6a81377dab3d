package link_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/link"
)

// relay passes UDP packets between clients and a server. It forgets clients on
// demand, as a device on the path does that has lost its table: packets of a
// forgotten client's address are dropped for good, while new addresses work.
type relay struct {
	front  *net.UDPConn
	server *net.UDPAddr

	mu      sync.Mutex
	clients map[string]*net.UDPConn
	lost    map[string]bool
}

func newRelay(t *testing.T, server string) *relay {
	t.Helper()
	address, err := net.ResolveUDPAddr("udp", server)
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{front: front, server: address, clients: map[string]*net.UDPConn{}, lost: map[string]bool{}}
	go r.run()
	t.Cleanup(r.close)
	return r
}

func (r *relay) close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, back := range r.clients {
		_ = back.Close()
	}
}

func (r *relay) run() {
	buffer := make([]byte, 64<<10)
	for {
		n, client, err := r.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if back := r.back(client); back != nil {
			_, _ = back.Write(buffer[:n])
		}
	}
}

// back returns the socket towards the server for a client, nil for a lost one.
func (r *relay) back(client *net.UDPAddr) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lost[client.String()] {
		return nil
	}
	back := r.clients[client.String()]
	if back == nil {
		back, _ = net.DialUDP("udp", nil, r.server)
		r.clients[client.String()] = back
		go r.reply(back, client)
	}
	return back
}

func (r *relay) reply(back *net.UDPConn, client *net.UDPAddr) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := back.Read(buffer)
		if err != nil {
			return
		}
		_, _ = r.front.WriteToUDP(buffer[:n], client)
	}
}

// forget loses all clients seen so far.
func (r *relay) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for client, back := range r.clients {
		r.lost[client] = true
		_ = back.Close()
	}
}

// TestNewConnectionAfterASilentOne checks that a path that has gone silent for
// one connection does not keep a new one from working, and that the silent one
// is told from a closed one.
func TestNewConnectionAfterASilentOne(t *testing.T) {
	a := authority(t)
	entry := listen(t, a, "entry-1", link.RoleEntry)
	target := listen(t, a, "target-1", link.RoleTarget)
	path := newRelay(t, target.Address())
	first, err := entry.Dial(context.Background(), path.front.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	path.forget()
	second, err := entry.Dial(context.Background(), path.front.LocalAddr().String())
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
