package relay

import (
	"net"
	"testing"
	"time"
)

// echoUDP starts a server that sends back each packet, and returns its address.
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

// newUDPRelay returns a relay to an echo server and a client connected to the relay.
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

// Packets that are sent while a direction is cut are dropped; later packets pass.
func TestUDPDropsPacketsOfCutDirection(t *testing.T) {
	for _, direction := range []Direction{ToServer, ToClient} {
		u, conn := newUDPRelay(t)
		if err := echoByte(conn, answerTimeout); err != nil {
			t.Fatal(err)
		}
		u.SetDirectionCut(direction, true)
		if err := echoByte(conn, silenceTime); !isTimeout(err) {
			t.Errorf("direction %d while cut: echo error = %v, want a timeout", direction, err)
		}
		u.SetDirectionCut(direction, false)
		if err := echoByte(conn, answerTimeout); err != nil {
			t.Errorf("direction %d after the cut: echo error = %v, want none", direction, err)
		}
	}
}

func TestUDPDelaysPackets(t *testing.T) {
	u, conn := newUDPRelay(t)
	u.SetDelay(silenceTime)
	start := time.Now()
	if err := echoByte(conn, answerTimeout); err != nil || time.Since(start) < 2*silenceTime {
		t.Errorf("echo error = %v after %v, want none after at least twice the delay", err, time.Since(start))
	}
}

func TestUDPDropsPacketsOfForgottenClients(t *testing.T) {
	u, old := newUDPRelay(t)
	if err := echoByte(old, answerTimeout); err != nil {
		t.Fatal(err)
	}
	u.ForgetClients()
	if err := echoByte(old, silenceTime); !isTimeout(err) {
		t.Errorf("forgotten client: echo error = %v, want a timeout", err)
	}
	if err := echoByte(dialUDP(t, u), answerTimeout); err != nil {
		t.Errorf("new client: echo error = %v, want none", err)
	}
}
