package peers

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
)

const (
	// heartbeat is the interval between heartbeats of entries, targetHeartbeat that
	// towards targets, silentAfter how long a link may go without one.
	heartbeat       = 250 * time.Millisecond
	targetHeartbeat = 600 * time.Millisecond
	silentAfter     = 1500 * time.Millisecond
	// fullRateLinks is the number of links beyond which heartbeats and the tries to
	// reach a peer become rarer.
	fullRateLinks = 30
	// wantedInterval is the time between two looks at which peers to link to.
	wantedInterval = time.Second
	// redialMin and redialMax space the tries to reach a peer.
	redialMin = 150 * time.Millisecond
	redialMax = time.Second
)

// dialWanted links to the peers that are wanted now, at once to those that have
// started again.
func (p *Peers) dialWanted(restarted []contract.MachineID) {
	p.mu.Lock()
	view := linkView{self: p.opts.Self, known: p.known, young: time.Since(p.started) < joinTime, linked: p.linkedZones()}
	wanted := view.wanted()
	p.wanted = wanted
	p.mu.Unlock()
	p.pool.Set(wanted)
	for _, id := range restarted {
		p.pool.Redial(id)
	}
}

// Wants reports whether this process keeps a link to a machine.
func (p *Peers) MaintainsLink(id contract.MachineID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.wanted[id]
	return ok
}

// linkedZones are the zones of the entries that are linked; mu must be held.
func (p *Peers) linkedZones() map[contract.ZoneName]bool {
	zones := map[contract.ZoneName]bool{}
	for id, c := range p.conns {
		if m := p.known[id]; m.Role == link.RoleEntry && c.Err() == nil {
			zones[m.Zone] = true
		}
	}
	return zones
}

func (p *Peers) linked(id contract.MachineID, c *link.Conn) {
	p.mu.Lock()
	old := p.conns[id]
	p.conns[id] = c
	p.mu.Unlock()
	if old == c {
		return
	}
	go func() {
		<-c.Done()
		p.mu.Lock()
		current := p.conns[id] == c
		if current {
			delete(p.conns, id)
		}
		p.mu.Unlock()
		if current && p.opts.OnLinkDown != nil {
			p.opts.OnLinkDown(id)
		}
	}()
}

// LinkedCount is the number of peers that are linked.
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

// Linked reports whether there is a link to a machine.
func (p *Peers) IsLinked(id contract.MachineID) bool {
	_, ok := p.conn(id)
	return ok
}

func (p *Peers) conn(id contract.MachineID) (*link.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[id]
	return c, ok && c.Err() == nil
}

// AnyLinked reports whether there is a link to an entry.
func (p *Peers) HasLinkedEntry() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, c := range p.conns {
		if p.known[id].Role == link.RoleEntry && c.Err() == nil {
			return true
		}
	}
	return false
}

// BeatNow sends a heartbeat on every link at once.
func (p *Peers) SendHeartbeats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.Beat()
	}
}

// Heartbeat implements link.Handler.
func (p *Peers) Heartbeat(peer link.Peer) contract.Heartbeat {
	hb := contract.Heartbeat{Machine: p.opts.Self.Machine, Zone: p.opts.Self.Zone}
	p.opts.FillHeartbeat(peer.Machine, &hb)
	return hb
}

// HeartbeatReceived implements link.Handler.
func (p *Peers) HeartbeatReceived(c *link.Conn, hb contract.Heartbeat) {
	if c.Peer().Machine != hb.Machine {
		return
	}
	if _, ok := p.conn(hb.Machine); !ok {
		p.linked(hb.Machine, c)
	}
	p.opts.OnHeartbeat(hb)
}

// RejectedPeer implements link.Handler.
func (p *Peers) RejectedPeer(err error) {
	p.opts.Log.WithError(err).Warn("peer rejected")
}
