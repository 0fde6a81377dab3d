package claims

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Verdict is what a caller of Claim must do.
type Verdict uint8

// The verdicts.
const (
	// Unavailable means that the log did not take the claim: nothing ran for
	// this request and nothing will. It is the zero value.
	Unavailable Verdict = iota
	// Run means that this request holds the key and must run, then Resolve.
	Run
	// Replay means that the key's request is done: Decision.Result is its answer.
	Replay
	// InProgress means that another request holds the key and may still run.
	InProgress
	// Conflict means that the key was used with another body.
	Conflict
	// Unresolved means that the key's request may have run: its outcome is unknown.
	Unresolved
	// Expired means that the key is older than the log's retention.
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

// Reason returns the refusal that goes with the verdict; it is empty for Run
// and Replay.
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

// Decision answers a Claim.
type Decision struct {
	Verdict Verdict
	// Winner is the request that holds the key; empty if that is not known.
	Holder contract.RequestID
	// Result is set for Replay.
	Result *Result
	// RetryAfter is when a later try makes sense; 0 means never.
	RetryAfter time.Duration
	// StartWithin is set for Run: no attempt may be sent later than this after
	// Claim returned, because others may then ask the targets to refuse it.
	// The holder checks it before each attempt, with Lease.
	StartTimeout time.Duration
}

// Claimer decides who runs a key.
type Claimer interface {
	// Claim decides for one request. It returns after the log has been read up
	// to the claim's own record, or when ctx ends; ctx's end before a decision
	// gives Unavailable if the claim surely has no effect, else Unresolved. The
	// error is not nil only if the claim itself is not valid.
	Claim(ctx context.Context, claim contract.Claim) (Decision, error)
	// Resolve records how the request ended. It must be called once for each
	// Run. It returns when the outcome is in the log; on an error the outcome is
	// held and appended later, as long as the process lives.
	Resolve(ctx context.Context, claim contract.Claim, result Result) error
}

// ProbeState is what all targets of a service together know of a request.
type ProbeState uint8

// The probe states.
const (
	// ProbeUnknown means that at least one target could not vouch. It is the zero value.
	ProbeUnknown ProbeState = iota
	// ProbeNeverRan means that every target which may have been sent the request
	// holds a tombstone for it: each one that the prober has seen in the service
	// since before the request's age, also those that are leaving or gone. A
	// prober that has not watched the service for that long cannot tell.
	ProbeNeverRan
	// ProbeRunning means that a target still works on the request.
	ProbeRunning
	// ProbeDone means that a target finished the request and gave its answer.
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

// ProbeResult answers a Probe.
type ProbeResult struct {
	State ProbeState
	// Result is set for ProbeDone.
	Result *Result
}

// Prober asks every target of a service what became of a request, with a
// contract.Query whose N is 0 and whose Tombstone is set, so that targets where
// it has not started refuse it from then on. Age is how long ago the request
// claimed its key: a target that started later than that cannot vouch.
type Prober interface {
	Probe(ctx context.Context, service contract.ServiceName, request contract.RequestID, age time.Duration) (ProbeResult, error)
}
