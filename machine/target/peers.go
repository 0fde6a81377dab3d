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
	// peerIdleTimeout is how long a connection that this process opened stays open without
	// a call.
	peerIdleTimeout   = 15 * time.Second
	peerSweepInterval = 5 * time.Second
	peerCallTimeout   = 10 * time.Second
	maxSettingsPeers  = 3
)

// errPeerFailed means that a peer could not be reached or sent no usable reply.
var errPeerFailed = errors.New("target: no usable reply from peer")

// peers sends requests to other processes. It opens connections to targets on demand and
// closes them when idle, so that the number of connections does not grow with the number
// of targets. Connections that other processes opened are used too. It implements
// agent.Peers.
type peers struct {
	self contract.MachineID
	zone contract.ZoneName
	dial func(ctx context.Context, address string) (*link.Conn, error)

	mu        sync.Mutex
	hosts     []hostlist.Host
	byMachine map[contract.MachineID]*peer
	// nextSource rotates the peers that settings are requested from.
	nextSource int
}

type peer struct {
	role link.Role
	conn *link.Conn
	// dialed is set if this process opened the connection.
	dialed bool
	usedAt time.Time
	// dialMu serializes attempts to connect.
	dialMu sync.Mutex
}

var _ agent.Peers = (*peers)(nil)

func newPeers(self contract.MachineID, zone contract.ZoneName) *peers {
	return &peers{self: self, zone: zone, byMachine: map[contract.MachineID]*peer{}}
}

// setHosts replaces the host list.
func (p *peers) setHosts(list hostlist.List) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = list.Hosts
}

// hostList returns the newest host list, which must not be modified.
func (p *peers) hostList() []hostlist.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hosts
}

// addIncoming records a connection on which a peer sent a heartbeat, unless there is an open
// one that this process opened.
func (p *peers) addIncoming(c *link.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := p.peerFor(c.Peer().Machine)
	if v.conn == c || (v.conn != nil && v.conn.Err() == nil && v.dialed) {
		return
	}
	v.conn, v.dialed, v.role = c, false, c.Peer().Role
}

// peerFor returns the peer on a machine, and adds it if it is new. The caller holds mu.
func (p *peers) peerFor(machine contract.MachineID) *peer {
	v := p.byMachine[machine]
	if v == nil {
		v = &peer{}
		p.byMachine[machine] = v
	}
	return v
}

// openConn returns the connection to v, or nil if none is open, and marks v as used.
func (p *peers) openConn(v *peer) *link.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	v.usedAt = time.Now()
	if v.conn == nil || v.conn.Err() != nil {
		return nil
	}
	return v.conn
}

// connect returns a connection to a machine, and opens one to its address in the host list
// if there is none.
func (p *peers) connect(ctx context.Context, machine contract.MachineID) (*link.Conn, error) {
	p.mu.Lock()
	v := p.peerFor(machine)
	p.mu.Unlock()
	if c := p.openConn(v); c != nil {
		return c, nil
	}
	v.dialMu.Lock()
	defer v.dialMu.Unlock()
	if c := p.openConn(v); c != nil {
		return c, nil
	}
	c, err := p.dial(ctx, p.address(machine))
	if err != nil {
		return nil, errors.Mark(err, errPeerFailed)
	}
	if c.Peer().Machine != machine {
		c.Close()
		return nil, errors.Wrapf(errPeerFailed, "host %s identifies itself as %s", machine, c.Peer().Machine)
	}
	p.mu.Lock()
	v.conn, v.dialed, v.role = c, true, c.Peer().Role
	p.byMachine[machine] = v // it may have been swept meanwhile
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

// sweepLoop closes idle connections at intervals.
func (p *peers) sweepLoop(ctx context.Context) {
	periodic.Run(ctx, peerSweepInterval, func() { p.closeIdle(time.Now()) })
}

func (p *peers) closeIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for machine, v := range p.byMachine {
		if now.Sub(v.usedAt) < peerIdleTimeout {
			continue
		}
		if v.dialed {
			v.conn.Close()
		}
		if v.dialed || v.conn == nil || v.conn.Err() != nil {
			delete(p.byMachine, machine)
		}
	}
}

// call sends one message to a peer and returns its reply.
func call(ctx context.Context, c *link.Conn, m contract.Message) (contract.Message, error) {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	s, err := c.Open(ctx)
	if err != nil {
		return contract.Message{}, errors.Mark(err, errPeerFailed)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if err := s.Send(m); err != nil {
		return contract.Message{}, errors.Mark(err, errPeerFailed)
	}
	reply, err := s.Recv()
	if err != nil {
		return contract.Message{}, errors.Mark(err, errPeerFailed)
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
		return contract.Have{}, errors.Wrapf(errPeerFailed, "unexpected reply of kind %d", reply.Kind)
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
		return contract.ChunkReply{}, errors.Mark(err, errPeerFailed)
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if err := s.Send(contract.Message{Kind: contract.KindChunkRequest, ChunkRequest: &req}); err != nil {
		return contract.ChunkReply{}, errors.Mark(err, errPeerFailed)
	}
	return receiveChunk(s, agent.MaxReplyBytes(req))
}

// receiveChunk reads and joins the parts of a chunk, up to maxBytes in total.
func receiveChunk(s *link.Stream, maxBytes int) (contract.ChunkReply, error) {
	var chunk contract.ChunkReply
	for first := true; ; first = false {
		m, err := s.Recv()
		if err != nil {
			return contract.ChunkReply{}, errors.Mark(err, errPeerFailed)
		}
		part := m.ChunkReply
		if m.Kind != contract.KindChunkReply || len(chunk.Data)+len(part.Data) > maxBytes {
			return contract.ChunkReply{}, errors.Wrapf(errPeerFailed, "unexpected message of kind %d, or chunk too large", m.Kind)
		}
		if first {
			chunk = *part
		} else {
			chunk.Data = append(chunk.Data, part.Data...)
		}
		if !part.More {
			return chunk, nil
		}
	}
}
