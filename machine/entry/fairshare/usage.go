package fairshare

import (
	"math"
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Parts of what targets bear, one in so many, that are left free for others.
const (
	OverShareDivisor = 4
	SoleTeamDivisor  = 16
)

const (
	// usageWindow is how long a team counts after its last request.
	usageWindow = 5 * time.Minute
	// usageDecay is the time constant over which work sent is remembered.
	usageDecay = 20 * time.Second
	// A team is over its share if its part of the work exceeds the smaller of
	// overFactor times its share and its share plus overMargin.
	overFactor = 2
	overMargin = 0.25
)

// Usage tells which teams were given more work of a service lately than their
// share.
type Usage struct {
	teams map[contract.TeamName]*usage
	// order lists the teams by name.
	order []*usage
	last  time.Time
}

type usage struct {
	name   contract.TeamName
	weight float64
	seen   time.Time
	tokens float64
}

// NewUsage returns a usage without teams.
func NewUsage() *Usage {
	return &Usage{teams: map[contract.TeamName]*usage{}}
}

// Seen notes a request of a team.
func (u *Usage) RecordRequest(now time.Time, name contract.TeamName, weight float64) {
	t, ok := u.teams[name]
	if !ok {
		t = &usage{name: name}
		u.teams[name] = t
		at := sort.Search(len(u.order), func(i int) bool { return u.order[i].name >= name })
		u.order = append(u.order, nil)
		copy(u.order[at+1:], u.order[at:])
		u.order[at] = t
	}
	t.weight = max(weight, minWeight)
	t.seen = now
}

// Sent adds tokens of a team that was seen.
func (u *Usage) RecordTokens(now time.Time, name contract.TeamName, tokens uint32) {
	u.decay(now)
	if t, ok := u.teams[name]; ok {
		t.tokens += float64(tokens)
	}
}

func (u *Usage) decay(now time.Time) {
	const step = time.Second
	elapsed := now.Sub(u.last)
	if elapsed < step {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / usageDecay.Seconds())
	for _, t := range u.order {
		t.tokens *= factor
	}
	u.last = now
}

// Headroom is the part, one in so many, of what targets bear that work of a
// team must leave free for others; 0 means none. A team that was given more than
// its share among the teams seen lately leaves OverHeadroom, a team that is alone
// leaves AloneHeadroom for the first request of another.
func (u *Usage) HeadroomDivisor(now time.Time, name contract.TeamName) uint32 {
	own, ok := u.teams[name]
	if !ok {
		return 0
	}
	weights, tokens := 0.0, 0.0
	for _, t := range u.order {
		tokens += t.tokens
		if t == own || now.Sub(t.seen) <= usageWindow {
			weights += t.weight
		}
	}
	if weights <= own.weight {
		return SoleTeamDivisor
	}
	fair := own.weight / weights
	if own.tokens > tokens*min(overFactor*fair, fair+overMargin) {
		return OverShareDivisor
	}
	return 0
}
