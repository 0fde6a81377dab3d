package target

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/weights/agent"
	"mimosastand.example/mimosastand/zone/hostlist"
)

const (
	// peerIdle is how long a connection that this process made stays open
	// without a call.
	peerIdle        = 15 * time.Second
	peerSweep       = 5 * time.Second
	peerCallTimeout = 10 * time.Second
	maxSettingPulls = 3
)

// errPeer marks a peer that cannot be reached or that answers with nothing
// useful.
var errPeer = errors.New("target: no answer from peer")

// peers reaches other processes. Connections to targets are made when they are
// needed and closed when idle, so that the number of targets costs nothing;
// those that others made are used too. It implements agent.Peers.
type peers struct {
	self contract.MachineID
	zone contract.ZoneName
	dial func(ctx context.Context, address string) (*link.Conn, error)

	mu    sync.Mutex
	hosts []hostlist.Host
	known map[contract.MachineID]*peer
	// turn rotates the peers that are asked for settings.
	turn int
}

type peer struct {
	role link.Role
	conn *link.Conn
	// own tells that this process made the connection.
	own  bool
	used time.Time
	// dialing serializes the tries to connect.
	dialing sync.Mutex
}

var _ agent.Peers = (*peers)(nil)

func newPeers(self contract.MachineID, zone contract.ZoneName) *peers {
	return &peers{self: self, zone: zone, known: map[contract.MachineID]*peer{}}
}

// setHosts takes the newest host list.
func (p *peers) setHosts(list hostlist.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = list.Hosts
}

// hostList returns the newest host list, which is not to be changed.
func (p *peers) hostList() []hostlist.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts
}

// heard notes a connection that a peer made.
func (p *peers) heard(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.peer(c.Peer().Machine)
	if v.conn == c || (v.conn != nil && v.conn.Err() == nil && v.own) {
		return
	}
	v.conn, v.own, v.role = c, false, c.Peer().Role
}

// peer returns the entry of a machine; the caller holds mu.
func (p *peers) peer(machine contract.MachineID) *peer {
	v := p.known[machine]
	if v == nil {
		v = &peer{}
		p.known[machine] = v
	}
	return v
}

// open returns the connection of v if it is open, and marks it as used.
func (p *peers) open(v *peer) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	v.used = time.Now()
	if v.conn == nil || v.conn.Err() != nil {
		return nil
	}
	return v.conn
}

// connect returns a connection to a target of the host list.
func (p *peers) connect(ctx context.Context, machine contract.MachineID) (*link.Conn, error) {
	p.mu.Lock()
	v := p.peer(machine)
	p.mu.Unlock()
	if c := p.open(v); c != nil {
		return c, nil
	}
	v.dialing.Lock()
	defer v.dialing.Unlock()
	if c := p.open(v); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, p.address(machine))
	if err != nil {
		return nil, errors.Mark(err, errPeer)
	}
	if c.Peer().Machine != machine {
		c.Close()
		return nil, errors.Wrapf(errPeer, "%s answers as %s", machine, c.Peer().Machine)
	}
	p.mu.Lock()
	v.conn, v.own, v.role = c, true, c.Peer().Role
	p.known[machine] = v // it may have been swept meanwhile
	p.mu.Unlock()
	return c, nil
}

func (p *peers) address(machine contract.MachineID) string {
	for _, h := range p.hostList() {
		if h.Machine == machine {
			return h.Address
		}
	}
	return ""
}

// sweepLoop closes idle connections.
func (p *peers) sweepLoop(ctx context.Context) {
	periodic.Run(ctx, peerSweep, func() { p.sweep(time.Now()) })
}

func (p *peers) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for machine, v := range p.known {
		if now.Sub(v.used) < peerIdle {
			continue
		}
		if v.own {
			v.conn.Close()
		}
		if v.own || v.conn == nil || v.conn.Err() != nil {
			delete(p.known, machine)
		}
	}
}

// call sends one message to a peer and returns its reply.
func call(ctx context.Context, c *link.Conn, m contract.Message) (contract.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	s, err := c.Open(ctx)
	if err != nil {
		return contract.Message{}, errors.Mark(err, errPeer)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if err := s.Send(m); err != nil {
		return contract.Message{}, errors.Mark(err, errPeer)
	}
	reply, err := s.Recv()
	if err != nil {
		return contract.Message{}, errors.Mark(err, errPeer)
	}
	return reply, nil
}

// Known implements agent.Peers.
func (p *peers) Known() bool { return len(p.hostList()) > 0 }

// List implements agent.Peers.
func (p *peers) List() []agent.Peer {
	var list []agent.Peer
	for _, h := range p.hostList() {
		if h.Role == hostlist.Target && h.State == hostlist.Live && h.Machine != p.self {
			list = append(list, agent.Peer{Machine: h.Machine, Zone: h.Zone, Region: h.Region, Service: h.Service})
		}
	}
	return list
}

// SendHave implements agent.Peers.
func (p *peers) SendHave(ctx context.Context, to contract.MachineID, have contract.Have) (contract.Have, error) {
	c, err := p.connect(ctx, to)
	if err != nil {
		return contract.Have{}, err
	}
	reply, err := call(ctx, c, contract.Message{Kind: contract.KindHave, Have: &have})
	if err != nil {
		return contract.Have{}, err
	}
	if reply.Kind != contract.KindHave {
		return contract.Have{}, errors.Wrapf(errPeer, "kind %d", reply.Kind)
	}
	return *reply.Have, nil
}

// RequestChunk implements agent.Peers.
func (p *peers) RequestChunk(ctx context.Context, to contract.MachineID, req contract.ChunkRequest) (contract.ChunkReply, error) {
	c, err := p.connect(ctx, to)
	if err != nil {
		return contract.ChunkReply{}, err
	}
	s, err := c.Open(ctx)
	if err != nil {
		return contract.ChunkReply{}, errors.Mark(err, errPeer)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if err := s.Send(contract.Message{Kind: contract.KindChunkRequest, ChunkRequest: &req}); err != nil {
		return contract.ChunkReply{}, errors.Mark(err, errPeer)
	}
	return joinParts(s, agent.MaxReplyBytes(req))
}

// joinParts reads the parts of a chunk, at most maxBytes in all.
func joinParts(s *link.Stream, maxBytes int) (contract.ChunkReply, error) {
	var whole contract.ChunkReply
	for first := true; ; first = false {
		m, err := s.Recv()
		if err != nil {
			return contract.ChunkReply{}, errors.Mark(err, errPeer)
		}
		part := m.ChunkReply
		if m.Kind != contract.KindChunkReply || len(whole.Data)+len(part.Data) > maxBytes {
			return contract.ChunkReply{}, errors.Wrapf(errPeer, "kind %d, or too long", m.Kind)
		}
		if first {
			whole = *part
		} else {
			whole.Data = append(whole.Data, part.Data...)
		}
		if !part.More {
			return whole, nil
		}
	}
}
