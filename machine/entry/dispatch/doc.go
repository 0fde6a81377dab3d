// Package dispatch is the state machine of an entry: it takes requests in, lets
// them wait in fair order, sends attempts to targets, follows their frames,
// resolves what a broken link left open, retries what may be retried, and gives
// each request one final answer.
//
// # Contract
//
// Step takes one event at a time with the present time and appends the effects
// that the user must carry out, in order. Wake tells when to call Step with
// Tick at the latest. The machine has no clock, no goroutine and no I/O; all
// its chance comes from the random source given to New. Time that goes
// backwards counts as standing still. A Machine is not safe for concurrent use.
//
// # Requests
//
//	claiming -> queued -> active -> finished
//
// A keyed request starts in claiming and waits for Claimed. A queued request
// waits for room at a target. An active one has one current attempt. Every
// request ends with exactly one Finish, at its deadline at the latest; one that
// is given up on ends at once.
//
// # Attempts
//
//	sent -> running -> ended
//	  \-> asking -> running | ended
//
// One attempt of a request is current at a time. If its stream breaks, or
// nothing is heard of it in time, the machine asks the target with a Query that
// sets a tombstone and has the answer resent, over a new connection if the
// first question gets no reply. The request goes on from what the target
// answers.
//
// # Outcomes
//
// Finish says OutcomeNotRun only if each attempt sent was refused, was never
// written, or is known from a Status to have a tombstone. It says OutcomeDone
// only after an End whose totals match the frames received. All else is
// OutcomeUnknown. A second attempt is sent only after the first is known not to
// have run, if the request is idempotent, or if a target handed a stream over
// with ReasonTargetLeaving.
//
// # Frames
//
// Messages arrive by exchange, which is one stream of one attempt. A message of
// an exchange that was given up, of another attempt, or with a sequence number
// already seen is counted and dropped; a gap in the sequence makes the machine
// ask for the missing frames.
package dispatch
