package direct

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/internal/standstill"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	// minStandstill is the shortest standstill that is noticed: while requests are under way, the process
	// looks every checkInterval.
	minStandstill = checkInterval + maxStandstill
	// freshListTimeout limits the wait for a list of targets that was read after a standstill, and
	// freshListInterval is the time between two looks whether it is there.
	freshListTimeout  = time.Second
	freshListInterval = 10 * time.Millisecond
)

// mayHaveRestarted reports whether the target may have crashed, and started again, while this process stood
// still: a look whether it listens, after that, shows nothing of the answer. The target is known to be the same
// if a list of targets that was read since has it at its address with the start that it had.
func (x *exchange) mayHaveRestarted() bool {
	e := x.call.entry
	endedAt := e.fleet.standstills.Observe().EndedAt
	if endedAt.Before(x.start) || time.Since(endedAt) > standstill.LateReadTime {
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
