// Package upgrade decides when a target makes its model engine load another version of the
// weights.
//
// The targets of a zone take turns without coordination: each knows its rank among them and
// when the version was announced, and the turns are spread over the remaining time, so that
// most of the zone keeps serving. An engine without weights loads at once, and no engine
// waits beyond the time at which entries stop sending requests to the older version.
//
// The package has no I/O and no clock.
package upgrade

import "time"

const (
	// lastTurnMargin is how long before the end of the bound turns start at the latest: about when
	// entries stop sending what they can give up to the older version. An engine serves until its
	// turn; finishing its requests and loading may extend past the bound.
	lastTurnMargin = BeginMargin + 600*time.Millisecond
	// notifyMargin is how much longer than news take to reach the entries of the zone they are
	// notified before the order to load, to send no more requests.
	notifyMargin = 100 * time.Millisecond
)

// EngineState is what is known of an engine and of the version it is to load.
type EngineState struct {
	Now time.Time
	// Up reports whether the engine answers, Busy whether an order is in progress.
	Up, Busy bool
	// Loaded is the version that the engine holds completely; 0 if none.
	Loaded int64
	// Desired is the version to load, 0 if none. BehindSince is when the oldest version
	// above the loaded one was announced: requests must not start on the engine later than
	// Bound after it.
	Desired     int64
	BehindSince time.Time
	// StagedAt is when all pieces of the desired version had been staged at the engine;
	// zero if they are not.
	StagedAt time.Time
	// Rank is the target's place among the ZoneTargets targets of its zone.
	Rank, ZoneTargets int
	// Bound is how long after the announcement of a version requests may start on an older
	// one.
	Bound time.Duration
	// NewsDelay is how long news take to reach the entries of the zone.
	NewsDelay time.Duration
}

// Action is what to do now.
type Action uint8

const (
	// Wait means that there is nothing to do.
	Wait Action = iota
	// NotifyEntries means that the order to load is imminent and entries are to be notified
	// to send no more requests.
	NotifyEntries
	// Load means that the engine is to be ordered to load.
	Load
)

// Decide returns the action to take in the given state.
func Decide(s EngineState) Action {
	if !s.Up || s.Busy || s.Desired == 0 || s.Loaded >= s.Desired || s.StagedAt.IsZero() {
		return Wait
	}
	if s.Loaded == 0 {
		return Load
	}
	due := s.DueAt()
	loadAt := due.Add(s.NewsDelay + notifyMargin)
	// Once the loaded version is past its bound, the engine gets no requests, and entries need not be
	// notified in advance.
	if end := s.BehindSince.Add(s.Bound); end.Before(loadAt) {
		loadAt = end
		if end.Before(due) {
			loadAt = due
		}
	}
	switch {
	case !s.Now.Before(loadAt):
		return Load
	case !s.Now.Before(due):
		return NotifyEntries
	default:
		return Wait
	}
}

// DueAt returns when the engine's turn starts. The turns of a zone are spread evenly over
// the time that remains from StagedAt until lastTurnMargin before the end of the bound. If
// none remains, or the target is alone in its zone, the turn starts at StagedAt.
func (s EngineState) DueAt() time.Time {
	latest := s.BehindSince.Add(s.Bound - lastTurnMargin)
	remaining := latest.Sub(s.StagedAt)
	if remaining <= 0 || s.ZoneTargets <= 1 {
		return s.StagedAt
	}
	return s.StagedAt.Add(remaining * time.Duration(s.Rank) / time.Duration(s.ZoneTargets))
}
