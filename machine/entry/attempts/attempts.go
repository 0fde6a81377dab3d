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
	Done Outcome = iota
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
	Ran bool
	// Begun tells that a part of the answer has gone to the caller.
	Begun bool
	// Sent counts the attempts that went to a target, Unsent those that did not;
	// MaxAttempts bounds the first.
	Sent, Unsent, MaxAttempts int
	// Left is the time until the deadline.
	Left time.Duration
}

// Verdict is what follows.
type Verdict uint8

const (
	// Again means another attempt, which needs a unit of the retry budget.
	Again Verdict = iota
	// Elsewhere means another attempt that costs none, since nothing was sent.
	Elsewhere
	// PassOn means that the target's own answer goes to the caller.
	PassOn
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
func After(o Outcome, s State) Verdict {
	switch {
	case o == NotSent && s.Left > minLeft && s.Unsent < maxUnsent:
		return Elsewhere
	case s.mayRepeat(o):
		return Again
	default:
		return Final(o, s)
	}
}

// mayRepeat reports whether the request may be sent again after an attempt.
func (s State) mayRepeat(o Outcome) bool {
	if s.Left <= minLeft || s.Sent >= s.MaxAttempts || o == NotSent {
		return false
	}
	return o == NotRun || s.Repeatable
}

// Final decides about the answer when there will be no other attempt.
func Final(o Outcome, s State) Verdict {
	switch {
	case s.Begun:
		return Abort
	case o == Failed:
		return PassOn
	case !s.Ran:
		return Refuse
	case s.Left <= 0:
		return Expire
	default:
		return Fail
	}
}
