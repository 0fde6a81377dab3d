package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

// LoadBound times the mean utilization of the candidates is the highest utilization at
// which a target is chosen for a prefix.
const LoadBound = 1.25

// minHeadroomUnits is the smallest number of units of which a part is left free; of fewer
// units, all may be used.
const minHeadroomUnits = 6

// Requirements describes an attempt to be placed.
type Requirements struct {
	// Prefix is the hash of the prompt prefix; 0 if there is none.
	Prefix uint64
	// Pinned is the digest of the weights that the request must run on; empty means any.
	Pinned contract.Digest
	// Bytes estimates the traffic of the attempt on a link between regions.
	Bytes int
	// HeadroomDivisor sets the headroom: the request must leave 1/HeadroomDivisor of limits
	// and credits free for other teams, such as 4 for one in four; 0 means none.
	HeadroomDivisor uint32
	// Tried reports whether a target refused the request and has not reported its load
	// since. It may be nil.
	Tried func(id contract.MachineID) bool
}

// Choice is the target that was chosen for an attempt.
type Choice struct {
	Machine contract.MachineID
	Place   Place
	// Weights is the digest to pin the attempt to.
	Weights contract.Digest
	// Remote is set if the target is in another region.
	Remote bool
}

// Pick chooses a target. If there is none, ok is false and reason is the cause:
// ReasonTargetFull if some target may have room later, otherwise ReasonNoTarget,
// ReasonZoneOut, ReasonTargetLeaving, ReasonBackendDown or ReasonNoWeights. The reason is
// also ReasonTargetFull if the request must leave headroom and no link to a target is up.
func (p *Pool) Pick(now time.Time, req Requirements) (choice Choice, reason contract.Reason, ok bool) {
	var buffer [64]*member
	if req.HeadroomDivisor > 0 && p.disabled&offHeadroom == 0 && !p.hasHeadroom(req.HeadroomDivisor) {
		return Choice{}, contract.ReasonTargetFull, false
	}
	for _, ps := range passes {
		for t := tierZone; t < tierCount; t++ {
			if t == tierRemote && !p.maySpill(now) {
				continue
			}
			found := p.candidates(now, req, t, ps, buffer[:0])
			if len(found) > 0 {
				return p.choose(now, req, found), "", true
			}
		}
	}
	return Choice{}, p.UnavailableReason(now, req.Pinned), false
}

// pass is one search through all tiers. Each pass is less strict than the one before it, and
// runs only if that one has found no target.
type pass struct {
	// applyRamp limits returning targets to the credits of their slow start. anyVersion
	// admits targets with any complete version; see member.servesVersion.
	applyRamp, anyVersion bool
}

// passes lists the passes in order, from the strictest to the least strict.
var passes = [...]pass{{applyRamp: true}, {}, {anyVersion: true}}

// usableUnits returns how many of n units may be used if 1/divisor of them must stay free.
func usableUnits(n, divisor uint32) uint32 {
	if n < minHeadroomUnits {
		return n
	}
	return n - max(1, n/divisor)
}

// hasHeadroom reports whether enough of the entry's own credits are free for a request that
// must leave 1/divisor of them free. It returns false if no link to a target is up.
func (p *Pool) hasHeadroom(divisor uint32) bool {
	credits, inflight := uint32(0), uint32(0)
	for _, m := range p.sortedMembers {
		if m.up {
			credits += m.credits(p.rules[m.Place])
			inflight += m.inflight
		}
	}
	return inflight < usableUnits(credits, divisor)
}

// maySpill reports whether work may be sent to other regions now.
func (p *Pool) maySpill(now time.Time) bool {
	if !p.spillAllowed {
		return false
	}
	return p.disabled&offSpillBudget != 0 || p.budget.allows(now)
}

// candidates collects the members of a tier that may get the attempt in a pass. The result
// uses the storage of found, whose elements are overwritten or extended. The first member
// that is due for a probe is returned as the only candidate.
func (p *Pool) candidates(now time.Time, req Requirements, t tier, ps pass, found []*member) []*member {
	leaveHeadroom := req.HeadroomDivisor > 0 && p.disabled&offHeadroom == 0
	for _, m := range p.sortedMembers {
		if m.tier != t || p.blockReason(now, m, req.Pinned, ps.anyVersion) != "" {
			continue
		}
		if leaveHeadroom && p.usedUnits(m) >= usableUnits(m.limit(p.rules[m.Place]), req.HeadroomDivisor) {
			continue
		}
		if !p.hasRoom(now, m, ps.applyRamp) || req.Tried != nil && req.Tried(m.Machine) {
			continue
		}
		if p.ejection.Verdict(now, m.Machine) == ejection.Probe {
			return append(found[:0], m)
		}
		found = append(found, m)
	}
	return found
}

