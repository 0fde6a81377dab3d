package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/fairshare"
	"mimosastand.example/mimosastand/settings"
)

type phase uint8

const (
	phaseClaiming phase = iota
	phaseQueued
	phaseActive
)

// request is the state of a request between RequestArrived and Finish.
type request struct {
	Request
	service *service
	item    fairshare.Item
	phase   phase
	// holdsKey is set if the request holds its key and must resolve it.
	holdsKey bool
	// isDetached is set if the caller has disconnected but the request continues.
	isDetached   bool
	isCallerSlow bool

	arrived  time.Time
	deadline time.Time
	// startBy is the latest time at which an attempt may be sent. It is zero if there is
	// no bound.
	startBy time.Time

	// pinnedDigest is the digest of the weights that must generate the rest of the
	// answer. It is empty if any weights may.
	pinnedDigest contract.Digest
	// deliveredTokens is the number of tokens that were delivered to the caller.
	deliveredTokens uint64
	// answerBody collects the body of a plain service's answer.
	answerBody []byte

	attempts []*attempt
	current  *attempt
	// exclusions holds the targets that the request avoids.
	exclusions map[contract.MachineID]exclusion
	// failedAttempts counts the attempts that count towards MaxFailedAttempts.
	failedAttempts int

	wakeAt    time.Time
	heapIndex int
}

type attemptState uint8

const (
	attemptSent attemptState = iota
	attemptRunning
	attemptQuerying
	attemptEnded
)

// attempt is one attempt to run a request at a target.
type attempt struct {
	id      contract.AttemptID
	request *request
	target  contract.MachineID
	weights contract.Digest
	state   attemptState
	// result is OutcomeNotRun or OutcomeDone once that is certain.
	result contract.Outcome
	// exchange is the current exchange. It is 0 between two queries.
	exchange    uint64
	incarnation contract.Incarnation
	// nextSeq is the sequence number of the next frame, receivedBytes the number of bytes
	// received so far.
	nextSeq       uint64
	receivedBytes uint64
	sentAt        time.Time
	// timeoutAt is when the state machine acts if no message arrives.
	timeoutAt time.Time
	// isAcked is set once the target has replied, hasStarted once it has reported that
	// the attempt started, hasFirstPart once a part or the end of the answer has arrived.
	// isReleased is set once the attempt is no longer counted as open at its target.
	isAcked, hasStarted, hasFirstPart bool
	isReleased                        bool
	unansweredQueries                 int
	stalls                            int
}

// unfinishedOutcome returns the outcome of a request that is not done: OutcomeNotRun only
// if no attempt can have run.
func (r *request) unfinishedOutcome() contract.Outcome {
	for _, a := range r.attempts {
		if a.result != contract.OutcomeNotRun {
			return contract.OutcomeUnknown
		}
	}
	if r.deliveredTokens > 0 {
		return contract.OutcomeUnknown
	}
	return contract.OutcomeNotRun
}

func (r *request) isModel() bool {
	return r.Kind == settings.KindModel
}

func (r *request) claim() contract.Claim {
	return contract.Claim{
		Service:  r.Service,
		Team:     r.Team,
		Key:      r.Key,
		Request:  r.ID,
		BodyHash: r.BodyHash,
	}
}

// exclusion excludes a target for a limited time.
type exclusion struct {
	since, until time.Time
	// endsOnReport is set if the target's next report ends the exclusion.
	endsOnReport bool
}

// isExcluded reports whether a target is excluded at present.
func (r *request) isExcluded(now time.Time, id contract.MachineID) bool {
	e, ok := r.exclusions[id]
	if !ok || !now.Before(e.until) {
		return false
	}
	return !e.endsOnReport || !r.service.pool.ReportedAfter(id, e.since)
}

func (r *request) exclude(id contract.MachineID, e exclusion) {
	if r.exclusions == nil {
		r.exclusions = map[contract.MachineID]exclusion{}
	}
	r.exclusions[id] = e
}

// wakeTime returns the time at which the request needs attention if no event occurs.
func (r *request) wakeTime() time.Time {
	wake := r.deadline
	if r.phase == phaseQueued && !r.startBy.IsZero() && r.startBy.Before(wake) {
		wake = r.startBy
	}
	if r.phase == phaseActive && !r.current.timeoutAt.IsZero() && r.current.timeoutAt.Before(wake) {
		wake = r.current.timeoutAt
	}
	return wake
}
