// Package vouch tells which targets must be asked about a request whose entry
// is gone, and what their answers mean together.
//
// # Contract
//
// A Watch remembers every target of a service that the host list has shown,
// also after it left the list. Before a request may be called "never ran", each
// target that was listed since the request claimed its key must refuse it from
// then on; a target that is gone cannot, so the request stays in doubt. A Watch
// that began later than the claim, or whose list is older, cannot tell which
// targets to ask.
//
// A target that was listed for less time than lies between two reads of the
// list may escape a Watch.
package vouch

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
)

// Config holds the times of a Watch.
type Config struct {
	// Keep is how long a target that left the list is remembered.
	Keep time.Duration
	// Lag bounds the age of what the host list shows.
	Lag time.Duration
}

// Target is one target in the host list.
type Target struct {
	Service contract.ServiceName
	Machine contract.MachineID
}

// Watch is not safe for concurrent use.
type Watch struct {
	config Config
	// began and observed are the times of the first and the last list.
	began, observed time.Time
	// gone holds each target with the time of the first list without it; zero
	// while it is listed.
	gone map[Target]time.Time
	off  mechanism
}

// mechanism names parts that tests switch off to show that they are needed.
type mechanism uint8

const (
	rememberGone mechanism = 1 << iota
	sinceClaim
	freshList
)

// NewWatch returns a watch that has seen no list.
func NewWatch(config Config) *Watch {
	return &Watch{config: config, gone: map[Target]time.Time{}}
}

// Observe takes the targets of a whole list.
func (w *Watch) Observe(now time.Time, targets []Target) {
	if w.began.IsZero() {
		w.began = now
	}
	w.observed = now
	listed := map[Target]bool{}
	for _, t := range targets {
		listed[t] = true
		w.gone[t] = time.Time{}
	}
	for t, gone := range w.gone {
		switch {
		case listed[t]:
		case w.off&rememberGone != 0:
			delete(w.gone, t)
		case gone.IsZero():
			w.gone[t] = now
		case now.Sub(gone) > w.config.Keep+w.config.Lag:
			delete(w.gone, t)
		}
	}
}

// Ask returns the targets to ask about a request of the given age, in order of
// their names. Complete is false if there may have been others.
func (w *Watch) Ask(now time.Time, service contract.ServiceName, age time.Duration) (machines []contract.MachineID, complete bool) {
	claimed := now.Add(-age)
	for t, gone := range w.gone {
		if t.Service == service && (gone.IsZero() || gone.Add(w.config.Lag).After(claimed)) {
			machines = append(machines, t.Machine)
		}
	}
	slices.Sort(machines)
	whole := !w.began.IsZero() && !w.began.After(claimed) && age <= w.config.Keep || w.off&sinceClaim != 0
	fresh := w.observed.After(claimed.Add(w.config.Lag)) || w.off&freshList != 0
	return machines, whole && fresh
}

// Answer is what one target told, or that it did not.
type Answer struct {
	// Heard is false if no answer came.
	Heard bool
	State contract.AttemptState
	// Result is the kept answer, for contract.AttemptDone.
	Result *claims.Result
}

// Combine returns what the answers mean together.
func Combine(complete bool, answers []Answer) claims.ProbeResult {
	state := claims.ProbeNeverRan
	if !complete {
		state = claims.ProbeUnknown
	}
	for _, a := range answers {
		if result := a.done(); result != nil {
			return claims.ProbeResult{State: claims.ProbeDone, Result: result}
		}
		state = worse(state, a.state())
	}
	return claims.ProbeResult{State: state}
}

// done returns the answer of a request that ran.
func (a Answer) done() *claims.Result {
	switch {
	case !a.Heard:
		return nil
	case a.State == contract.AttemptDone && a.Result != nil:
		return a.Result
	case a.State == contract.AttemptForgotten, a.State == contract.AttemptDone:
		return &claims.Result{Outcome: contract.OutcomeDone, Omitted: true}
	default:
		return nil
	}
}

func (a Answer) state() claims.ProbeState {
	switch {
	case !a.Heard:
		return claims.ProbeUnknown
	case a.State == contract.AttemptNeverRan:
		return claims.ProbeNeverRan
	case a.State == contract.AttemptRunning, a.State == contract.AttemptQueued:
		return claims.ProbeRunning
	default:
		return claims.ProbeUnknown
	}
}

// worse returns the state that allows less. A request that runs is known to
// run, whatever the others say.
func worse(a, b claims.ProbeState) claims.ProbeState {
	switch {
	case a == claims.ProbeRunning || b == claims.ProbeRunning:
		return claims.ProbeRunning
	case a == claims.ProbeUnknown || b == claims.ProbeUnknown:
		return claims.ProbeUnknown
	default:
		return a
	}
}
