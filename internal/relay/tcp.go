package relay

import (
	"net"
	"sync"

	"github.com/cockroachdb/errors"
)

const copyBytes = 32 << 10

// TCP passes connections to one server. While it is cut nothing moves, and what
// was sent meanwhile arrives after the cut, as retransmissions do.
type TCP struct {
	front  net.Listener
	server string

	mu     sync.Mutex
	moved  *sync.Cond
	cut    bool
	closed bool
	conns  map[net.Conn]bool
}

// NewTCP listens at address ("ip:port") and passes connections on to server.
func NewTCP(address, server string) (*TCP, error) {
	front, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &TCP{front: front, server: server, conns: map[net.Conn]bool{}}
	r.moved = sync.NewCond(&r.mu)
	go r.run()
	return r, nil
}

// Address is where clients connect to.
func (r *TCP) Address() string {
	return r.front.Addr().String()
}

// SetCut stops all traffic, or lets it go on.
func (r *TCP) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	r.moved.Broadcast()
}

// Close ends the relay and its connections.
func (r *TCP) Close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for conn := range r.conns {
		_ = conn.Close()
	}
	r.moved.Broadcast()
}

func (r *TCP) run() {
	for {
		conn, err := r.front.Accept()
		if err != nil {
			return
		}
		go r.pass(conn)
	}
}

// pass carries one connection; either side's end ends both.
func (r *TCP) pass(client net.Conn) {
	if !r.hold(client) || !r.waitOpen() {
		return
	}
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		r.release(client)
		return
	}
	if !r.hold(server) {
		return
	}
	go r.copy(server, client)
	r.copy(client, server)
}

// copy moves bytes and ends both connections at the first error.
func (r *TCP) copy(to, from net.Conn) {
	defer r.release(to)
	defer r.release(from)
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		if !r.waitOpen() {
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// waitOpen waits while the path is cut; it reports false once it is closed.
func (r *TCP) waitOpen() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for r.cut && !r.closed {
		r.moved.Wait()
	}
	return !r.closed
}

// hold keeps conn to be closed with the relay; it reports false if that has happened.
func (r *TCP) hold(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		_ = conn.Close()
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *TCP) release(conn net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
	_ = conn.Close()
}
