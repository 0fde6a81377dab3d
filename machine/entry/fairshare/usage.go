package fairshare

import (
	"math"
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// OverShareDivisor and SoleTeamDivisor are the results of HeadroomDivisor: 1/4 and 1/16 of
// the capacity of the targets are left free for other teams.
const (
	OverShareDivisor = 4
	SoleTeamDivisor  = 16
)

const (
	// activeWindow is how long after its last request a team counts as active.
	activeWindow = 5 * time.Minute
	// usageDecay is the time constant with which the tokens sent decay.
	usageDecay = 20 * time.Second
	// A team is over its share if its part of the tokens sent exceeds the smaller of
	// overShareFactor times its fair share and its fair share plus overShareMargin.
	overShareFactor = 2
	overShareMargin = 0.25
)

// Usage tracks the tokens of a service that were sent for each team lately, and determines
// which teams received more than their share.
type Usage struct {
	teams map[contract.TeamName]*teamUsage
	// sorted lists the teams by name.
	sorted    []*teamUsage
	decayedAt time.Time
}

type teamUsage struct {
	name          contract.TeamName
	weight        float64
	lastRequestAt time.Time
	tokens        float64
}

// NewUsage returns a Usage without teams.
func NewUsage() *Usage {
	return &Usage{teams: map[contract.TeamName]*teamUsage{}}
}

// RecordRequest records that a team with this weight has made a request.
func (u *Usage) RecordRequest(now time.Time, name contract.TeamName, weight float64) {
	t, ok := u.teams[name]
	if !ok {
		t = &teamUsage{name: name}
		u.teams[name] = t
		at := sort.Search(len(u.sorted), func(i int) bool { return u.sorted[i].name >= name })
		u.sorted = append(u.sorted, nil)
		copy(u.sorted[at+1:], u.sorted[at:])
		u.sorted[at] = t
	}
	t.weight = max(weight, minWeight)
	t.lastRequestAt = now
}

// RecordTokens adds tokens that were sent for a team. It ignores teams without a recorded
// request.
func (u *Usage) RecordTokens(now time.Time, name contract.TeamName, tokens uint32) {
	u.decay(now)
	if t, ok := u.teams[name]; ok {
		t.tokens += float64(tokens)
	}
}

// decay decays the tokens of all teams, in steps of at least one second.
func (u *Usage) decay(now time.Time) {
	const step = time.Second
	elapsed := now.Sub(u.decayedAt)
	if elapsed < step {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / usageDecay.Seconds())
	for _, t := range u.sorted {
		t.tokens *= factor
	}
	u.decayedAt = now
}

// HeadroomDivisor returns n if requests of a team must leave 1/n of the capacity of the
// targets free for other teams, and 0 if they need not leave any. It returns SoleTeamDivisor
// for the only active team, which leaves capacity for the first request of another team, and
// OverShareDivisor for a team that received more than its share among the active teams.
func (u *Usage) HeadroomDivisor(now time.Time, name contract.TeamName) uint32 {
	own, ok := u.teams[name]
	if !ok {
		return 0
	}
	totalWeight, totalTokens := 0.0, 0.0
	for _, t := range u.sorted {
		totalTokens += t.tokens
		if t == own || now.Sub(t.lastRequestAt) <= activeWindow {
			totalWeight += t.weight
		}
	}
	if totalWeight <= own.weight {
		return SoleTeamDivisor
	}
	fairShare := own.weight / totalWeight
	if own.tokens > totalTokens*min(overShareFactor*fairShare, fairShare+overShareMargin) {
		return OverShareDivisor
	}
	return 0
}