// hasRoom reports whether a target has credits and capacity left. With ramp set, the
// credits are scaled by the slow start.
func (p *Pool) hasRoom(now time.Time, m *member, ramp bool) bool {
	if p.disabled&offCredits != 0 {
		return true
	}
	rules := p.rules[m.Place]
	credits := m.credits(rules)
	if ramp && p.disabled&offRamp == 0 {
		credits = m.rampedCredits(now, rules)
	}
	return m.inflight < credits && p.usedUnits(m) < m.limit(rules)
}

// usedUnits returns the units of work at a target that the choice is based on.
func (p *Pool) usedUnits(m *member) uint32 {
	if p.disabled&offInFlightCorrection != 0 {
		return m.load.Running + m.load.Queued
	}
	return m.usedUnits()
}

// blockReason returns why a target may not get the attempt irrespective of its load. It
// is empty if the target may get it.
func (p *Pool) blockReason(now time.Time, m *member, pinned contract.Digest, anyVersion bool) contract.Reason {
	rules := p.rules[m.Place]
	switch {
	case rules.Evacuated && p.disabled&offEvacuation == 0:
		return contract.ReasonZoneOut
	case (m.Leaving || m.load.Leaving) && p.disabled&offLeaving == 0:
		return contract.ReasonTargetLeaving
	case !m.up:
		return contract.ReasonNoTarget
	case p.ejection.Verdict(now, m.Machine) == ejection.Ejected && p.disabled&offEjection == 0:
		return contract.ReasonBackendDown
	case !m.servesVersion(rules, pinned, anyVersion) && p.disabled&offVersions == 0:
		return contract.ReasonNoWeights
	default:
		return ""
	}
}

// UnavailableReason returns why no target can take a request: ReasonTargetFull if some
// target could take it once it has room, otherwise the reason of the target that is
// closest to serving.
func (p *Pool) UnavailableReason(now time.Time, pinned contract.Digest) contract.Reason {
	found := contract.ReasonNoTarget
	for _, m := range p.sortedMembers {
		if m.tier == tierRemote && !p.spillAllowed {
			continue
		}
		reason := p.blockReason(now, m, pinned, true)
		if reason == "" {
			return contract.ReasonTargetFull
		}
		if reasonPriority(reason) > reasonPriority(found) {
			found = reason
		}
	}
	return found
}

// MayRecover reports whether there is a target that is unusable only because its link is
// down or because it is ejected.
func (p *Pool) MayRecover(now time.Time, pinned contract.Digest) bool {
	for _, m := range p.sortedMembers {
		if m.tier == tierRemote && !p.spillAllowed {
			continue
		}
		switch p.blockReason(now, m, pinned, true) {
		case contract.ReasonNoTarget, contract.ReasonBackendDown:
			return true
		}
	}
	return false
}

// reasonPriority ranks reasons by how close a target that has them is to serving; the
// highest is the closest.
func reasonPriority(reason contract.Reason) int {
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

// choose selects one of the candidates. A choice in another region is charged to the
// spill budget.
func (p *Pool) choose(now time.Time, req Requirements, found []*member) Choice {
	var m *member
	if req.Prefix != 0 {
		m = p.pickByPrefix(req.Prefix, found)
	} else {
		m = p.pickByLoad(found)
	}
	remote := m.tier == tierRemote
	if remote {
		p.budget.spend(req.Bytes)
	}
	weights := req.Pinned
	if weights == "" {
		weights = m.pinDigest(p.rules[m.Place])
	}
	return Choice{Machine: m.Machine, Place: m.Place, Weights: weights, Remote: remote}
}

// pickByLoad returns the less utilized of two random candidates.
func (p *Pool) pickByLoad(found []*member) *member {
	a := found[p.rng.IntN(len(found))]
	b := found[p.rng.IntN(len(found))]
	if p.utilization(b) < p.utilization(a) {
		return b
	}
	return a
}

// utilization returns the share of the target's limit that would be used with one more
// unit of work.
func (p *Pool) utilization(m *member) float64 {
	return float64(p.usedUnits(m)+1) / float64(m.limit(p.rules[m.Place]))
}

// pickByPrefix returns the candidate with the highest rendezvous weight for the prefix
// among those whose utilization is at most LoadBound times the mean.
func (p *Pool) pickByPrefix(prefix uint64, found []*member) *member {
	total := 0.0
	for _, m := range found {
		total += p.utilization(m)
	}
	bound := LoadBound * total / float64(len(found))
	var best *member
	var maxWeight uint64
	for _, m := range found {
		if p.utilization(m) > bound && p.disabled&offPrefixBound == 0 {
			continue
		}
		if weight := rendezvous(prefix, m.hash); best == nil || weight > maxWeight {
			best, maxWeight = m, weight
		}
	}
	return best
}

// rendezvous combines two hashes into the rendezvous weight of the pair.
func rendezvous(a, b uint64) uint64 {
	var buffer [16]byte
	for i := 0; i < 8; i++ {
		buffer[i] = byte(a >> (8 * i))
		buffer[8+i] = byte(b >> (8 * i))
	}
	return xxhash.Sum64(buffer[:])
}
