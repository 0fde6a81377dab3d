package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	// answerTimeout bounds the wait for an answer on a working path; it is much longer than
	// such an answer takes. silenceTime is how long a path must not answer to count as
	// silent.
	answerTimeout = 5 * time.Second
	silenceTime   = 200 * time.Millisecond
)

// echoTCP starts a server that sends back what it receives, and returns its address.
func echoTCP(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(conn, conn)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func newTCPRelay(t *testing.T) *TCP {
	t.Helper()
	r, err := NewTCP("127.0.0.1:0", echoTCP(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

func dialTCP(t *testing.T, r *TCP) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoByte sends a byte and returns an error unless a byte comes back within timeout.
func echoByte(conn net.Conn, timeout time.Duration) error {
	if _, err := conn.Write([]byte{1}); err != nil {
		return err
	}
	return readByte(conn, timeout)
}

func readByte(conn net.Conn, timeout time.Duration) error {
	_ = conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := conn.Read(make([]byte, 1))
	return err
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// Bytes that are sent while either direction is cut arrive after the cut.
func TestTCPDeliversBytesAfterCutOfDirection(t *testing.T) {
	for _, direction := range []Direction{ToServer, ToClient} {
		r := newTCPRelay(t)
		conn := dialTCP(t, r)
		if err := echoByte(conn, answerTimeout); err != nil {
			t.Fatal(err)
		}
		r.SetDirectionCut(direction, true)
		if err := echoByte(conn, silenceTime); !isTimeout(err) {
			t.Errorf("direction %d while cut: echo error = %v, want a timeout", direction, err)
		}
		r.SetDirectionCut(direction, false)
		if err := readByte(conn, answerTimeout); err != nil {
			t.Errorf("direction %d after the cut: read error = %v, want none", direction, err)
		}
	}
}

// Silenced connections stay silent for good; new connections work.
func TestTCPSilence(t *testing.T) {
	r := newTCPRelay(t)
	old := dialTCP(t, r)
	if err := echoByte(old, answerTimeout); err != nil {
		t.Fatal(err)
	}
	r.Silence()
	if err := echoByte(old, silenceTime); !isTimeout(err) {
		t.Errorf("silenced connection: echo error = %v, want a timeout", err)
	}
	if err := echoByte(dialTCP(t, r), answerTimeout); err != nil {
		t.Errorf("new connection: echo error = %v, want none", err)
	}
}

func TestTCPReset(t *testing.T) {
	r := newTCPRelay(t)
	old := dialTCP(t, r)
	if err := echoByte(old, answerTimeout); err != nil {
		t.Fatal(err)
	}
	r.Reset()
	if err := readByte(old, answerTimeout); err == nil || isTimeout(err) {
		t.Errorf("reset connection: read error = %v, want an error other than a timeout", err)
	}
	if err := echoByte(dialTCP(t, r), answerTimeout); err != nil {
		t.Errorf("new connection: echo error = %v, want none", err)
	}
}

func TestTCPDelay(t *testing.T) {
	r := newTCPRelay(t)
	conn := dialTCP(t, r)
	r.SetDelay(silenceTime)
	start := time.Now()
	if err := echoByte(conn, answerTimeout); err != nil || time.Since(start) < 2*silenceTime {
		t.Errorf("echo error = %v after %v, want none after at least twice the delay", err, time.Since(start))
	}
}

// A suspended relay refuses connections and has ended the open ones; once resumed, it answers
// at the same address.
func TestSuspendRefusesConnections(t *testing.T) {
	r := newTCPRelay(t)
	address, open := r.Address(), dialTCP(t, r)
	expectEcho(t, open)
	r.Suspend()
	_ = open.SetReadDeadline(time.Now().Add(answerTimeout))
	if n, err := open.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("open connection after Suspend: %d bytes, error %v, want its end", n, err)
	}
	if conn, err := net.Dial("tcp", address); err == nil {
		_ = conn.Close()
		t.Error("a suspended relay accepted a connection")
	}
	if err := r.Resume(); err != nil || r.Address() != address {
		t.Fatalf("Resume() = %v at %s, want no error at %s", err, r.Address(), address)
	}
	expectEcho(t, dialTCP(t, r))
}

func expectEcho(t *testing.T, conn net.Conn) {
	t.Helper()
	if err := echoByte(conn, answerTimeout); err != nil {
		t.Fatal(err)
	}
}
