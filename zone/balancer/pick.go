package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// LoadBound is how far above the mean use the home of a prefix may be.
const LoadBound = 1.25

// minHeadroomUnits is the size from which anything is kept free.
const minHeadroomUnits = 6

// Want describes an attempt to be placed.
type Requirements struct {
	// Prefix is the hash of the prompt prefix; 0 if there is none.
	Prefix uint64
	// Pinned is the digest that the request must run on; empty if it is free.
	Pinned contract.Digest
	// Bytes estimates what the attempt puts on a link between regions.
	Bytes int
	// Headroom is the part, one in so many, of limits and credits that the
	// request must leave free for other teams; 0 means none.
	Headroom uint32
	// Tried lists targets that refused the request and have not reported since.
	Tried func(id contract.MachineID) bool
}

// Choice is where an attempt goes.
type Choice struct {
	Machine contract.MachineID
	Place   Place
	// Weights is the digest to pin the attempt to.
	Weights contract.Digest
	// Remote is set if the target is in another region.
	Remote bool
}

// Pick chooses a target. If there is none, ok is false and reason tells why:
// ReasonTargetFull if some target may have room later, else ReasonNoTarget,
// ReasonZoneOut, ReasonTargetLeaving, ReasonBackendDown or ReasonNoWeights.
func (p *Pool) Pick(now time.Time, want Requirements) (choice Choice, reason contract.Reason, ok bool) {
	var buffer [64]*member
	if want.Headroom > 0 && p.off&offHeadroom == 0 && !p.hasHeadroom(want.Headroom) {
		return Choice{}, contract.ReasonTargetFull, false
	}
	for _, e := range efforts {
		for t := tierZone; t < tiers; t++ {
			if t == tierRemote && !p.maySpill(now) {
				continue
			}
			found := p.candidates(now, want, t, e, buffer[:0])
			if len(found) > 0 {
				return p.choose(now, want, found), "", true
			}
		}
	}
	return Choice{}, p.UnavailableReason(now, want.Pinned), false
}

// effort tells which rules give way when nothing else is found.
type effort struct {
	// ramp holds returning targets to their slow start, older takes versions
	// from before the roll-out.
	ramp, older bool
}

var efforts = [...]effort{{ramp: true}, {}, {older: true}}

// withHeadroom is the part of n units that work may take which leaves one in
// headroom free.
func withHeadroom(n, headroom uint32) uint32 {
	if n < minHeadroomUnits {
		return n
	}
	return n - max(1, n/headroom)
}

// hasHeadroom reports whether enough of the entry's own credits are free for
// work that must yield.
func (p *Pool) hasHeadroom(headroom uint32) bool {
	credits, inflight := uint32(0), uint32(0)
	for _, m := range p.order {
		if m.up {
			credits += m.credits(p.rules[m.Place])
			inflight += m.inflight
		}
	}
	return inflight < withHeadroom(credits, headroom)
}

func (p *Pool) maySpill(now time.Time) bool {
	if !p.spill {
		return false
	}
	return p.off&offSpillBudget != 0 || p.budget.allows(now)
}

// candidates appends the members of a tier that may take the attempt. A target
// due for a probe is the only candidate.
func (p *Pool) candidates(now time.Time, want Requirements, t tier, e effort, found []*member) []*member {
	yield := want.Headroom > 0 && p.off&offHeadroom == 0
	for _, m := range p.order {
		if m.tier != t || p.blocked(now, m, want.Pinned, e.older) != "" {
			continue
		}
		if yield && p.used(m) >= withHeadroom(m.limit(p.rules[m.Place]), want.Headroom) {
			continue
		}
		if !p.hasRoom(now, m, e.ramp) || want.Tried != nil && want.Tried(m.Machine) {
			continue
		}
		if p.ejection.Verdict(now, m.Machine) == ejection.Probe {
			return append(found[:0], m)
		}
		found = append(found, m)
	}
	return found
}

func (p *Pool) hasRoom(now time.Time, m *member, ramp bool) bool {
	if p.off&offCredits != 0 {
		return true
	}
	rules := p.rules[m.Place]
	credits := m.credits(rules)
	if ramp && p.off&offRamp == 0 {
		credits = m.ramped(now, rules)
	}
	return m.inflight < credits && p.used(m) < m.limit(rules)
}

