package peers

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

const (
	// heartbeatInterval is the interval between heartbeats, targetHeartbeatInterval that
	// of heartbeats to targets. silenceTimeout bounds how long a link may go without one.
	heartbeatInterval       = 250 * time.Millisecond
	targetHeartbeatInterval = 750 * time.Millisecond
	silenceTimeout          = 1500 * time.Millisecond
	// fullRateLinks is the number of links beyond which heartbeats and attempts to dial a
	// peer become less frequent.
	fullRateLinks = 30
	// fullRateEntryLinks is the number of links to entries beyond which heartbeats to entries
	// become less frequent.
	fullRateEntryLinks = 6
	// minRedialDelay and maxRedialDelay bound the backoff between attempts to dial.
	minRedialDelay = 150 * time.Millisecond
	maxRedialDelay = time.Second
)

// updateLinks determines the neighbours and dials those that this process is to dial. Peers that
// have restarted are redialed at once.
func (p *Peers) updateLinks(restarted []contract.MachineID) {
	p.mu.Lock()
	fleet := newTopology(p.opts.Self, p.members)
	p.neighbours = fleet.neighbours()
	p.zoneEntries = fleet.entries
	p.membersByRole = sortedByRole(p.members)
	addresses := map[contract.MachineID]string{}
	for id, m := range p.neighbours {
		if shouldDial(p.opts.Self, m) {
			addresses[id] = m.Address
		}
	}
	p.mu.Unlock()
	p.pool.Set(addresses)
	for _, id := range restarted {
		p.pool.Redial(id)
	}
}

// IsNeighbour reports whether this process is to be linked to a machine.
func (p *Peers) IsNeighbour(id contract.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.neighbours[id]
	return ok
}

// setLink makes c the link to a peer, and calls OnLinkDown when c ends unless another
// link has replaced it.
func (p *Peers) setLink(id contract.MachineID, c *link.Conn) {
	p.mu.Lock()
	old := p.conns[id]
	p.conns[id] = c
	p.mu.Unlock()
	if old == c {
		return
	}
	p.sightings.forgetPeer(id)
	go func() {
		<-c.Done()
		p.mu.Lock()
		current := p.conns[id] == c
		if current {
			delete(p.conns, id)
		}
		p.mu.Unlock()
		if !current {
			return
		}
		if !p.HasLinkedEntry() {
			p.memberFeed.CheckTakeover()
		}
		if p.opts.OnLinkDown != nil {
			p.opts.OnLinkDown(id)
		}
	}()
}

// LinkedCount returns the number of linked peers.
func (p *Peers) LinkedCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.conns {
		if c.Err() == nil {
			n++
		}
	}
	return n
}

// IsLinked reports whether a machine is linked to this process.
func (p *Peers) IsLinked(id contract.MachineID) bool {
	_, ok := p.liveConn(id)
	return ok
}

// liveConn returns the link to a machine if it has not ended.
func (p *Peers) liveConn(id contract.MachineID) (*link.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[id], p.isLinked(id)
}

// isLinked is IsLinked with p.mu held.
func (p *Peers) isLinked(id contract.MachineID) bool {
	c, ok := p.conns[id]
	return ok && c.Err() == nil
}

// HasLinkedEntry reports whether any entry is linked to this process.
func (p *Peers) HasLinkedEntry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.conns {
		if p.members[id].Role == link.RoleEntry && c.Err() == nil {
			return true
		}
	}
	return false
}

// SendHeartbeats sends a heartbeat on every link at once.
func (p *Peers) SendHeartbeats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.SendHeartbeat()
	}
}

// Heartbeat implements link.Handler.
func (p *Peers) Heartbeat(peer link.Peer) contract.Heartbeat {
	hb := contract.Heartbeat{Machine: p.opts.Self.Machine, Zone: p.opts.Self.Zone}
	if p.opts.Self.Role == link.RoleEntry {
		hb.Members = p.memberFeed.Progress()
		if m, ok := p.Member(peer.Machine); ok && p.isZoneEntry(m) {
			hb.EntrySightings = p.sightings.reportTo(peer.Machine, p.opts.Self)
		}
	}
	p.opts.FillHeartbeat(peer.Machine, &hb)
	hb.PackAnnounced()
	return hb
}

// HeartbeatReceived implements link.Handler. It also registers a link that the peer
// dialed, and ignores a heartbeat in the name of another machine.
func (p *Peers) HeartbeatReceived(c *link.Conn, hb contract.Heartbeat) {
	if c.Peer().Machine != hb.Machine {
		return
	}
	if _, ok := p.liveConn(hb.Machine); !ok {
		p.setLink(hb.Machine, c)
	}
	if m, ok := p.Member(hb.Machine); ok && p.isZoneEntry(m) {
		p.sightings.observe(hb.Machine, hb.EntrySightings)
	}
	p.memberCatchup.ObservePeer(hb.Machine, hb.Members)
	hb.UnpackAnnounced()
	p.opts.OnHeartbeat(hb)
}

// PeerRejected implements link.Handler.
func (p *Peers) PeerRejected(err error) {
	p.opts.Log.WithError(err).Warn("peer rejected")
}
