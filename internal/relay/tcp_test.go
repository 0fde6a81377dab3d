package relay

import (
	"io"
	"net"
	"testing"
	"time"
)

const (
	// soon is well within the time in which a working path answers, quiet how long a
	// path must stay silent to count as silent.
	soon  = 5 * time.Second
	quiet = 200 * time.Millisecond
)

// echo starts a server that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	front, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = front.Close() })
	go func() {
		for {
			conn, err := front.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return front.Addr().String()
}

func newRelay(t *testing.T) *TCP {
	t.Helper()
	r, err := NewTCP("127.0.0.1:0", echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func connect(t *testing.T, r *TCP) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// ask sends a byte and reports whether it came back in time.
func ask(conn net.Conn, wait time.Duration) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	return hear(conn, wait)
}

func hear(conn net.Conn, wait time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := conn.Read(make([]byte, 1))
	return err
}

func silentFor(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// What is sent on a way that is cut arrives after the cut, whichever way that is.
func TestCutOneWay(t *testing.T) {
	for _, way := range []Direction{ToServer, ToClient} {
		r := newRelay(t)
		conn := connect(t, r)
		if err := ask(conn, soon); err != nil {
			t.Fatal(err)
		}
		r.SetDirectionCut(way, true)
		if err := ask(conn, quiet); !silentFor(err) {
			t.Errorf("way %d: %v", way, err)
		}
		r.SetDirectionCut(way, false)
		if err := hear(conn, soon); err != nil {
			t.Errorf("way %d after the cut: %v", way, err)
		}
	}
}

// Connections that were silenced stay silent for good; new ones work.
func TestSilence(t *testing.T) {
	r := newRelay(t)
	old := connect(t, r)
	if err := ask(old, soon); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	if err := ask(old, quiet); !silentFor(err) {
		t.Errorf("the old one: %v", err)
	}
	if err := ask(connect(t, r), soon); err != nil {
		t.Errorf("a new one: %v", err)
	}
}

func TestReset(t *testing.T) {
	r := newRelay(t)
	old := connect(t, r)
	if err := ask(old, soon); err != nil {
		t.Fatal(err)
	}
	r.Reset()
	if err := hear(old, soon); err == nil || silentFor(err) {
		t.Errorf("the old one: %v", err)
	}
	if err := ask(connect(t, r), soon); err != nil {
		t.Errorf("a new one: %v", err)
	}
}

func TestDelay(t *testing.T) {
	r := newRelay(t)
	conn := connect(t, r)
	r.SetDelay(quiet)
	start := time.Now()
	if err := ask(conn, soon); err != nil || time.Since(start) < 2*quiet {
		t.Errorf("%v after %v", err, time.Since(start))
	}
}
