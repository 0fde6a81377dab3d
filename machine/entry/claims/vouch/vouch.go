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
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
)

// Config holds the times of a Watch.
type Config struct {
	// Keep is how long a target that left the list is remembered.
	Retention time.Duration
	// Lag bounds the age of what the host list shows.
	MaxListAge time.Duration
}

// Target is one target in the host list.
type Target struct {
	Service contract.ServiceName
	Machine contract.MachineID
	// Address is that of the target's link endpoint.
	Address string
}

// identity names a target over changes of its address.
type identity struct {
	service contract.ServiceName
	machine contract.MachineID
}

// listing is what a Watch remembers of a target.
type listing struct {
	address string
	// gone is the time of the first list without the target; zero while it is
	// listed.
	gone time.Time
}

// Watch is not safe for concurrent use.
type TargetTracker struct {
	config Config
	// began and observed are the times of the first and the last list.
	began, observed time.Time
	targets         map[identity]listing
	off             mechanism
}

// mechanism names parts that tests switch off to show that they are needed.
type mechanism uint8

const (
	rememberGone mechanism = 1 << iota
	sinceClaim
	freshList
)

// NewWatch returns a watch that has seen no list.
func NewTargetTracker(config Config) *TargetTracker {
	return &TargetTracker{config: config, targets: map[identity]listing{}}
}

// Observe takes the targets of a whole list.
func (w *TargetTracker) ObserveList(now time.Time, targets []Target) {
	if w.began.IsZero() {
		w.began = now
	}
	w.observed = now
	listed := map[identity]bool{}
	for _, t := range targets {
		id := identity{service: t.Service, machine: t.Machine}
		listed[id] = true
		w.targets[id] = listing{address: t.Address}
	}
	for id, l := range w.targets {
		if !listed[id] {
			w.leave(now, id, l)
		}
	}
}

// leave keeps a target that is not in the list any more for its time.
func (w *TargetTracker) leave(now time.Time, id identity, l listing) {
	switch {
	case w.off&rememberGone != 0:
		delete(w.targets, id)
	case l.gone.IsZero():
		w.targets[id] = listing{address: l.address, gone: now}
	case now.Sub(l.gone) > w.config.Retention+w.config.MaxListAge:
		delete(w.targets, id)
	}
}

// Ask returns the targets to ask about a request of the given age, in order of
// their names. Complete is false if there may have been others.
func (w *TargetTracker) ProbeTargets(now time.Time, service contract.ServiceName, age time.Duration) (targets []Target, complete bool) {
	claimed := now.Add(-age)
	for id, l := range w.targets {
		if id.service == service && (l.gone.IsZero() || l.gone.Add(w.config.MaxListAge).After(claimed)) {
			targets = append(targets, Target{Service: service, Machine: id.machine, Address: l.address})
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(string(a.Machine), string(b.Machine)) })
	whole := !w.began.IsZero() && !w.began.After(claimed) && age <= w.config.Retention || w.off&sinceClaim != 0
	fresh := w.observed.After(claimed.Add(w.config.MaxListAge)) || w.off&freshList != 0
	return targets, whole && fresh
}

// Answer is what one target told, or that it did not.
type Answer struct {
	// Heard is false if no answer came.
	Received bool
	State    contract.AttemptState
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
	case !a.Received:
		return nil
	case a.State == contract.AttemptDone && a.Result != nil:
		return a.Result
	case a.State == contract.AttemptAnswerDropped, a.State == contract.AttemptDone:
		return &claims.Result{Outcome: contract.OutcomeDone, BodyOmitted: true}
	default:
		return nil
	}
}

func (a Answer) state() claims.ProbeState {
	switch {
	case !a.Received:
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
