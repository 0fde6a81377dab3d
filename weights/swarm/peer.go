package swarm

import (
	"slices"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Trust in a peer falls with each chunk that is corrupt or that it advertised but does not
// hold, and grows slowly with each good chunk. A peer whose trust is used up is banned as a
// source for banTime, which doubles with each ban up to maxBanTime.
const (
	initialTrust    = 3.0
	maxTrust        = 5.0
	goodChunkReward = 0.1
	// corruptChunkPenalty also applies to a chunk of wrong size and an invalid Have;
	// missingChunkPenalty applies to a chunk that is advertised but missing.
	corruptChunkPenalty = 1.0
	missingChunkPenalty = 0.5
	// doubtfulTrust and doubtfulFailures are the trust and the number of consecutive
	// failures at which a peer becomes doubtful.
	doubtfulTrust    = 1.0
	doubtfulFailures = 2
	banTime          = 30 * time.Second
	maxBanTime       = 16 * banTime
	// suspectTime is how long a peer is avoided that could not be reached or that
	// stalled; it doubles with each consecutive failure up to maxSuspectTime.
	suspectTime    = 2 * time.Second
	maxSuspectTime = 15 * time.Second
)

// peer is the state of another target that applies to all versions.
type peer struct {
	Peer
	listed   bool
	trust    float64
	failures int
	bans     int
	// avoidUntil is the time until which the peer counts as unreachable, bannedUntil and
	// busyUntil the times until which it is not used as a source.
	avoidUntil  time.Duration
	bannedUntil time.Duration
	busyUntil   time.Duration
	// inflight counts the outstanding requests to the peer.
	inflight int
}

// isUsable reports whether a chunk may be requested from the peer now.
func (p *peer) isUsable(now time.Duration, perPeer int) bool {
	return p.isReachable(now) && now >= p.bannedUntil && now >= p.busyUntil && p.inflight < perPeer
}

// isDoubtful reports whether the chunks that the peer advertises should not be relied on:
// it is unreachable or banned, failed several times in a row, or lost trust by sending
// several wrong chunks.
func (p *peer) isDoubtful(now time.Duration) bool {
	return !p.isReachable(now) || now < p.bannedUntil || p.failures >= doubtfulFailures || p.trust <= doubtfulTrust
}

// isReachable reports whether the peer is listed and not avoided.
func (p *peer) isReachable(now time.Duration) bool {
	return p.listed && now >= p.avoidUntil
}

func (s *Swarm) handlePeersChanged(list []Peer) {
	for _, p := range s.peers {
		p.listed = false
	}
	for _, l := range list {
		if l.Machine == s.cfg.Self.Machine {
			continue
		}
		p := s.byName[l.Machine]
		if p == nil {
			p = &peer{trust: initialTrust}
			s.byName[l.Machine] = p
			s.peers = append(s.peers, p)
		}
		p.Peer, p.listed = l, true
	}
	s.removeUnlistedPeers()
	slices.SortFunc(s.peers, func(a, b *peer) int { return strings.Compare(string(a.Machine), string(b.Machine)) })
	s.regions = s.listRegions()
	for _, v := range s.versions {
		s.rebuildTopology(v)
	}
}

// removeUnlistedPeers removes the peers that are no longer listed and cancels the requests
// to them.
func (s *Swarm) removeUnlistedPeers() {
	for _, v := range s.versions {
		s.cancelWhere(v, func(f *inflightRequest) bool { return f.peer != nil && !f.peer.listed })
	}
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool {
		if !p.listed {
			delete(s.byName, p.Machine)
		}
		return !p.listed
	})
}

func (s *Swarm) listRegions() []contract.RegionName {
	regions := []contract.RegionName{s.cfg.Self.Region}
	for _, p := range s.peers {
		if !slices.Contains(regions, p.Region) {
			regions = append(regions, p.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// suspect avoids a peer for a time that doubles with each consecutive failure.
func (s *Swarm) suspect(p *peer) {
	d := min(suspectTime<<min(p.failures, 5), maxSuspectTime)
	p.failures++
	s.avoid(p, s.now+s.jitter(d))
}

// avoid treats a peer as unreachable until the given time. Meanwhile its chunks don't count
// as held in the region: if it has the region's only copy of a chunk, another copy must be
// downloaded.
func (s *Swarm) avoid(p *peer, until time.Duration) {
	p.avoidUntil = max(p.avoidUntil, until)
	s.recountAt = min(s.recountAt, p.avoidUntil)
	for _, v := range s.versions {
		v.recount(s.now)
	}
}

// recountIfDue recounts the chunks held in the region once a peer may be used again.
func (s *Swarm) recountIfDue() {
	if s.now < s.recountAt {
		return
	}
	s.recountAt = never
	for _, p := range s.peers {
		s.recountAt = min(s.recountAt, ifFuture(p.avoidUntil, s.now), ifFuture(p.bannedUntil, s.now))
	}
	for _, v := range s.versions {
		v.recount(s.now)
	}
}

// ifFuture returns t, or never if t is not after now.
func ifFuture(t, now time.Duration) time.Duration {
	if t > now {
		return t
	}
	return never
}

// reduceTrust reduces the trust in a peer that sent something wrong, and bans the peer if
// its trust is used up.
func (s *Swarm) reduceTrust(p *peer, penalty float64) {
	if !s.isEnabled(mechTrust) {
		return
	}
	p.trust -= penalty
	if p.trust <= doubtfulTrust {
		s.recountAt = s.now
	}
	if p.trust <= 0 {
		p.trust = 1
		p.bannedUntil = s.now + min(banTime<<min(p.bans, 8), maxBanTime)
		p.bans++
		s.note(NoteBanned, p.Machine)
		s.forgetHoldings(p)
	}
}

// forgetHoldings removes all records of what a peer holds and of what was announced to it.
// All held chunks are therefore announced to the peer again.
func (s *Swarm) forgetHoldings(p *peer) {
	for _, v := range s.versions {
		for _, list := range [][]*peerHoldings{v.neighbours, v.remotePeers} {
			if r := v.findHoldings(list, p); r != nil {
				clear(r.have)
				clear(r.announced)
			}
		}
	}
	s.scheduleFlush(s.cfg.HaveInterval)
}

func (s *Swarm) recordSuccess(p *peer) {
	if p.isDoubtful(s.now) {
		s.recountAt = s.now
	}
	p.failures = 0
	p.trust = min(p.trust+goodChunkReward, maxTrust)
}
