// Package pool maintains one connection to each of a set of peers.
//
// Each peer of the set is dialed until it answers and again whenever its connection
// ends, with backoff and jitter. Redial replaces a connection that the caller considers
// faulty; streams on the previous one continue until it ends.
package pool

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/backoff"
)

// stableAfter is how long a connection must last to count as a success. A peer that
// does not accept the identity closes the connection right after the handshake; without
// this minimum it would be dialed again without a delay.
const stableAfter = 500 * time.Millisecond

// ErrWrongPeer marks a dial of an address at which another host than the expected one
// answered.
var ErrWrongPeer = errors.New("pool: another host answered")

// Dialer makes connections. *link.Endpoint implements it.
type Dialer interface {
	Dial(ctx context.Context, address string) (*link.Conn, error)
}

// Options holds the callbacks and limits of a Pool.
type Options struct {
	// OnUp is called when a connection to a peer is ready, OnDown when it has ended, was
	// replaced or could not be made. Both may be nil and may be called concurrently.
	OnUp   func(contract.MachineID, *link.Conn)
	OnDown func(contract.MachineID, error)
	// Backoff sets the delays between attempts to connect to one peer. With more than
	// FullRatePeers peers the delays grow in proportion to the number of peers:
	// otherwise the handshakes that fail on a congested link would keep it congested.
	// With a FullRatePeers of 0 the delays do not grow.
	Backoff       backoff.Policy
	FullRatePeers int
}

// Pool maintains connections to peers. It is safe for concurrent use.
type Pool struct {
	dialer Dialer
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	peers map[contract.MachineID]*peerState
}

// peerState is the state of one peer of the set. Pool.mu guards conn, which is nil while
// there is no connection that Get may return.
type peerState struct {
	machine contract.MachineID
	address string
	cancel  context.CancelFunc
	redial  chan struct{}
	conn    *link.Conn
}

// New returns a pool with an empty set of peers.
func New(dialer Dialer, opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{dialer: dialer, opts: opts, ctx: ctx, cancel: cancel, peers: map[contract.MachineID]*peerState{}}
}

// Set replaces the set of peers and their addresses. Connections to peers that are no
// longer in the set, or whose address changed, are closed.
func (p *Pool) Set(desired map[contract.MachineID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	for machine, peer := range p.peers {
		if address, ok := desired[machine]; !ok || address != peer.address {
			peer.cancel()
			delete(p.peers, machine)
		}
	}
	for machine, address := range desired {
		if _, ok := p.peers[machine]; !ok {
			p.add(machine, address)
		}
	}
}

func (p *Pool) add(machine contract.MachineID, address string) {
	ctx, cancel := context.WithCancel(p.ctx)
	peer := &peerState{machine: machine, address: address, cancel: cancel, redial: make(chan struct{}, 1)}
	p.peers[machine] = peer
	p.wg.Add(1)
	go p.maintainConnection(ctx, peer)
}

// Get returns the connection to a peer, and whether there is one that is open.
func (p *Pool) Get(machine contract.MachineID) (*link.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[machine]
	if !ok || peer.conn == nil || peer.conn.Err() != nil {
		return nil, false
	}
	return peer.conn, true
}

// Redial makes a new connection to a peer, if the peer is in the set: now, or after the
// retry delay if the previous connection lasted less than stableAfter. Get no longer
// returns the previous connection, which stays open for its streams for up to a minute.
func (p *Pool) Redial(machine contract.MachineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer, ok := p.peers[machine]
	if !ok {
		return
	}
	peer.conn = nil
	select {
	case peer.redial <- struct{}{}:
	default:
	}
}

// Close closes all connections and waits for the pool's goroutines.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}

// maintainConnection dials a peer until ctx ends.
func (p *Pool) maintainConnection(ctx context.Context, peer *peerState) {
	defer p.wg.Done()
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failures := 0
	for ctx.Err() == nil {
		conn, err := p.dial(ctx, peer)
		if err != nil {
			failures++
			p.notifyDown(peer.machine, err)
			p.waitForRetry(ctx, peer, p.retryDelay(failures, rnd))
			continue
		}
		start := time.Now()
		p.holdConnection(ctx, peer, conn)
		if time.Since(start) < stableAfter {
			failures++
			p.waitForRetry(ctx, peer, p.retryDelay(failures, rnd))
			continue
		}
		failures = 0
	}
}

// retryDelay returns the time until the next attempt after the given number of failures
// in a row.
func (p *Pool) retryDelay(failures int, rnd *rand.Rand) time.Duration {
	delay := p.opts.Backoff.Delay(failures, rnd)
	p.mu.Lock()
	peerCount := len(p.peers)
	p.mu.Unlock()
	if fullRate := p.opts.FullRatePeers; fullRate > 0 && peerCount > fullRate {
		delay = delay * time.Duration(peerCount) / time.Duration(fullRate)
	}
	return delay
}

func (p *Pool) dial(ctx context.Context, peer *peerState) (*link.Conn, error) {
	conn, err := p.dialer.Dial(ctx, peer.address)
	if err != nil {
		return nil, err
	}
	if got := conn.Peer().Machine; got != peer.machine {
		conn.Close()
		return nil, errors.Wrapf(ErrWrongPeer, "%s at %s, want %s", got, peer.address, peer.machine)
	}
	return conn, nil
}

func (p *Pool) waitForRetry(ctx context.Context, peer *peerState, delay time.Duration) {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-peer.redial:
	case <-timer.C:
	}
}

// holdConnection makes conn available through Get until conn ends, a redial is requested
// or ctx ends.
func (p *Pool) holdConnection(ctx context.Context, peer *peerState, conn *link.Conn) {
	p.setConnection(peer, conn)
	if p.opts.OnUp != nil {
		p.opts.OnUp(peer.machine, conn)
	}
	select {
	case <-ctx.Done():
		conn.Close()
	case <-conn.Done():
	case <-peer.redial:
		p.closeLater(conn)
	}
	p.clearConnection(peer, conn)
	p.notifyDown(peer.machine, conn.Err())
}

func (p *Pool) setConnection(peer *peerState, conn *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer.conn = conn
}

func (p *Pool) clearConnection(peer *peerState, conn *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if peer.conn == conn {
		peer.conn = nil
	}
}

// closeLater leaves conn open for its streams for drainTimeout and then closes it. It is
// closed earlier if the pool is closed.
func (p *Pool) closeLater(conn *link.Conn) {
	const drainTimeout = time.Minute
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		timer := time.NewTimer(drainTimeout)
		defer timer.Stop()
		select {
		case <-p.ctx.Done():
		case <-conn.Done():
		case <-timer.C:
		}
		conn.Close()
	}()
}

func (p *Pool) notifyDown(machine contract.MachineID, err error) {
	if p.opts.OnDown != nil && p.ctx.Err() == nil {
		p.opts.OnDown(machine, err)
	}
}
