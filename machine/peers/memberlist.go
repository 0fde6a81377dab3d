package peers

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
)

const (
	// memberWait is how long one read of the members waits for news.
	memberWait = 10 * time.Second
	// joinTime is how long after the start many members join at once. Reads of an
	// entry are joinPause apart meanwhile and memberPause later, so that one brings
	// several members. A target reads when a peer comes that it does not know, and
	// else every targetsPause.
	joinTime     = 3 * time.Second
	joinPause    = 120 * time.Millisecond
	memberPause  = time.Second
	targetsPause = 15 * time.Second
)

func (p *Peers) memberWait() time.Duration {
	if p.opts.Self.Role == link.RoleTarget {
		return 0
	}
	return memberWait
}

// memberPause is the time until the members are read again.
func (p *Peers) memberPause() time.Duration {
	switch {
	case p.opts.Self.Role == link.RoleTarget:
		return targetsPause
	case time.Since(p.started) < joinTime:
		return joinPause
	default:
		return memberPause
	}
}

func (p *Peers) membersChanged(news feed.Update) {
	var restarted []contract.MachineID
	p.mu.Lock()
	for _, r := range news.Records {
		if len(r.Value) == 0 {
			delete(p.known, contract.MachineID(r.Key))
			continue
		}
		m, err := decodeMember(r.Key, r.Value)
		if err != nil {
			p.opts.Log.WithError(err).Warn("member ignored")
			continue
		}
		if old, ok := p.known[m.Machine]; ok && old.Fingerprint != m.Fingerprint {
			restarted = append(restarted, m.Machine)
		}
		p.known[m.Machine] = m
		if m.Machine == p.opts.Self.Machine && m.Fingerprint != p.opts.Self.Fingerprint {
			p.returned = true
		}
	}
	p.mu.Unlock()
	p.dialWanted(restarted)
	p.readOnce.Do(p.membersRead)
}

func (p *Peers) membersRead() {
	p.mu.Lock()
	p.readAt = time.Now()
	p.mu.Unlock()
	close(p.read)
}

// MembersReadAt is when the members were read for the first time; zero if they have not
// been.
func (p *Peers) MembersFirstReadAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readAt
}

func (p *Peers) trusts(peer link.Peer, fingerprint link.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.known[peer.Machine]
	if ok && m.Role == peer.Role && m.Fingerprint == fingerprint {
		return true
	}
	p.members.TriggerRead()
	return false
}

// Members lists the members of a role by machine.
func (p *Peers) Members(role link.Role) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Member
	for _, m := range p.known {
		if m.Role == role {
			list = append(list, m)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Machine < list[j].Machine })
	return list
}

// Member is what is known of a machine.
func (p *Peers) Member(id contract.MachineID) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.known[id]
	return m, ok
}

// First is the first entry of a zone, by machine, that is this process or linked.
func (p *Peers) FirstLinkedEntry(zone contract.ZoneName) (contract.MachineID, bool) {
	for _, m := range p.Members(link.RoleEntry) {
		if m.Zone == zone && (m.Machine == p.opts.Self.Machine || p.IsLinked(m.Machine)) {
			return m.Machine, true
		}
	}
	return "", false
}
