package entry

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/backoff"
	"mimosastand.example/mimosastand/link/pool"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// minConnAge is how old a connection must be to be replaced on suspicion.
const minConnAge = time.Second

// links holds the connections to targets. It implements link.Handler.
type links struct {
	self     contract.Heartbeat
	settings Settings
	scope    tally.Scope
	loop     *loop
	endpoint *link.Endpoint
	pool     *pool.Pool

	mu    sync.Mutex
	since map[contract.MachineID]time.Time
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
	l.pool.Set(wanted)
}

// Heartbeat implements link.Handler.
func (l *links) Heartbeat(link.Peer) contract.Heartbeat {
	hb := l.self
	hb.Settings = offsetOf(l.settings)
	return hb
}

// HeartbeatReceived implements link.Handler.
func (l *links) HeartbeatReceived(c *link.Conn, hb contract.Heartbeat) {
	peer := c.Peer()
	if peer.Role != link.RoleTarget || peer.Machine != hb.Machine {
		metrics.Ignored(l.scope, contract.ReasonUnauthorized)
		return
	}
	l.settings.Observe(hb.Machine, hb.Settings)
	l.loop.step(dispatch.Heartbeat{Heartbeat: hb})
}

// ServeStream implements link.Handler.
func (l *links) ServeStream(_ context.Context, _ *link.Conn, s *link.Stream) {
	metrics.Ignored(l.scope, contract.ReasonBadFrame)
	s.Reset()
}

// RejectedPeer implements link.Handler.
func (l *links) RejectedPeer(error) {
	metrics.Refused(l.scope, contract.ReasonUnauthorized)
}
