// Package attempts decides what follows an attempt that did not bring a complete, successful
// answer: another attempt or a final answer to the caller, and what that answer may promise
// about whether the request has run.
//
// The package has no I/O, no clock and no state.
package attempts

import "time"

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Completed attempts brought a complete answer.
	Completed Outcome = iota
	// NotSent attempts never left the entry.
	NotSent
	// NotRun attempts were refused by the target and are certain never to run.
	NotRun
	// Failed attempts were answered by the target with an error of its own.
	Failed
	// Lost attempts brought no complete, usable answer; they may have run or may still be
	// running.
	Lost
)

// State is the state of a request when an attempt has ended.
type State struct {
	// Repeatable reports whether the request may run more than once.
	Repeatable bool
	// MayHaveRun reports whether any attempt of the request may have run.
	MayHaveRun bool
	// AnswerBegun reports whether a part of the answer has been sent to the caller.
	AnswerBegun bool
	// Sent counts the attempts that were sent to a target, Unsent those that never left
	// the entry. MaxAttempts bounds Sent.
	Sent, Unsent, MaxAttempts int
	// TimeLeft is the time until the deadline.
	TimeLeft time.Duration
	// Stopping reports whether the entry stops and ends the request before its deadline.
	Stopping bool
}

// Verdict is what follows an attempt.
type Verdict uint8

const (
	// Retry means another attempt, which costs one unit of the retry budget.
	Retry Verdict = iota
	// Reroute means another attempt that costs no retry budget, since nothing was sent.
	Reroute
	// Forward means that the target's own answer is sent to the caller.
	Forward
	// Refuse means an answer which promises that the request has not run.
	Refuse
	// Fail means an answer that leaves open whether the request has run.
	Fail
	// Expire means an answer at the deadline that leaves open whether the request has run.
	Expire
	// Abort means that an answer which has begun is cut off, so that the caller does not
	// take it for complete.
	Abort
)

const (
	// minTimeLeft is the time before the deadline at and below which another attempt could
	// not succeed.
	minTimeLeft = 30 * time.Millisecond
	// maxUnsent bounds the attempts of a request that never left the entry.
	maxUnsent = 4
)

// Decide returns what follows an attempt whose outcome is not Completed.
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

// Limit is the rule that forbids another attempt.
type Limit string

const (
	// NoLimit means that another attempt is allowed.
	NoLimit Limit = ""
	// LimitTime means that too little time is left before the deadline.
	LimitTime Limit = "time"
	// LimitStop means that the entry stops.
	LimitStop Limit = "stop"
	// LimitAttempts means that the route allows no more attempts.
	LimitAttempts Limit = "attempts"
	// LimitUnsent means that too many attempts have failed to leave the entry.
	LimitUnsent Limit = "unsent"
	// LimitNotRepeatable means that the request may run only once and may have run.
	LimitNotRepeatable Limit = "once"
	// LimitBudget means that the retry budget is used up. The caller of this package sets
	// it; LimitFor does not know the budget.
	LimitBudget Limit = "retry_budget"
	// LimitCrash means that the attempt ended with the crash of its target, and that another
	// one might crash the next. The caller of this package sets it.
	LimitCrash Limit = "crash"
)

// LimitFor returns the rule that forbids another attempt after one that ended with o, or
// NoLimit. It does not take the retry budget into account.
func LimitFor(o Outcome, s State) Limit {
	switch {
	case s.TimeLeft <= minTimeLeft:
		return LimitTime
	case s.Stopping:
		return LimitStop
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

// FinalVerdict returns which answer ends a request that gets no other attempt.
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
