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

// Member is a target in the host list.
type Member struct {
	Machine contract.MachineID
	Place   Place
	Leaving bool
}

// Rules are the settings of the service in one zone.
type Rules struct {
	// Evacuated is set while operators have the zone evacuated.
	Evacuated bool
	// ColdLimit is how many units of work a target can take during its cold start.
	ColdLimit int
	// SlowStart is how long the share of a returning target grows.
	SlowStart time.Duration
	// Weights and Previous are the digests of the weights that may be served. Both are
	// empty for a plain service.
	Weights, Previous contract.Digest
}

// member is the state of one target.
type member struct {
	Member
	tier tier
	// up is set while the link to the target works.
	up bool
	// loadKnown is set if the target has reported its load since the link was last lost.
	loadKnown bool
	// downAt is when the link was last lost; zero if it never was.
	downAt time.Time
	// reportedAt is when the current load was received.
	reportedAt time.Time
	// incarnation and the sequence number of the load order the reports.
	incarnation contract.Incarnation
	load        contract.Load
	// inflight counts the entry's attempts in flight at the target, unacked those of
	// them that the target has not acknowledged yet.
	inflight, unacked uint32
	// rampStart is when the target's slow start began; zero if it is over.
	rampStart time.Time
	// hash is the hash of the target's ID for rendezvous hashing.
	hash uint64
}

// tier is the distance of a target from the entry. Lower tiers are preferred.
type tier uint8

const (
	tierZone tier = iota
	tierRegion
	tierRemote
	tierCount
)

// tierOf returns the tier of a target at place for an entry at home.
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

// usedUnits estimates the units of work at the target now.
func (m *member) usedUnits() uint32 {
	return max(m.load.Running+m.load.Queued+m.unacked, m.inflight)
}

// limit returns how many units of work the target can take as far as the entry knows.
func (m *member) limit(rules Rules) uint32 {
	if m.loadKnown {
		return m.load.Limit
	}
	return uint32(max(rules.ColdLimit, 1))
}

// credits returns how many attempts the entry may have in flight at the target.
func (m *member) credits(rules Rules) uint32 {
	if !m.loadKnown {
		return uint32(max(rules.ColdLimit, 1))
	}
	return m.load.Credits
}

// rampedCredits returns the credits scaled by the progress of the slow start. The result
// is at least 1, unless there are no credits at all.
func (m *member) rampedCredits(now time.Time, rules Rules) uint32 {
	credits := m.credits(rules)
	if credits == 0 || m.rampStart.IsZero() || rules.SlowStart <= 0 {
		return credits
	}
	share := float64(now.Sub(m.rampStart)) / float64(rules.SlowStart)
	if share >= 1 {
		m.rampStart = time.Time{}
		return credits
	}
	return max(1, uint32(float64(credits)*share))
}

// servesVersion reports whether a request may run on the weights that the target has
// confirmed. A target that has not reported yet may serve the current weights. With
// anyVersion set, any complete version may serve a request that is not pinned. Otherwise
// targets that still have the version before both would be unusable while two roll-outs
// overlap.
func (m *member) servesVersion(rules Rules, pinned contract.Digest, anyVersion bool) bool {
	loaded := m.load.Weights
	if loaded == "" {
		return rules.Weights == "" || !m.loadKnown && (pinned == "" || pinned == rules.Weights)
	}
	if pinned != "" {
		return loaded == pinned
	}
	return loaded == rules.Weights || loaded == rules.Previous || anyVersion || rules.Weights == ""
}

// pinDigest returns the digest that a request sent to the target is pinned to.
func (m *member) pinDigest(rules Rules) contract.Digest {
	if rules.Weights == "" || m.load.Weights == "" {
		return rules.Weights
	}
	return m.load.Weights
}
