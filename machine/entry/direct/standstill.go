package direct

import (
	"context"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/boottime"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	// minStandstill is the shortest time without an observation that counts as one in which the process
	// stood still. Observations are checkInterval apart.
	minStandstill = checkInterval + maxStandstill
	// lateReadTime is for how long after a standstill what is read may have arrived before its end.
	lateReadTime = 3 * time.Second
	// freshListTimeout limits the wait for a list of targets that was read after a standstill, and
	// freshListInterval is the time between two looks whether it is there.
	freshListTimeout  = time.Second
	freshListInterval = 10 * time.Millisecond
)

// standstills notices when the process stood still: stopped, or suspended with its machine. The zero value is
// ready to use, and safe for concurrent use.
type standstills struct {
	mu sync.Mutex
	// observedAt is the time since boot at the last observation, endedAt when the last standstill was
	// noticed; both are zero before there was one.
	observedAt time.Duration
	endedAt    time.Time
}

// start begins the observations after a time without any.
func (s *standstills) start() { s.observeAt(boottime.Now(), true) }

// observe returns when the last standstill was noticed, zero if there was none. It must be called at least
// once per checkInterval while requests are under way.
func (s *standstills) observe() (endedAt time.Time) { return s.observeAt(boottime.Now(), false) }

func (s *standstills) observeAt(now time.Duration, isFirst bool) (endedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !isFirst && s.observedAt != 0 && now-s.observedAt >= minStandstill {
		s.endedAt = time.Now()
	}
	s.observedAt = now
	return s.endedAt
}

// mayHaveRestarted reports whether the target may have crashed, and started again, while this process stood
// still: a look whether it listens, after that, shows nothing of the answer. The target is known to be the same
// if a list of targets that was read since has it at its address with the start that it had.
func (x *exchange) mayHaveRestarted() bool {
	e := x.call.entry
	endedAt := e.fleet.standstills.observe()
	if endedAt.Before(x.start) || time.Since(endedAt) > lateReadTime {
		return false
	}
	return !e.awaitListSince(x.call.r.Context(), endedAt) || !e.fleet.listsIncarnation(x.choice)
}

// awaitListSince waits until the list of targets has been read by a call that began after a time, which it has
// begun if need be. It reports false if the store does not answer in time, or ctx ends.
func (e *Entry) awaitListSince(ctx context.Context, since time.Time) bool {
	if e.targetsFeed == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, freshListTimeout)
	defer cancel()
	for requested := false; !e.targetsFeed.AnsweredCallBegan().After(since); {
		if !requested {
			e.targetsFeed.Refresh()
			requested = true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(freshListInterval):
		}
	}
	return true
}

// listsIncarnation reports whether the list of targets has the target of a choice at its address, and as the same
// incarnation.
func (fs *fleetState) listsIncarnation(choice placement.Choice) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.roster.ListsIncarnation(choice.Address, choice.ID, choice.Born)
}
