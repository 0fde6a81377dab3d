// Package upgrade decides when the process beside a model engine has it load
// another version of the weights.
//
// All targets of a zone take turns by themselves: each knows its rank among them
// and when the version was named, and the turns are spread over the time left, so
// that most of a zone serves meanwhile. An engine that holds nothing loads at once, and
// none waits past the time from which it would be of no use.
//
// The package has no I/O and no clock.
package upgrade

import "time"

const (
	// lastTurn is how long before the bound the last turn begins, which is when entries
	// begin to send nothing more on the older version. An engine serves until its turn;
	// ending work and loading may reach past the bound.
	lastTurn = 1900 * time.Millisecond
	// notice is how long before the order entries are told to send no more.
	notice = 200 * time.Millisecond
)

// View is what is known of an engine and of the version wanted.
type EngineState struct {
	Now time.Time
	// Up tells that the engine answers, Busy that an order is under way.
	Up, Busy bool
	// Loaded is the version that the engine holds whole; 0 if none.
	Loaded int64
	// Wanted is the version to load, WantedAt when the oldest version above the
	// loaded one was learned of: the engine may begin nothing more a bound after it.
	Desired     int64
	BehindSince time.Time
	// StagedAt is when the wanted version lay whole beside the engine; zero if it
	// does not.
	StagedAt time.Time
	// Rank is the target's place among the Of targets of its zone.
	Rank, ZoneTargets int
	// Bound is how long after a version was named requests may begin on an older one.
	Bound time.Duration
}

// Step is what to do now.
type Action uint8

const (
	// Wait means that there is nothing to do.
	Wait Action = iota
	// Announce means that the order is near: entries are to send no more.
	NotifyEntries
	// Load means that the engine is to be ordered to load.
	Load
)

// Decide tells what to do.
func Decide(v EngineState) Action {
	if !v.Up || v.Busy || v.Desired == 0 || v.Loaded >= v.Desired || v.StagedAt.IsZero() {
		return Wait
	}
	if v.Loaded == 0 {
		return Load
	}
	due := v.DueAt()
	switch {
	case !v.Now.Before(due.Add(notice)):
		return Load
	case !v.Now.Before(due):
		return NotifyEntries
	default:
		return Wait
	}
}

// Due is when the engine's turn begins: the turns of a zone are spread evenly
// over the time that is left before the bound.
func (v EngineState) DueAt() time.Time {
	latest := v.BehindSince.Add(v.Bound - lastTurn)
	left := latest.Sub(v.StagedAt)
	if left <= 0 || v.ZoneTargets <= 1 {
		return v.StagedAt
	}
	return v.StagedAt.Add(left * time.Duration(v.Rank) / time.Duration(v.ZoneTargets))
}
