package placement

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

// Explanation tells where an attempt would go, and why.
type Explanation struct {
	Choice  Choice
	Refusal Refusal
	// Wait is the predicted time until some target can send the first event in time. It is valid if
	// CanServe is set: some target may serve the request.
	Wait     time.Duration
	CanServe bool
	// Targets lists all targets: first those that may get the attempt, the soonest first.
	Targets []TargetState
}

// TargetState is what a choice rests on for one target.
type TargetState struct {
	ID      roster.TargetID
	Address string
	Zone    contract.ZoneName
	Version int64
	// Exclusion is the rule that excludes the target, or NotExcluded.
	Exclusion Exclusion
	// Delay is the predicted time to the first event of targets that are not excluded or full.
	Delay time.Duration
	// Load is the estimated number of requests at the target, OwnInFlight those of this entry.
	Load               float64
	Slots, OwnInFlight int
	// Pace is how long work takes in percent of what is usual; 0 if it is not known.
	Pace int
}

// Explain tells what Pick would return for an attempt whose first event is due within limit, and what
// that rests on. It changes nothing: the decision runs on a copy of what the pool records. Pick draws
// targets at random, so that another one of those that are nearly as good may get the attempt.
func (p *Pool) Explain(now time.Time, req Requirements, limit time.Duration) Explanation {
	q := p.copyForReading(now)
	var e Explanation
	e.Choice, e.Refusal = q.Pick(now, req, limit)
	e.Wait, e.CanServe = q.PredictWait(now, req, limit)
	includeEjected := !q.surveyTargets(now, req, limit, false).hasRoomOrIsFull()
	for _, m := range q.members {
		a := q.admit(now, m, req, limit, includeEjected)
		e.Targets = append(e.Targets, TargetState{
			ID: m.ID, Address: m.Address, Zone: m.Zone, Version: m.Version(now, q.modelLayers()), Exclusion: a.exclusion, Delay: a.delay,
			Load: q.estimateLoad(now, m), Slots: NewLatencyModel(q.service, m.Slots).slots, OwnInFlight: q.loadOf(m.ID).ownInFlight, Pace: int(math.Round(q.paceOf(now, m.ID))),
		})
	}
	slices.SortFunc(e.Targets, func(a, b TargetState) int {
		return cmp.Or(cmp.Compare(orderOf(a.Exclusion), orderOf(b.Exclusion)), cmp.Compare(a.Delay, b.Delay), cmp.Compare(a.ID, b.ID))
	})
	return e
}

// orderOf puts targets that are full behind those with room, and before those that other rules exclude.
func orderOf(e Exclusion) int {
	switch e {
	case NotExcluded:
		return 0
	case ExcludedFull:
		return 1
	default:
		return 1 + int(e)
	}
}

// copyForReading returns a copy of the pool on which decisions leave the pool as it is. The trackers of
// failures, limits and targets that leave are shared: decisions only read them.
func (p *Pool) copyForReading(now time.Time) *Pool {
	q := *p
	q.rng = rand.New(rand.NewPCG(uint64(now.UnixNano()), 0))
	q.loads = make(map[roster.TargetID]*targetLoad, len(p.loads))
	for id, l := range p.loads {
		copied := *l
		q.loads[id] = &copied
	}
	q.inflow.open = maps.Clone(p.inflow.open)
	return &q
}
