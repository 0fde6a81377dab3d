package peers

import (
	"maps"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
)

const (
	// maxMemberReadWait bounds how long an entry's read of the members waits for records.
	maxMemberReadWait = 10 * time.Second
	// joinPeriod is the time after the start during which many members join at once. The
	// entry that reads the members for its zone reads them at joinReadInterval meanwhile
	// and at entryReadInterval later, so that one read returns several members.
	joinPeriod        = 3 * time.Second
	joinReadInterval  = 400 * time.Millisecond
	entryReadInterval = time.Second
	// maxMemberAge is how long a process does without the store's confirmation of the
	// members until it reads them itself, maxJoinAge how long an entry does while many
	// join. Any process reads them soon, after memberTriggerDelay at least, when a peer
	// that it does not know connects.
	maxMemberAge       = 15 * time.Second
	maxJoinAge         = 1500 * time.Millisecond
	memberTriggerDelay = 400 * time.Millisecond
	// isolatedMemberAge is maxMemberAge of a process without a link to an entry, which hears of no
	// confirmation: its member record, or its copy of those of the entries, may be outdated.
	isolatedMemberAge = 1500 * time.Millisecond
	// memberCatchupDelay is how long the process collects reports of new members before it
	// requests them from a peer.
	memberCatchupDelay = 200 * time.Millisecond
	// memberRewriteTimeout is how long the record of a peer is kept that the store lost.
	memberRewriteTimeout = time.Minute
)

// maxReadWait returns how long a read of the members waits for records.
func (p *Peers) maxReadWait() time.Duration {
	if p.opts.Self.Role == link.RoleTarget {
		return 0
	}
	return maxMemberReadWait
}

// memberReadInterval returns the delay until the next read of the members.
func (p *Peers) memberReadInterval() time.Duration {
	if time.Since(p.started) < joinPeriod {
		return joinReadInterval
	}
	return entryReadInterval
}

// memberTakeoverAge returns how old the store's confirmation of the members must be for this
// process to read them; 0 for the entry that reads them for its zone.
func (p *Peers) memberTakeoverAge() time.Duration {
	isEntry := p.opts.Self.Role == link.RoleEntry
	switch {
	case isEntry && p.RankInZone() == 0:
		return 0
	case isEntry && time.Since(p.started) < joinPeriod:
		return maxJoinAge
	case !p.HasLinkedEntry():
		return isolatedMemberAge
	default:
		return maxMemberAge
	}
}

// applyMembers applies changed member records and updates the links accordingly. A member
// with a new fingerprint has restarted.
func (p *Peers) applyMembers(update feed.Update) {
	var restarted []contract.MachineID
	p.mu.Lock()
	for _, r := range update.Records {
		if r.Key == string(p.opts.Self.Machine) && !p.isOwn(r) {
			p.observeOtherRun(r)
		}
		if len(r.Value) == 0 {
			delete(p.members, contract.MachineID(r.Key))
			delete(p.listedAt, contract.MachineID(r.Key))
			continue
		}
		m, err := decodeMember(r.Key, r.Value)
		if err != nil {
			p.opts.Log.WithError(err).Warn("malformed member record ignored")
			continue
		}
		old, ok := p.members[m.Machine]
		if ok && old.Fingerprint != m.Fingerprint {
			restarted = append(restarted, m.Machine)
		}
		if old.Fingerprint != m.Fingerprint {
			p.listedAt[m.Machine] = p.sightings.bootClock()
		}
		p.members[m.Machine] = m
	}
	p.mu.Unlock()
	p.updateLinks(restarted)
	p.firstReadOnce.Do(p.markMembersRead)
}

// observeOtherRun notes a record of this machine that is not of this run, or its deletion, and has
// maintainMember check whether it replaced the member record. p.mu must be held.
func (p *Peers) observeOtherRun(r contract.Record) {
	logger := p.opts.Log.WithField("position", r.Offset).WithField("published", p.publishedAt.Load())
	if m, err := decodeMember(r.Key, r.Value); err == nil {
		p.hasPreviousRun = true
		logger = logger.WithField("fingerprint", m.Fingerprint.Short())
	}
	logger.Info("member record of another run read")
	select {
	case p.ownRecordChanged <- struct{}{}:
	default:
	}
}

// markMembersRead records that the members have been read for the first time.
func (p *Peers) markMembersRead() {
	p.mu.Lock()
	p.firstReadAt = time.Now()
	p.mu.Unlock()
	close(p.firstRead)
}

// MembersFirstReadAt returns when the members were read for the first time, or zero if
// they have not been read.
func (p *Peers) MembersFirstReadAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.firstReadAt
}

// isTrusted reports whether a peer has the role and certificate fingerprint of its member
// record. If it has not, the members are read soon, since the peer may have just joined.
func (p *Peers) isTrusted(peer link.Peer, fingerprint link.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[peer.Machine]
	if ok && m.Role == peer.Role && m.Fingerprint == fingerprint {
		return true
	}
	p.memberFeed.TriggerRead()
	return false
}

// Members returns the members that have a role, sorted by machine name. Callers must not modify
// the list.
func (p *Peers) Members(role link.Role) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.membersByRole[role]
}

// sortedByRole returns the members that have each role, sorted by machine name.
func sortedByRole(members map[contract.MachineID]Member) map[link.Role][]Member {
	byRole := map[link.Role][]Member{}
	for _, id := range slices.Sorted(maps.Keys(members)) {
		m := members[id]
		byRole[m.Role] = append(byRole[m.Role], m)
	}
	return byRole
}

// Member returns the member record of a machine.
func (p *Peers) Member(id contract.MachineID) (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	m, ok := p.members[id]
	return m, ok
}
