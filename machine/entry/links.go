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
	// minConnAge is the age from which a connection is replaced when a target has not
	// answered on it.
	minConnAge = time.Second
	// pullTimeout bounds one pull of settings.
	pullTimeout = 2 * time.Second
)

// ErrPull marks a pull of settings that no peer answered.
var ErrPull = errors.New("entry: no peer answered the pull of settings")

// links maintains the connections to targets. It implements link.Handler.
type links struct {
	self     contract.Heartbeat
	settings Settings
	scope    tally.Scope
	loop     *eventLoop
	endpoint *link.Endpoint
	pool     *pool.Pool
	fleet    *fleetState

	mu sync.Mutex
	// connectedSince holds the time at which the connection to each target was made.
	connectedSince map[contract.MachineID]time.Time
	// peers are the targets to which connections are maintained.
	peers []dispatch.Peer
	// pullCount counts the pulls of settings, so that successive pulls use different peers.
	pullCount int
}

func (l *links) open(address string, creds *link.Credentials, cfg link.Config) error {
	endpoint, err := link.Listen(address, creds, l, cfg)
	if err != nil {
		return err
	}
	l.endpoint = endpoint
	l.pool = pool.New(endpoint, pool.Options{OnUp: l.onLinkUp, OnDown: l.onLinkDown, Backoff: backoff.Policy{}})
	return nil
}

func (l *links) close() {
	l.pool.Close()
	l.endpoint.Close()
}

func (l *links) onLinkUp(id contract.MachineID, _ *link.Conn) {
	l.mu.Lock()
	l.connectedSince[id] = time.Now()
	l.mu.Unlock()
	l.loop.step(dispatch.LinkUp{Machine: id})
}

func (l *links) onLinkDown(id contract.MachineID, err error) {
	l.loop.step(dispatch.LinkDown{Machine: id, Reason: linkReason(err)})
}

// replaceConn replaces the connection to a target, unless it is newer than minConnAge.
func (l *links) replaceConn(id contract.MachineID) {
	l.mu.Lock()
	old := time.Since(l.connectedSince[id]) >= minConnAge
	l.mu.Unlock()
	if old {
		l.pool.Redial(id)
	}
}

// setPeers sets the targets to which connections are maintained.
func (l *links) setPeers(peers []dispatch.Peer) {
	addresses := make(map[contract.MachineID]string, len(peers))
	for _, p := range peers {
		addresses[p.Machine] = p.Address
	}
	l.mu.Lock()
	l.peers = peers
	maps.DeleteFunc(l.connectedSince, func(id contract.MachineID, _ time.Time) bool {
		_, ok := addresses[id]
		return !ok
	})
	l.mu.Unlock()
	l.pool.Set(addresses)
}

// Heartbeat implements link.Handler.
func (l *links) Heartbeat(link.Peer) contract.Heartbeat {
	hb := l.self
	hb.SettingsOffset = l.settings.Current().Offset()
	return hb
}

// HeartbeatReceived implements link.Handler. It ignores heartbeats that do not come from
// a target or that name another host than the connection's peer.
func (l *links) HeartbeatReceived(c *link.Conn, hb contract.Heartbeat) {
	peer := c.Peer()
	if peer.Role != link.RoleTarget || peer.Machine != hb.Machine {
		metrics.CountIgnored(l.scope, contract.ReasonUnauthorized)
		return
	}
	l.settings.Observe(hb.SettingsOffset)
	l.fleet.recordHeartbeat(hb, time.Now())
	l.loop.step(dispatch.Heartbeat{Heartbeat: hb})
}

// ServeStream implements link.Handler. Peers open streams only to pull settings.
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

// pullSettings requests settings records from a target. Successive calls use different
// targets.
func (l *links) pullSettings(ctx context.Context, after contract.Offset) (contract.SettingsRecords, error) {
	conn, ok := l.nextConn()
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
		return contract.SettingsRecords{}, errors.Mark(errors.Newf("%s did not answer with settings records", conn.Peer().Machine), ErrPull)
	}
	return *m.SettingsRecords, nil
}

// nextConn returns the connections to peers in turn. It returns false if no peer is
// connected.
func (l *links) nextConn() (*link.Conn, bool) {
	l.mu.Lock()
	peers := l.peers
	l.pullCount++
	turn := l.pullCount
	l.mu.Unlock()
	for i := range peers {
		if conn, ok := l.pool.Get(peers[(turn+i)%len(peers)].Machine); ok {
			return conn, true
		}
	}
	return nil, false
}

// PeerRejected implements link.Handler.
func (l *links) PeerRejected(err error) {
	reason := contract.ReasonUnauthorized
	if errors.Is(err, link.ErrFrame) {
		reason = contract.ReasonBadFrame
	}
	metrics.CountRefusal(l.scope, reason)
}
