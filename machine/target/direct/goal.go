package direct

import (
	"time"

	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/weights/pieces"
)

// maxGoals bounds the versions that are fetched at once: while a version does not
// arrive, the one named before it is still better than an older one.
const maxGoals = 2

// goal is a version that the engine is to have.
type goal struct {
	version weightcache.Version
	set     *pieces.Set
	// fetching tells that its pieces are being fetched.
	fetching bool
	// stagedAt is when the pieces lay beside the engine, in the engine's life
	// stagedFor; zero if they do not.
	stagedAt  time.Time
	stagedFor int64
}

func (g *goal) whole() bool { return g.set != nil && g.set.IsComplete() }

// isStaged reports whether the pieces lie beside the engine in its present life.
func (g *goal) isStaged(born int64) bool { return !g.stagedAt.IsZero() && g.stagedFor == born }

// addGoal adds a version that was named to the goals, oldest first.
func addGoal(goals []*goal, v weightcache.Version) []*goal {
	for _, g := range goals {
		if g.version.Model != v.Model || g.version.Number >= v.Number {
			return goals
		}
	}
	goals = append(goals, &goal{version: v})
	if len(goals) > maxGoals {
		goals = goals[len(goals)-maxGoals:]
	}
	return goals
}

// next returns the newest goal above the loaded version whose pieces are there, or
// nil.
func next(goals []*goal, loaded int64) *goal {
	for i := len(goals) - 1; i >= 0; i-- {
		if goals[i].version.Number > loaded && goals[i].whole() {
			return goals[i]
		}
	}
	return nil
}
