// Package vouch determines which targets must be asked about a request whose entry
// process is gone, and combines their answers.
//
// A TargetTracker remembers every target of a service that the host list has shown,
// including targets that have left the list. A request may be reported as never run only
// if each target that was listed at any time since the request claimed its key refuses it
// from then on. A target that is gone cannot answer, so the request's outcome stays
// unknown. A TargetTracker that received its first list after the claim, or whose last
// list is too old, does not know all targets to ask.
//
// A TargetTracker may miss a target that was listed for less than the time between two
// reads of the list.
package vouch

import (
	"slices"
	"strings"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims"
)

// Config holds the time limits of a TargetTracker.
type Config struct {
	// Retention is how long a target that left the list is remembered.
	Retention time.Duration
	// MaxListAge bounds how far the host list lags behind when it is read.
	MaxListAge time.Duration
}

// Target is one target in the host list.
type Target struct {
	Service contract.ServiceName
	Machine contract.MachineID
	// Address is the address of the target's link endpoint.
	Address string
}

// targetKey identifies a target independently of its address.
type targetKey struct {
	service contract.ServiceName
	machine contract.MachineID
}

// listing is what a TargetTracker remembers of a target.
type listing struct {
	address string
	// delistedAt is the time of the first list without the target, or zero while the
	// target is listed.
	delistedAt time.Time
}

// TargetTracker remembers the targets of all services. It is not safe for concurrent use.
type TargetTracker struct {
	config Config
	// firstListAt and lastListAt are the times of the first and the last list.
	firstListAt, lastListAt time.Time
	targets                 map[targetKey]listing
	disabled                mechanism
}

// mechanism is a bit set of the parts that tests can switch off.
type mechanism uint8

const (
	retainDelisted mechanism = 1 << iota
	coverClaimTime
	requireFreshList
)

// NewTargetTracker returns a tracker that has received no list.
func NewTargetTracker(config Config) *TargetTracker {
	return &TargetTracker{config: config, targets: map[targetKey]listing{}}
}

// ObserveList records the targets of a complete list.
func (tr *TargetTracker) ObserveList(now time.Time, targets []Target) {
	if tr.firstListAt.IsZero() {
		tr.firstListAt = now
	}
	tr.lastListAt = now
	listed := map[targetKey]bool{}
	for _, t := range targets {
		id := targetKey{service: t.Service, machine: t.Machine}
		listed[id] = true
		tr.targets[id] = listing{address: t.Address}
	}
	for id, l := range tr.targets {
		if !listed[id] {
			tr.delistTarget(now, id, l)
		}
	}
}

// delistTarget handles a target that is missing from the list: it records when the target
// left, and removes the target once its retention is over.
func (tr *TargetTracker) delistTarget(now time.Time, id targetKey, l listing) {
	switch {
	case tr.disabled&retainDelisted != 0:
		delete(tr.targets, id)
	case l.delistedAt.IsZero():
		tr.targets[id] = listing{address: l.address, delistedAt: now}
	case now.Sub(l.delistedAt) > tr.config.Retention+tr.config.MaxListAge:
		delete(tr.targets, id)
	}
}

// ProbeTargets returns the targets to ask about a request that claimed its key the given
// time ago, ordered by machine. complete is false if there may have been others.
func (tr *TargetTracker) ProbeTargets(now time.Time, service contract.ServiceName, age time.Duration) (targets []Target, complete bool) {
	claimedAt := now.Add(-age)
	for id, l := range tr.targets {
		if id.service == service && (l.delistedAt.IsZero() || l.delistedAt.Add(tr.config.MaxListAge).After(claimedAt)) {
			targets = append(targets, Target{Service: service, Machine: id.machine, Address: l.address})
		}
	}
	slices.SortFunc(targets, func(a, b Target) int { return strings.Compare(string(a.Machine), string(b.Machine)) })
	covered := !tr.firstListAt.IsZero() && !tr.firstListAt.After(claimedAt) && age <= tr.config.Retention || tr.disabled&coverClaimTime != 0
	fresh := tr.lastListAt.After(claimedAt.Add(tr.config.MaxListAge)) || tr.disabled&requireFreshList != 0
	return targets, covered && fresh
}

// Answer is the answer of one target, or its absence.
type Answer struct {
	// Received is false if no answer came.
	Received bool
	State    contract.AttemptState
	// Result is the retained answer, for contract.AttemptDone.
	Result *claims.Result
}

// Combine returns the overall result of the answers. complete tells whether all targets
// that may have run the request were asked.
func Combine(complete bool, answers []Answer) claims.ProbeResult {
	state := claims.ProbeNeverRan
	if !complete {
		state = claims.ProbeUnknown
	}
	for _, a := range answers {
		if result := a.doneResult(); result != nil {
			return claims.ProbeResult{State: claims.ProbeDone, Result: result}
		}
		state = mostRestrictive(state, a.probeState())
	}
	return claims.ProbeResult{State: state}
}

// doneResult returns the result of a request that ran, or nil.
func (a Answer) doneResult() *claims.Result {
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

func (a Answer) probeState() claims.ProbeState {
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

// mostRestrictive returns the state that permits less. One target that runs the request
// is enough to know that the request runs.
func mostRestrictive(a, b claims.ProbeState) claims.ProbeState {
	switch {
	case a == claims.ProbeRunning || b == claims.ProbeRunning:
		return claims.ProbeRunning
	case a == claims.ProbeUnknown || b == claims.ProbeUnknown:
		return claims.ProbeUnknown
	default:
		return a
	}
}