func (p *Pool) used(m *member) uint32 {
	if p.off&offLagCorrection != 0 {
		return m.load.Running + m.load.Queued
	}
	return m.used()
}

// blocked tells why a target may not get the attempt however little it has to
// do; empty if it may.
func (p *Pool) blocked(now time.Time, m *member, pinned contract.Digest, older bool) contract.Reason {
	rules := p.rules[m.Place]
	switch {
	case rules.Evacuated && p.off&offZoneGate == 0:
		return contract.ReasonZoneOut
	case (m.Leaving || m.load.Leaving) && p.off&offLeaving == 0:
		return contract.ReasonTargetLeaving
	case !m.up:
		return contract.ReasonNoTarget
	case p.ejection.Verdict(now, m.Machine) == ejection.Ejected && p.off&offEjection == 0:
		return contract.ReasonBackendDown
	case !m.serves(rules, pinned, older) && p.off&offVersions == 0:
		return contract.ReasonNoWeights
	default:
		return ""
	}
}

// Blocked tells why no target can take a request: ReasonTargetFull if one could
// once it has room, else the reason of the target that is nearest to serving.
func (p *Pool) UnavailableReason(now time.Time, pinned contract.Digest) contract.Reason {
	found := contract.ReasonNoTarget
	for _, m := range p.order {
		if m.tier == tierRemote && !p.spill {
			continue
		}
		reason := p.blocked(now, m, pinned, true)
		if reason == "" {
			return contract.ReasonTargetFull
		}
		if severity(reason) > severity(found) {
			found = reason
		}
	}
	return found
}

// MayReturn reports whether a target is out of use only because its link is
// down or because it was ejected.
func (p *Pool) MayRecover(now time.Time, pinned contract.Digest) bool {
	for _, m := range p.order {
		if m.tier == tierRemote && !p.spill {
			continue
		}
		switch p.blocked(now, m, pinned, true) {
		case contract.ReasonNoTarget, contract.ReasonBackendDown:
			return true
		}
	}
	return false
}

func severity(reason contract.Reason) int {
	switch reason {
	case contract.ReasonBackendDown:
		return 4
	case contract.ReasonNoWeights:
		return 3
	case contract.ReasonTargetLeaving:
		return 2
	case contract.ReasonZoneOut:
		return 1
	default:
		return 0
	}
}

func (p *Pool) choose(now time.Time, want Requirements, found []*member) Choice {
	var m *member
	if want.Prefix != 0 {
		m = p.byPrefix(want.Prefix, found)
	} else {
		m = p.byLoad(found)
	}
	remote := m.tier == tierRemote
	if remote {
		p.budget.take(want.Bytes)
	}
	weights := want.Pinned
	if weights == "" {
		weights = m.digest(p.rules[m.Place])
	}
	return Choice{Machine: m.Machine, Place: m.Place, Weights: weights, Remote: remote}
}

// byLoad draws two targets and takes the less used one.
func (p *Pool) byLoad(found []*member) *member {
	a := found[p.rng.IntN(len(found))]
	b := found[p.rng.IntN(len(found))]
	if p.use(b) < p.use(a) {
		return b
	}
	return a
}

// use is the share of the target's limit that is taken, counting one more.
func (p *Pool) use(m *member) float64 {
	return float64(p.used(m)+1) / float64(m.limit(p.rules[m.Place]))
}

// byPrefix takes the target with the highest rendezvous weight for the prefix
// whose use is within LoadBound of the mean.
func (p *Pool) byPrefix(prefix uint64, found []*member) *member {
	total := 0.0
	for _, m := range found {
		total += p.use(m)
	}
	bound := LoadBound * total / float64(len(found))
	var best *member
	var most uint64
	for _, m := range found {
		if p.use(m) > bound && p.off&offPrefixBound == 0 {
			continue
		}
		if weight := rendezvous(prefix, m.hash); best == nil || weight > most {
			best, most = m, weight
		}
	}
	return best
}

// rendezvous mixes two hashes into the weight of a pair.
func rendezvous(a, b uint64) uint64 {
	var buffer [16]byte
	for i := 0; i < 8; i++ {
		buffer[i] = byte(a >> (8 * i))
		buffer[8+i] = byte(b >> (8 * i))
	}
	return xxhash.Sum64(buffer[:])
}
