package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/backoff"
	"mimosastand.example/mimosastand/link/pool"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

const (
	// minConnAge is how old a connection must be to be replaced on suspicion.
	minConnAge = time.Second
	// pullTimeout bounds one pull of settings.
	pullTimeout = 2 * time.Second
)

// ErrPull marks a pull of settings that no peer answered.
var ErrPull = errors.New("entry: no settings from peers")

// links holds the connections to targets. It implements link.Handler.
type links struct {
	self     contract.Heartbeat
	settings Settings
	scope    tally.Scope
	loop     *loop
	endpoint *link.Endpoint
	pool     *pool.Pool
	fleet    *fleet

	mu    sync.Mutex
	since map[contract.MachineID]time.Time
	// peers are the wanted targets, turn counts the pulls.
	peers []dispatch.Peer
	turn  int
}

func (l *links) open(address string, creds *link.Credentials, cfg link.Config) error {
	endpoint, err := link.Listen(address, creds, l, cfg)
	if err != nil {
		return err
	}
	l.endpoint = endpoint
	l.pool = pool.New(endpoint, pool.Options{OnUp: l.up, OnDown: l.down, Backoff: backoff.Policy{}})
	return nil
}

func (l *links) close() {
	l.pool.Close()
	l.endpoint.Close()
}

func (l *links) up(id contract.MachineID, _ *link.Conn) {
	l.mu.Lock()
	l.since[id] = time.Now()
	l.mu.Unlock()
	l.loop.step(dispatch.LinkUp{Machine: id})
}

func (l *links) down(id contract.MachineID, err error) {
	l.loop.step(dispatch.LinkDown{Machine: id, Reason: reasonOf(err)})
}

// renew replaces the connection to a target unless it is new.
func (l *links) renew(id contract.MachineID) {
	l.mu.Lock()
	old := time.Since(l.since[id]) >= minConnAge
	l.mu.Unlock()
	if old {
		l.pool.Redial(id)
	}
}

func (l *links) setPeers(peers []dispatch.Peer) {
	wanted := make(map[contract.MachineID]string, len(peers))
	for _, p := range peers {
		wanted[p.Machine] = p.Address
	}
	l.mu.Lock()
	l.peers = peers
	maps.DeleteFunc(l.since, func(id contract.MachineID, _ time.Time) bool {
		_, ok := wanted[id]
		return !ok
	})
	l.mu.Unlock()
	l.pool.Set(wanted)
}

// Heartbeat implements link.Handler.
func (l *links) Heartbeat(link.Peer) contract.Heartbeat {
	hb := l.self
	hb.SettingsOffset = l.settings.Current().Offset()
	return hb
}

// HeartbeatReceived implements link.Handler.
func (l *links) HeartbeatReceived(c *link.Conn, hb contract.Heartbeat) {
	peer := c.Peer()
	if peer.Role != link.RoleTarget || peer.Machine != hb.Machine {
		metrics.CountIgnored(l.scope, contract.ReasonUnauthorized)
		return
	}
	l.settings.Observe(hb.SettingsOffset)
	l.fleet.observe(hb, time.Now())
	l.loop.step(dispatch.Heartbeat{Heartbeat: hb})
}

// ServeStream implements link.Handler. Peers open streams to pull settings.
func (l *links) ServeStream(_ context.Context, _ *link.Conn, s *link.Stream) {
	_ = s.SetReadDeadline(time.Now().Add(pullTimeout))
	_ = s.SetWriteDeadline(time.Now().Add(pullTimeout))
	m, err := s.Recv()
	if err != nil || m.Kind != contract.KindSettingsPull {
		metrics.CountIgnored(l.scope, contract.ReasonBadFrame)
		s.Reset()
		return
	}
	records := l.settings.Serve(*m.SettingsPull)
	_ = s.Send(contract.Message{Kind: contract.KindSettingsRecords, SettingsRecords: &records})
}

// pull asks a target for settings records; successive calls ask different ones.
func (l *links) pull(ctx context.Context, after contract.Offset) (contract.SettingsRecords, error) {
	conn, ok := l.next()
	if !ok {
		return contract.SettingsRecords{}, errors.Mark(errors.New("no target is connected"), ErrPull)
	}
	s, err := conn.Open(ctx)
	if err != nil {
		return contract.SettingsRecords{}, errors.Mark(err, ErrPull)
	}
	defer s.Close()
	_ = s.SetReadDeadline(time.Now().Add(pullTimeout))
	pull := contract.Message{Kind: contract.KindSettingsPull, SettingsPull: &contract.SettingsPull{After: after}}
	if err := s.Send(pull); err != nil {
		return contract.SettingsRecords{}, errors.Mark(err, ErrPull)
	}
	m, err := s.Recv()
	if err != nil || m.Kind != contract.KindSettingsRecords {
		return contract.SettingsRecords{}, errors.Mark(errors.Newf("no records from %s", conn.Peer().Machine), ErrPull)
	}
	return *m.SettingsRecords, nil
}

// next returns the connections in turn.
func (l *links) next() (*link.Conn, bool) {
	l.mu.Lock()
	peers := l.peers
	l.turn++
	turn := l.turn
	l.mu.Unlock()
	for i := range peers {
		if conn, ok := l.pool.Get(peers[(turn+i)%len(peers)].Machine); ok {
			return conn, true
		}
	}
	return nil, false
}

// RejectedPeer implements link.Handler.
func (l *links) PeerRejected(err error) {
	reason := contract.ReasonUnauthorized
	if errors.Is(err, link.ErrFrame) {
		reason = contract.ReasonBadFrame
	}
	metrics.CountRefusal(l.scope, reason)
}
