package soak

import (
	"slices"
	"strconv"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// backoffTime is for how long a back end that turns requests away wants none.
	// backoffNotice is how long an entry may take to follow, and maxDuringBackoff how many
	// requests may reach the back end after that.
	backoffTime      = 3 * time.Second
	backoffNotice    = 500 * time.Millisecond
	maxDuringBackoff = 2
	// leavingBound is how long requests may still reach a back end after an entry got its word
	// that it leaves.
	leavingBound = 2 * time.Second
)

// turnAway has a back end turn requests away for backoffTime each, until the returned function is
// called.
func (i *injector) turnAway(e *standins.Engine) func() {
	e.TurnAway(strconv.FormatFloat(backoffTime.Seconds(), 'f', -1, 64), time.Hour)
	return func() {
		e.TurnAway("", 0)
		i.bounds.addRefusals(e)
	}
}

// sayLeaving has a back end say that it leaves until the returned function is called, which has
// it end and start again: entries do not return to this incarnation.
func (i *injector) sayLeaving(e *standins.Engine) func() {
	e.SetLeaving(true)
	return func() {
		e.SetLeaving(false)
		e.Crash()
		i.bounds.addRefusals(e)
	}
}

func (b *bounds) addRefusals(e *standins.Engine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !slices.Contains(b.refusals, e) {
		b.refusals = append(b.refusals, e)
	}
}

// checkRefusals checks what reached back ends that turned entries away or said that they leave.
// senderOf returns the entry that sent an attempt, or nil.
func (b *bounds) checkRefusals(checker *Checker, senderOf func(attempt string) *harness.Machine) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.refusals {
		for _, refused := range e.Refusals() {
			got := b.countFromSame(e, refused, senderOf, backoffNotice, backoffTime)
			if got > maxDuringBackoff {
				checker.AddViolation(BackoffBound, "%s turned %s away for %v and got %d requests from the same entry, allowed %d",
					e.ID, refused.AttemptID, backoffTime, got, maxDuringBackoff)
				break
			}
		}
		for _, word := range e.LeavingWords() {
			if got := b.countFromSame(e, word, senderOf, leavingBound, time.Hour); got > 0 {
				checker.AddViolation(LeavingBound, "%s said to %s that it leaves and got %d requests from the same entry later than %v after it",
					e.ID, word.AttemptID, got, leavingBound)
				break
			}
		}
	}
}

// countFromSame counts the requests that the same incarnation of a back end got from the entry
// that had sent another, between two times after it, unless the entry or its path was impaired
// meanwhile.
func (b *bounds) countFromSame(e *standins.Engine, first standins.Arrival, senderOf func(string) *harness.Machine, after, until time.Duration) int {
	sender := senderOf(first.AttemptID)
	if sender == nil {
		return 0
	}
	n := 0
	for _, a := range standins.ArrivalsSince(e.Arrivals(), first.At.Add(after)) {
		since := a.At.Sub(first.At)
		if since > until || hasCrashedBetween(e, first.At, a.At) {
			break
		}
		unimpaired := sender.Impairments.NoneWithin(a.At, since) && b.impairmentsOfLocked(e.Relay).NoneWithin(a.At, since)
		if senderOf(a.AttemptID) == sender && unimpaired {
			n++
		}
	}
	return n
}

func hasCrashedBetween(e *standins.Engine, from, to time.Time) bool {
	return slices.ContainsFunc(e.Crashes(), func(c standins.Crash) bool { return c.At.After(from) && c.At.Before(to) })
}
