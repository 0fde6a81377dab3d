package balancer

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Place is where a process runs.
type Place struct {
	Region contract.RegionName
	Zone   contract.ZoneName
}

// Member is a target as the host list describes it.
type Member struct {
	Machine contract.MachineID
	Place   Place
	Leaving bool
}

// Rules are the settings of the service in one zone.
type Rules struct {
	// Out is set while operators have taken the zone out.
	Evacuated bool
	// Cold is how many units of work a target in cold start bears.
	ColdLimit int
	// SlowStart is how long a returning target's share grows.
	SlowStart time.Duration
	// Weights and Former are the digests that may be served; both empty for a
	// plain service.
	Weights, Previous contract.Digest
}

// member is what the pool knows of one target.
type member struct {
	Member
	tier  tier
	up    bool
	known bool
	// downAt is when the link was lost; zero if it never worked.
	downAt time.Time
	// reported is when the load in force was taken in.
	reported time.Time
	// incarnation and seq order the reports.
	incarnation contract.Incarnation
	load        contract.Load
	// inflight counts the entry's attempts at the target, unacked those of them
	// that the target has not answered yet.
	inflight, unacked uint32
	// ramp is when the target's slow start began; zero if it is past.
	ramp time.Time
	hash uint64
}

type tier uint8

const (
	tierZone tier = iota
	tierRegion
	tierRemote
	tiers
)

func tierOf(home, place Place) tier {
	switch {
	case home == place:
		return tierZone
	case home.Region == place.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

// used estimates the units of work at the target now.
func (m *member) used() uint32 {
	return max(m.load.Running+m.load.Queued+m.unacked, m.inflight)
}

// limit is how many units the target bears as far as the entry knows.
func (m *member) limit(rules Rules) uint32 {
	if m.known {
		return m.load.Limit
	}
	return uint32(max(rules.ColdLimit, 1))
}

// credits is how many attempts the entry may have at the target.
func (m *member) credits(rules Rules) uint32 {
	if !m.known {
		return uint32(max(rules.ColdLimit, 1))
	}
	return m.load.Credits
}

// ramped scales credits by the progress of the slow start, at least 1.
func (m *member) ramped(now time.Time, rules Rules) uint32 {
	credits := m.credits(rules)
	if credits == 0 || m.ramp.IsZero() || rules.SlowStart <= 0 {
		return credits
	}
	share := float64(now.Sub(m.ramp)) / float64(rules.SlowStart)
	if share >= 1 {
		m.ramp = time.Time{}
		return credits
	}
	return max(1, uint32(float64(credits)*share))
}

// serves reports whether the target's confirmed digest will do. A target that
// has not reported may serve. With older set, any whole version will do for a
// request that is not pinned: while two roll-outs overlap, targets that still
// have the version before both would be missed.
func (m *member) serves(rules Rules, pinned contract.Digest, older bool) bool {
	has := m.load.Weights
	if has == "" {
		return rules.Weights == "" || !m.known && (pinned == "" || pinned == rules.Weights)
	}
	if pinned != "" {
		return has == pinned
	}
	return has == rules.Weights || has == rules.Previous || older || rules.Weights == ""
}

// digest is what a request sent to the target is pinned to.
func (m *member) digest(rules Rules) contract.Digest {
	if rules.Weights == "" || m.load.Weights == "" {
		return rules.Weights
	}
	return m.load.Weights
}
