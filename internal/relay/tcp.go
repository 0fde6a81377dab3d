package relay

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const copyBytes = 32 << 10

// Way is a direction of traffic.
type Direction uint8

// The directions.
const (
	ToServer Direction = iota
	ToClient
	ways
)

// TCP passes connections to one server. While a way is cut nothing moves on it, and what
// was sent meanwhile arrives after the cut, as retransmissions do.
type TCP struct {
	front  net.Listener
	server string

	mu     sync.Mutex
	moved  *sync.Cond
	cut    [ways]bool
	delay  time.Duration
	closed bool
	pairs  map[*pair]bool
}

// pair is one connection of a client and the one to the server that carries it.
type pair struct {
	client, server net.Conn
	// silent loses all that is sent from now on, ended that either side has ended.
	silent, ended bool
}

// NewTCP listens at address ("ip:port") and passes connections on to server.
func NewTCP(address, server string) (*TCP, error) {
	front, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "relay")
	}
	r := &TCP{front: front, server: server, pairs: map[*pair]bool{}}
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
	r.SetDirectionCut(ToServer, cut)
	r.SetDirectionCut(ToClient, cut)
}

// SetCutWay stops the traffic of one direction, or lets it go on. No connection is made
// meanwhile.
func (r *TCP) SetDirectionCut(way Direction, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[way] = cut
	r.moved.Broadcast()
}

// SetDelay holds up what is sent in each direction; 0 ends that.
func (r *TCP) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Reset ends all connections as a lost machine's neighbour does; new ones work.
func (r *TCP) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		reset(p.client)
		reset(p.server)
	}
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	if conn != nil {
		_ = conn.Close()
	}
}

// Silence loses all that the connections of now send, their ends as well; new ones work.
func (r *TCP) Silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for p := range r.pairs {
		p.silent = true
	}
}

// Close ends the relay and its connections.
func (r *TCP) Close() {
	_ = r.front.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for p := range r.pairs {
		p.close()
	}
	r.moved.Broadcast()
}

func (p *pair) close() {
	_ = p.client.Close()
	if p.server != nil {
		_ = p.server.Close()
	}
}

func (r *TCP) run() {
	for {
		conn, err := r.front.Accept()
		if err != nil {
			return
		}
		go r.pass(&pair{client: conn})
	}
}

// pass carries one connection; either side's end ends both.
func (r *TCP) pass(p *pair) {
	if !r.hold(p) {
		return
	}
	defer r.release(p)
	if !r.waitOpen(p, ToServer) || !r.waitOpen(p, ToClient) || !r.dial(p) {
		return
	}
	go func() {
		defer r.release(p)
		r.copy(p, ToServer, p.server, p.client)
	}()
	r.copy(p, ToClient, p.client, p.server)
}

// dial connects a pair to the server.
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

// copy moves bytes of one direction until the first error.
func (r *TCP) copy(p *pair, way Direction, to, from net.Conn) {
	buffer := make([]byte, copyBytes)
	for {
		n, err := from.Read(buffer)
		r.holdUp()
		if !r.waitOpen(p, way) {
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

// holdUp waits as long as bytes are delayed.
func (r *TCP) holdUp() {
	r.mu.Lock()
	delay := r.delay
	r.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
}

// waitOpen waits while nothing moves on a way of a pair; it reports false once the pair
// has ended.
func (r *TCP) waitOpen(p *pair, way Direction) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for (r.cut[way] || p.silent) && !r.closed && !p.ended {
		r.moved.Wait()
	}
	return !r.closed && !p.ended
}

// hold keeps a pair to be closed with the relay; it reports false if that has happened.
func (r *TCP) hold(p *pair) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		p.close()
		return false
	}
	r.pairs[p] = true
	return true
}

func (r *TCP) release(p *pair) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.pairs, p)
	p.ended = true
	p.close()
	r.moved.Broadcast()
}
