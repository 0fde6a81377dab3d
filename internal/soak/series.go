package soak

import (
	"math/rand/v2"
	"time"
)

// series are groups of events that follow one another closely and that single draws
// would hardly ever bring together.
var series = []func(rnd *rand.Rand, at time.Duration, shape Shape) []Event{lateLearner, longEvacuation}

const (
	// minAway and maxAway bound how long the origin of weights is away around a naming.
	minAway = 11 * time.Second
	maxAway = 14 * time.Second
	// maxBeforeNaming is how much the time until a version is named varies.
	maxBeforeNaming = time.Second
	// minUntilGone and maxUntilGone bound the time from the naming until the entry goes;
	// one that freezes before it learns of it later.
	minUntilGone = -500 * time.Millisecond
	maxUntilGone = 1500 * time.Millisecond
	// minGone and maxGone bound how long the entry is gone.
	minGone = 2 * time.Second
	maxGone = 5 * time.Second
	// minOut and maxOut bound how long a zone is evacuated so that the bound passes.
	minOut = 7 * time.Second
	maxOut = 12 * time.Second
)

// lateLearner names a version while the origin is away, so that engines stay on the
// older one, and has an entry stop, die or freeze so that it learns of the version
// late (docs/incidents/inc1-version-short.md).
func lateLearner(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	away := Event{At: at, Duration: between(rnd, minAway, maxAway), Fault: OriginUnavailable}
	name := Event{At: at - minUntilGone + between(rnd, 0, maxBeforeNaming), Fault: AnnounceVersion}
	gone := Event{
		At:       name.At + between(rnd, minUntilGone, maxUntilGone),
		Duration: between(rnd, minGone, maxGone),
		Fault:    []Fault{KillEntry, PauseEntry, StopEntry}[rnd.IntN(3)],
	}
	return []Event{away, name, place(rnd, gone, shape)}
}

// longEvacuation evacuates a zone for longer than the bound; single draws end before it.
func longEvacuation(rnd *rand.Rand, at time.Duration, shape Shape) []Event {
	return []Event{place(rnd, Event{At: at, Duration: between(rnd, minOut, maxOut), Fault: EvacuateZone}, shape)}
}
