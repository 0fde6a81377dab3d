package claims

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Verdict is the decision about a claim.
type Verdict uint8

// The verdicts.
const (
	// Unavailable means that the key could not be claimed: nothing ran for this request
	// and nothing will. The log may be unavailable, the limit of held keys or queued
	// claims may be reached, the history may be incomplete, or the start timeout may have
	// run out. It is the zero value.
	Unavailable Verdict = iota
	// Run means that this request holds the key. It must run, and then be resolved.
	Run
	// Replay means that the key's request is done, and Decision.Result is its answer.
	Replay
	// InProgress means that another request holds the key and may still run.
	InProgress
	// Conflict means that the key was used with another body.
	Conflict
	// Unresolved means that the key's request may have run and that its outcome is
	// unknown.
	Unresolved
	// Expired means that the key is older than the window.
	Expired
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	names := [...]string{"unavailable", "run", "replay", "in progress", "conflict", "unresolved", "expired"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Reason returns the reason for refusing a request with this verdict, or "" for Run and
// Replay.
func (v Verdict) Reason() contract.Reason {
	switch v {
	case Unavailable:
		return contract.ReasonLogUnavailable
	case InProgress:
		return contract.ReasonKeyInProgress
	case Conflict:
		return contract.ReasonKeyConflict
	case Unresolved:
		return contract.ReasonKeyUnresolved
	case Expired:
		return contract.ReasonKeyExpired
	default:
		return ""
	}
}

// Result is how a request ended.
type Result = ledger.Result

// Decision is the result of a claim.
type Decision struct {
	Verdict Verdict
	// Holder is the request that holds the key, or empty if it is not known.
	Holder contract.RequestID
	// Result is set for Replay.
	Result *Result
	// RetryAfter is the time after which the caller should try again; 0 means never.
	RetryAfter time.Duration
	// StartTimeout is set for Run: no attempt may be sent later than this after Claim has
	// returned, because other entries may then ask the targets to refuse it. The holder
	// checks this with a Lease before each attempt.
	StartTimeout time.Duration
}

// Claimer decides which request runs for an idempotency key.
type Claimer interface {
	// Claim decides about one request. It returns once the log has been read up to the
	// claim's own record, or earlier if what was read suffices. If ctx ends first, it
	// decides by what has been read so far: Unavailable if no other request is known to
	// hold the key, and the claim then has no effect; else Replay, InProgress or
	// Unresolved. The error is not nil only if the claim itself is invalid.
	Claim(ctx context.Context, claim contract.Claim) (Decision, error)
	// Resolve records how the request ended. It must be called once for each Run. It
	// returns once the outcome is in the log. If it returns an error, the outcome is
	// retained and appended later, as long as the process lives.
	Resolve(ctx context.Context, claim contract.Claim, result Result) error
}

// ProbeState is the combined knowledge of all targets of a service about a request.
type ProbeState uint8

// The probe states.
const (
	// ProbeUnknown means that at least one target cannot tell whether the request ran. It
	// is the zero value.
	ProbeUnknown ProbeState = iota
	// ProbeNeverRan means that every target to which the request may have been sent holds
	// a tombstone for it. These are all targets that the prober has seen in the service
	// since the request claimed its key, including those that are leaving or gone. A
	// prober that has not observed the service for that long returns ProbeUnknown.
	ProbeNeverRan
	// ProbeRunning means that a target is still processing the request.
	ProbeRunning
	// ProbeDone means that a target completed the request and returned its answer.
	ProbeDone
)

// String returns the state in lower case.
func (s ProbeState) String() string {
	names := [...]string{"unknown", "never ran", "running", "done"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// ProbeResult is the result of a probe.
type ProbeResult struct {
	State ProbeState
	// Result is set for ProbeDone.
	Result *Result
}

// Prober asks every target of a service about a request, with a contract.Query whose N is
// 0 and whose Tombstone is set, so that targets that have not started the request refuse
// it from then on. age is how long ago the request claimed its key: a target that started
// later cannot tell whether the request ran.
type Prober interface {
	Probe(ctx context.Context, service contract.ServiceName, request contract.RequestID, age time.Duration) (ProbeResult, error)
}
