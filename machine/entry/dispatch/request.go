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

// request is one request between Arrive and Finish.
type request struct {
	Request
	service *service
	item    fairshare.Item
	phase   phase
	// claimed tells that the request holds its key and must resolve it.
	claimed bool
	// detached tells that the caller is gone but the request runs on.
	detached bool
	slow     bool

	arrived  time.Time
	deadline time.Time
	// startBy bounds the time of the last attempt; zero if there is no bound.
	startBy time.Time

	// pinned is the digest that the rest of the answer must come from.
	pinned contract.Digest
	// at is the number of tokens that the caller has.
	at uint64
	// answer collects the bytes of a plain service's answer.
	answer []byte

	attempts []*attempt
	current  *attempt
	// tried holds the targets that are left out.
	tried map[contract.MachineID]exclusion
	// counted counts the attempts towards MaxAttempts.
	counted int

	wake  time.Time
	index int
}

type attemptState uint8

const (
	attemptSent attemptState = iota
	attemptRunning
	attemptAsking
	attemptEnded
)

// attempt is one try at a target.
type attempt struct {
	id      contract.AttemptID
	request *request
	target  contract.MachineID
	weights contract.Digest
	state   attemptState
	// result is not run or done once that is certain.
	result contract.Outcome
	// exchange is the stream that counts; 0 between two questions.
	exchange    uint64
	incarnation contract.Incarnation
	// next is the sequence number of the next frame, length the bytes so far.
	next   uint64
	length uint64
	sentAt time.Time
	// due is when the machine acts if nothing is heard.
	due time.Time
	// heard tells that the target answered, started that it accepted, answered
	// that a first part came.
	heard, started, answered bool
	released                 bool
	questions                int
	stalls                   int
}

// outcome is what may truthfully be said of a request that is not done.
func (r *request) outcome() contract.Outcome {
	for _, a := range r.attempts {
		if a.result != contract.OutcomeNotRun {
			return contract.OutcomeUnknown
		}
	}
	if r.at > 0 {
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

// exclusion leaves a target out for a while.
type exclusion struct {
	since, until time.Time
	// report tells that the target's next report ends the exclusion.
	report bool
}

// isTried reports whether a target is left out at present.
func (r *request) isTried(now time.Time, id contract.MachineID) bool {
	e, ok := r.tried[id]
	if !ok || !now.Before(e.until) {
		return false
	}
	return !e.report || !r.service.pool.ReportedAfter(id, e.since)
}

func (r *request) leaveOut(id contract.MachineID, e exclusion) {
	if r.tried == nil {
		r.tried = map[contract.MachineID]exclusion{}
	}
	r.tried[id] = e
}

// nextWake is when the request needs attention if nothing happens.
func (r *request) nextWake() time.Time {
	wake := r.deadline
	if r.phase == phaseQueued && !r.startBy.IsZero() && r.startBy.Before(wake) {
		wake = r.startBy
	}
	if r.phase == phaseActive && !r.current.due.IsZero() && r.current.due.Before(wake) {
		wake = r.current.due
	}
	return wake
}
