// Package pool keeps one connection to each of a set of peers.
//
// A peer that is wanted is dialed until it answers and again whenever its
// connection ends, with backoff and jitter. Redial replaces a connection that
// the caller no longer trusts; streams on the former one go on until it ends.
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

// settled is how long a connection must last to count as made: a peer that does
// not accept the identity ends it right after the handshake.
const settled = 500 * time.Millisecond

// ErrWrongPeer marks an address at which another machine than the wanted one
// answered.
var ErrWrongPeer = errors.New("pool: another machine answered")

// Dialer makes connections; *link.Endpoint is one.
type Dialer interface {
	Dial(ctx context.Context, address string) (*link.Conn, error)
}

// Options holds the callbacks and limits of a Pool.
type Options struct {
	// OnUp is called when a connection to a peer is ready, OnDown when it has
	// ended or could not be made. Both may be nil and may be called concurrently.
	OnUp   func(contract.MachineID, *link.Conn)
	OnDown func(contract.MachineID, error)
	// Backoff spaces the tries to one peer. With more than FullRatePeers peers the
	// waits grow in proportion: handshakes that fail together keep a full link full.
	// 0 means that they do not.
	Backoff       backoff.Policy
	FullRatePeers int
}

// Pool is safe for concurrent use.
type Pool struct {
	dialer Dialer
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu    sync.Mutex
	peers map[contract.MachineID]*peer
}

// peer is one wanted machine. Its fields below mu belong to Pool.mu.
type peer struct {
	machine contract.MachineID
	address string
	cancel  context.CancelFunc
	redial  chan struct{}
	conn    *link.Conn
}

// New returns a pool that wants no peer yet.
func New(dialer Dialer, opts Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{dialer: dialer, opts: opts, ctx: ctx, cancel: cancel, peers: map[contract.MachineID]*peer{}}
}

// Set replaces the wanted peers and their addresses. Connections to peers that
// are no longer wanted, or whose address changed, are closed.
func (p *Pool) Set(wanted map[contract.MachineID]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return
	}
	for machine, known := range p.peers {
		if address, ok := wanted[machine]; !ok || address != known.address {
			known.cancel()
			delete(p.peers, machine)
		}
	}
	for machine, address := range wanted {
		if _, ok := p.peers[machine]; !ok {
			p.add(machine, address)
		}
	}
}

func (p *Pool) add(machine contract.MachineID, address string) {
	ctx, cancel := context.WithCancel(p.ctx)
	added := &peer{machine: machine, address: address, cancel: cancel, redial: make(chan struct{}, 1)}
	p.peers[machine] = added
	p.wg.Add(1)
	go p.keep(ctx, added)
}

// Get returns the connection to a peer, if there is one that has not ended.
func (p *Pool) Get(machine contract.MachineID) (*link.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[machine]
	if !ok || known.conn == nil || known.conn.Err() != nil {
		return nil, false
	}
	return known.conn, true
}

// Redial makes a new connection to a wanted peer now. Get returns the former
// one no longer; it stays open for the streams on it until they end.
func (p *Pool) Redial(machine contract.MachineID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known, ok := p.peers[machine]
	if !ok {
		return
	}
	known.conn = nil
	select {
	case known.redial <- struct{}{}:
	default:
	}
}

// Close closes all connections and waits for the pool's goroutines.
func (p *Pool) Close() {
	p.cancel()
	p.wg.Wait()
}

// keep dials a peer until ctx ends.
func (p *Pool) keep(ctx context.Context, known *peer) {
	defer p.wg.Done()
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	failures := 0
	for ctx.Err() == nil {
		conn, err := p.dial(ctx, known)
		if err != nil {
			failures++
			p.down(known.machine, err)
			p.pause(ctx, known, p.wait(failures, rnd))
			continue
		}
		start := time.Now()
		p.hold(ctx, known, conn)
		if time.Since(start) < settled {
			failures++
			p.pause(ctx, known, p.wait(failures, rnd))
			continue
		}
		failures = 0
	}
}

// wait is the time to the next try after failures in a row.
func (p *Pool) wait(failures int, rnd *rand.Rand) time.Duration {
	wait := p.opts.Backoff.Delay(failures, rnd)
	p.mu.Lock()
	peers := len(p.peers)
	p.mu.Unlock()
	if full := p.opts.FullRatePeers; full > 0 && peers > full {
		wait = wait * time.Duration(peers) / time.Duration(full)
	}
	return wait
}

func (p *Pool) dial(ctx context.Context, known *peer) (*link.Conn, error) {
	conn, err := p.dialer.Dial(ctx, known.address)
	if err != nil {
		return nil, err
	}
	if got := conn.Peer().Machine; got != known.machine {
		conn.Close()
		return nil, errors.Wrapf(ErrWrongPeer, "%s at %s, want %s", got, known.address, known.machine)
	}
	return conn, nil
}

func (p *Pool) pause(ctx context.Context, known *peer, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-known.redial:
	case <-timer.C:
	}
}

// hold offers conn to the pool's users until it ends or a redial is asked for.
func (p *Pool) hold(ctx context.Context, known *peer, conn *link.Conn) {
	p.offer(known, conn)
	if p.opts.OnUp != nil {
		p.opts.OnUp(known.machine, conn)
	}
	select {
	case <-ctx.Done():
		conn.Close()
	case <-conn.Done():
	case <-known.redial:
		p.retire(conn)
	}
	p.withdraw(known, conn)
	p.down(known.machine, conn.Err())
}

func (p *Pool) offer(known *peer, conn *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known.conn = conn
}

func (p *Pool) withdraw(known *peer, conn *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if known.conn == conn {
		known.conn = nil
	}
}

// retire leaves conn to its streams; it is closed with the pool at the latest.
func (p *Pool) retire(conn *link.Conn) {
	const linger = time.Minute
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		timer := time.NewTimer(linger)
		defer timer.Stop()
		select {
		case <-p.ctx.Done():
		case <-conn.Done():
		case <-timer.C:
		}
		conn.Close()
	}()
}

func (p *Pool) down(machine contract.MachineID, err error) {
	if p.opts.OnDown != nil && p.ctx.Err() == nil {
		p.opts.OnDown(machine, err)
	}
}
