package swarm

import (
	"slices"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Trust in a source falls with each chunk that is corrupt or that it lacks, and
// grows slowly with each good one; a source without trust is not used for banTime, which doubles
// with each ban.
const (
	trustStart = 3.0
	trustMost  = 5.0
	trustGood  = 0.1
	// The costs of a corrupt chunk and of a chunk that is advertised but missing.
	trustCorrupt = 1.0
	trustMissing = 0.5
	// trustDoubt and doubtStrikes are when a peer becomes doubtful.
	trustDoubt   = 1.0
	doubtStrikes = 2
	banTime      = 30 * time.Second
	maxBanTime   = 16 * banTime
	// suspectTime is how long a peer that could not be reached, or that
	// stalled, is not used; it doubles with each failure in a row.
	suspectTime    = 2 * time.Second
	maxSuspectTime = 15 * time.Second
)

// peer is what is known of another target, for all versions.
type peer struct {
	Peer
	listed  bool
	trust   float64
	strikes int
	bans    int
	// avoidTill is until when the peer counts as out of reach, bannedTill until
	// when it is not used as a source.
	avoidTill  time.Duration
	bannedTill time.Duration
	busyTill   time.Duration
	// flights counts the requests outstanding to the peer.
	flights int
}

// usable reports whether chunks may be asked of the peer now.
func (p *peer) usable(now time.Duration, perPeer int) bool {
	return p.alive(now) && now >= p.bannedTill && now >= p.busyTill && p.flights < perPeer
}

// doubtful reports whether what the peer holds should not be relied on: it
// failed twice in a row, or sent several chunks that were wrong.
func (p *peer) doubtful(now time.Duration) bool {
	return !p.alive(now) || now < p.bannedTill || p.strikes >= doubtStrikes || p.trust <= trustDoubt
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
	s.avoid(p, s.now+s.jitter(d))
}

// avoid does not use a peer until a time. What it holds does not count as held
// in the region meanwhile: if it had the only copy of a chunk, another one must
// be drawn.
func (s *Swarm) avoid(p *peer, till time.Duration) {
	p.avoidTill = max(p.avoidTill, till)
	s.recountAt = min(s.recountAt, p.avoidTill)
	for _, v := range s.versions {
		v.recount(s.now)
	}
}

// recountDue counts again what peers hold that are used again.
func (s *Swarm) recountDue() {
	if s.now < s.recountAt {
		return
	}
	s.recountAt = never
	for _, p := range s.peers {
		s.recountAt = min(s.recountAt, later(p.avoidTill, s.now), later(p.bannedTill, s.now))
	}
	for _, v := range s.versions {
		v.recount(s.now)
	}
}

// later returns t, or never if t is not after now.
func later(t, now time.Duration) time.Duration {
	if t > now {
		return t
	}
	return never
}

// distrust takes trust from a peer that sent something wrong.
func (s *Swarm) distrust(p *peer, by float64) {
	if !s.on(mechTrust) {
		return
	}
	p.trust -= by
	if p.trust <= trustDoubt {
		s.recountAt = s.now
	}
	if p.trust <= 0 {
		p.trust = 1
		p.bannedTill = s.now + min(banTime<<min(p.bans, 8), maxBanTime)
		p.bans++
		s.note(NoteBanned, p.Machine)
		s.disbelieve(p)
	}
}

// disbelieve forgets all that a peer told of what it holds, and so tells it
// again of every chunk.
func (s *Swarm) disbelieve(p *peer) {
	for _, v := range s.versions {
		for _, list := range [][]*remote{v.neighbours, v.abroad} {
			if r := v.find(list, p); r != nil {
				clear(r.have)
				clear(r.told)
			}
		}
	}
	s.flushSoon(s.cfg.HaveInterval)
}

func (s *Swarm) succeeded(p *peer) {
	if p.doubtful(s.now) {
		s.recountAt = s.now
	}
	p.strikes = 0
	p.trust = min(p.trust+trustGood, trustMost)
}
