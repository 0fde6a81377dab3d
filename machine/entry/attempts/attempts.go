// Package attempts decides what follows an attempt: another one, or the final
// answer, and what that may promise.
//
// The package has no I/O, no clock and no state.
package attempts

import "time"

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Done attempts brought a whole answer.
	Completed Outcome = iota
	// NotSent attempts never left the entry.
	NotSent
	// NotRun attempts were refused by the target, which surely never runs them.
	NotRun
	// Failed attempts were answered by the target with a failure of its own.
	Failed
	// Lost attempts brought no whole answer, and may have run or still run.
	Lost
)

// State is what matters about a request when an attempt has ended.
type State struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// Ran tells that some attempt of the request may have run.
	MayHaveRun bool
	// Begun tells that a part of the answer has gone to the caller.
	AnswerBegun bool
	// Sent counts the attempts that went to a target, Unsent those that did not;
	// MaxAttempts bounds the first.
	Sent, Unsent, MaxAttempts int
	// Left is the time until the deadline.
	TimeLeft time.Duration
}

// Verdict is what follows.
type Verdict uint8

const (
	// Again means another attempt, which needs a unit of the retry budget.
	Retry Verdict = iota
	// Elsewhere means another attempt that costs none, since nothing was sent.
	Reroute
	// PassOn means that the target's own answer goes to the caller.
	Forward
	// Refuse means an answer that promises that the request has not run.
	Refuse
	// Fail means an answer that promises nothing.
	Fail
	// Expire means an answer at the deadline that promises nothing.
	Expire
	// Abort means that a begun answer is cut, so that it does not look whole.
	Abort
)

const (
	// minLeft is the time below which another attempt is in vain.
	minLeft = 30 * time.Millisecond
	// maxUnsent bounds the attempts that never left the entry.
	maxUnsent = 4
)

// After decides what follows an attempt that did not bring a whole answer.
func Decide(o Outcome, s State) Verdict {
	switch {
	case LimitFor(o, s) != NoLimit:
		return FinalVerdict(o, s)
	case o == NotSent:
		return Reroute
	default:
		return Retry
	}
}

// Limit is the rule by which no other attempt follows.
type Limit string

const (
	// NoLimit means that another attempt may follow.
	NoLimit Limit = ""
	// LimitTime means that too little time is left.
	LimitTime Limit = "time"
	// LimitAttempts means that the route allows no more attempts.
	LimitAttempts Limit = "attempts"
	// LimitUnsent means that too many attempts never left the entry.
	LimitUnsent Limit = "unsent"
	// LimitOnce means that the request may run only once and may have run.
	LimitNotRepeatable Limit = "once"
	// LimitBudget means that the retry budget is used up.
	LimitBudget Limit = "retry_budget"
)

// LimitAfter is the rule by which no other attempt follows one that ended so; the
// retry budget is not known here.
func LimitFor(o Outcome, s State) Limit {
	switch {
	case s.TimeLeft <= minLeft:
		return LimitTime
	case o == NotSent && s.Unsent >= maxUnsent:
		return LimitUnsent
	case o == NotSent:
		return NoLimit
	case s.Sent >= s.MaxAttempts:
		return LimitAttempts
	case o != NotRun && !s.Repeatable:
		return LimitNotRepeatable
	default:
		return NoLimit
	}
}

// Final decides about the answer when there will be no other attempt.
func FinalVerdict(o Outcome, s State) Verdict {
	switch {
	case s.AnswerBegun:
		return Abort
	case o == Failed:
		return Forward
	case !s.MayHaveRun:
		return Refuse
	case s.TimeLeft <= 0:
		return Expire
	default:
		return Fail
	}
}
