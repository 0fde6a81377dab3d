package swarm

import (
	"slices"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Trust in a source falls by 1 with each corrupt chunk and grows slowly with
// each good one; a source without trust is not used for banTime.
const (
	trustStart = 3.0
	trustMost  = 5.0
	trustGood  = 0.1
	banTime    = 30 * time.Second
	// suspectTime is how long a peer that could not be reached, or that
	// stalled, is not used; it doubles with each failure in a row.
	suspectTime    = 2 * time.Second
	maxSuspectTime = 60 * time.Second
)

// peer is what is known of another target, for all versions.
type peer struct {
	Peer
	listed    bool
	trust     float64
	strikes   int
	avoidTill time.Duration
	busyTill  time.Duration
	// flights counts the requests outstanding to the peer.
	flights int
}

// usable reports whether chunks may be asked of the peer now.
func (p *peer) usable(now time.Duration, perPeer int) bool {
	return p.alive(now) && now >= p.busyTill && p.flights < perPeer
}

// alive reports whether the peer counts as there.
func (p *peer) alive(now time.Duration) bool {
	return p.listed && now >= p.avoidTill
}

func (s *Swarm) peersChanged(list []Peer) {
	for _, p := range s.peers {
		p.listed = false
	}
	for _, l := range list {
		if l.Machine == s.cfg.Self.Machine {
			continue
		}
		p := s.byName[l.Machine]
		if p == nil {
			p = &peer{trust: trustStart}
			s.byName[l.Machine] = p
			s.peers = append(s.peers, p)
		}
		p.Peer, p.listed = l, true
	}
	s.forgetGone()
	slices.SortFunc(s.peers, func(a, b *peer) int { return strings.Compare(string(a.Machine), string(b.Machine)) })
	s.regions = s.regionsOf()
	for _, v := range s.versions {
		s.rebuild(v)
	}
}

// forgetGone drops peers that are not listed, and gives up requests to them.
func (s *Swarm) forgetGone() {
	for _, v := range s.versions {
		s.cancelWhere(v, func(f *flight) bool { return f.peer != nil && !f.peer.listed })
	}
	s.peers = slices.DeleteFunc(s.peers, func(p *peer) bool {
		if !p.listed {
			delete(s.byName, p.Machine)
		}
		return !p.listed
	})
}

func (s *Swarm) regionsOf() []contract.RegionName {
	regions := []contract.RegionName{s.cfg.Self.Region}
	for _, p := range s.peers {
		if !slices.Contains(regions, p.Region) {
			regions = append(regions, p.Region)
		}
	}
	slices.Sort(regions)
	return regions
}

// suspect avoids a peer for a while that doubles with each failure in a row.
func (s *Swarm) suspect(p *peer) {
	d := min(suspectTime<<min(p.strikes, 5), maxSuspectTime)
	p.strikes++
	p.avoidTill = max(p.avoidTill, s.now+s.jitter(d))
}

func (s *Swarm) distrust(p *peer) {
	if !s.on(mechTrust) {
		return
	}
	p.trust--
	if p.trust <= 0 {
		p.trust = 1
		p.avoidTill = s.now + banTime
		s.note(NoteBanned, p.Machine)
	}
}

func (p *peer) succeeded() {
	p.strikes = 0
	p.trust = min(p.trust+trustGood, trustMost)
}
