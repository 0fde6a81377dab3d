package relay

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// copyBufferBytes is the size of the buffer of each direction of a connection.
const copyBufferBytes = 32 << 10

// Direction is a direction of traffic.
type Direction uint8

// The directions.
const (
	ToServer Direction = iota
	ToClient
	directionCount
)

// TCP relays connections to one server. While a direction is cut, no bytes pass in it. Bytes
// that were sent in the meantime arrive after the cut, as retransmissions would.
type TCP struct {
	address, server string

	mu sync.Mutex
	// listener is closed while the relay is suspended.
	listener net.Listener
	changed  *sync.Cond
	cut      [directionCount]bool
	delay    time.Duration
	closed   bool
	pairs    map[*pair]bool
}

// pair is a connection from a client and the connection to the server that carries it on.
type pair struct {
	client, server net.Conn
	// silent reports whether nothing passes any more; ended whether either side has ended.
	silent, ended bool
}

// NewTCP listens at address ("ip:port") and relays connections to server.
func NewTCP(address, server string) (*TCP, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &TCP{address: listener.Addr().String(), listener: listener, server: server, pairs: map[*pair]bool{}}
	r.changed = sync.NewCond(&r.mu)
	go r.acceptConnections(listener)
	return r, nil
}

// Address returns the address that clients connect to.
func (r *TCP) Address() string {
	return r.address
}

// SetCut stops or resumes the traffic of both directions.
func (r *TCP) SetCut(cut bool) {
	r.SetDirectionCut(ToServer, cut)
	r.SetDirectionCut(ToClient, cut)
}

// SetDirectionCut stops or resumes the traffic of one direction. While either direction is
// cut, new connections to the server are not made.
func (r *TCP) SetDirectionCut(direction Direction, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[direction] = cut
	r.changed.Broadcast()
}

// SetDelay delays each chunk in both directions; 0 ends the delay.
func (r *TCP) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset resets all open connections on both sides, as a neighbour of a lost machine does.
// New connections work.
func (r *TCP) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		reset(p.client)
		reset(p.server)
	}
}

// reset closes a connection with RST. conn may be nil.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// Silence makes all open connections silent for good: nothing that either side sends passes
// any more, not even its close. New connections work.
func (r *TCP) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent = true
	}
}

// Suspend ends all connections, every second one with a reset, and refuses new ones, as the
// address of a process that has ended does.
func (r *TCP) Suspend() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	withReset := false
	for p := range r.pairs {
		withReset = !withReset
		if withReset {
			reset(p.client)
			reset(p.server)
		}
		p.ended = true
		p.close()
	}
	r.changed.Broadcast()
}

// Resume accepts connections again at the same address after Suspend.
func (r *TCP) Resume() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return nil
	}
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return errors.Wrap(err, "relay")
	}
	r.listener = listener
	go r.acceptConnections(listener)
	return nil
}

// Close closes the relay and its connections.
func (r *TCP) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.listener.Close()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.changed.Broadcast()
}

func (p *pair) close() {
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

func (r *TCP) acceptConnections(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go r.serve(&pair{client: conn})
	}
}

// serve relays one connection. When either side ends, both sides are closed.
func (r *TCP) serve(p *pair) {
	if !r.register(p) {
		return
	}
	defer r.unregister(p)
	if !r.waitUntilOpen(p, ToServer) || !r.waitUntilOpen(p, ToClient) || !r.dial(p) {
		return
	}
	go func() {
		defer r.unregister(p)
		r.forward(p, ToServer, p.server, p.client)
	}()
	r.forward(p, ToClient, p.client, p.server)
}

// dial connects a pair to the server and reports whether the pair can be used.
func (r *TCP) dial(p *pair) bool {
	server, err := net.Dial("tcp", r.server)
	if err != nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p.server = server
	return !r.closed
}

// forward copies the bytes of one direction until the first error.
func (r *TCP) forward(p *pair, direction Direction, dst, src net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := src.Read(buffer)
		r.applyDelay()
		if !r.waitUntilOpen(p, direction) {
			return
		}
		if n > 0 {
			if _, err := dst.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// applyDelay waits for the delay of a chunk.
func (r *TCP) applyDelay() {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// waitUntilOpen waits while the direction is cut or the pair is silent. It returns false once
// the pair has ended or the relay is closed.
func (r *TCP) waitUntilOpen(p *pair, direction Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for (r.cut[direction] || p.silent) && !r.closed && !p.ended {
		r.changed.Wait()
	}
	return !r.closed && !p.ended
}

// register adds a pair to those that Close closes. It closes the pair and returns false if
// the relay is already closed.
func (r *TCP) register(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return false
	}
	r.pairs[p] = true
	return true
}

// unregister closes and removes a pair.
func (r *TCP) unregister(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.ended = true
	p.close()
	r.changed.Broadcast()
}
