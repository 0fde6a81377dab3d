package relay

import (
	"net"
	"testing"
	"time"
)

// echoUDP starts a server that sends back each packet.
func echoUDP(t *testing.T) string {
	t.Helper()
	server, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() {
		buffer := make([]byte, maxDatagramBytes)
		for {
			n, from, err := server.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = server.WriteTo(buffer[:n], from)
		}
	}()
	return server.LocalAddr().String()
}

func newUDPRelay(t *testing.T) (*UDP, net.Conn) {
	t.Helper()
	u, err := NewUDP("127.0.0.1:0", echoUDP(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(u.Close)
	return u, dialUDP(t, u)
}

func dialUDP(t *testing.T, u *UDP) net.Conn {
	t.Helper()
	conn, err := net.Dial("udp", u.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// Packets that are sent while a way is cut are lost; later ones pass.
func TestPacketsAreLostOneWay(t *testing.T) {
	for _, way := range []Direction{ToServer, ToClient} {
		u, conn := newUDPRelay(t)
		if err := ask(conn, soon); err != nil {
			t.Fatal(err)
		}
		u.SetDirectionCut(way, true)
		if err := ask(conn, quiet); !silentFor(err) {
			t.Errorf("way %d: %v", way, err)
		}
		u.SetDirectionCut(way, false)
		if err := ask(conn, soon); err != nil {
			t.Errorf("way %d after the cut: %v", way, err)
		}
	}
}

func TestPacketsAreHeldUp(t *testing.T) {
	u, conn := newUDPRelay(t)
	u.SetDelay(quiet)
	start := time.Now()
	if err := ask(conn, soon); err != nil || time.Since(start) < 2*quiet {
		t.Errorf("%v after %v", err, time.Since(start))
	}
}

func TestForgottenClients(t *testing.T) {
	u, old := newUDPRelay(t)
	if err := ask(old, soon); err != nil {
		t.Fatal(err)
	}
	u.ForgetClients()
	if err := ask(old, quiet); !silentFor(err) {
		t.Errorf("the old one: %v", err)
	}
	if err := ask(dialUDP(t, u), soon); err != nil {
		t.Errorf("a new one: %v", err)
	}
}
