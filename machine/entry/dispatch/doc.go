// Package dispatch implements the state machine of an entry. It accepts requests, queues
// them in fair order, sends attempts to targets and follows the messages of the targets.
// If a stream breaks, it finds out from the target what became of the attempt. It retries
// what may be retried and gives every request exactly one final answer.
//
// # Contract
//
// Step processes one event at the present time and appends the effects that the user must
// carry out, in order. Wake returns the time by which Step must be called with Tick. The
// state machine has no clock, no goroutines and no I/O, and all its randomness comes from
// the source passed to New. If time goes backwards, the state machine continues with the
// latest time that it has seen. A StateMachine is not safe for concurrent use.
//
// # Requests
//
//	claiming -> queued -> active -> finished
//
// A keyed request starts in claiming and waits for ClaimDecided. A queued request waits
// for a target with room. An active request has one current attempt. Every request ends
// at its deadline at the latest, with exactly one Finish. If its caller disconnects, it
// ends at once. The exception is an active request that holds a key: it continues without
// its caller and ends without a Finish, since only its key remains to be resolved.
//
// # Attempts
//
//	sent -> running -> ended
//	  \-> querying -> running | ended
//
// At most one attempt of a request is current. If its stream breaks, or if the target
// stays silent for too long, the state machine sends a Query to the target. The Query
// sets a tombstone, which prevents an attempt that has not started from ever starting,
// and has the rest of the answer sent again. If the first Query gets no reply, the next
// ones use a new connection. How the request continues depends on the reply.
//
// # Outcomes
//
// Finish reports OutcomeNotRun only if every attempt that was sent was refused, was never
// written to the connection, ended with an End that says so, or has a tombstone according
// to a Status. It reports OutcomeDone only after an End whose totals match the frames
// received. In all other cases it reports OutcomeUnknown. If the decision on its key ends
// a request, Finish reports the outcome that the decision contains. Another attempt is
// sent only if the previous one is known not to have run, if the request is idempotent,
// or if a target handed the stream of a model over with ReasonTargetLeaving.
//
// # Frames
//
// Messages arrive by exchange, which is one stream of one attempt. The state machine
// counts and drops messages of exchanges that it has closed, messages about other
// attempts, and frames with a sequence number that it has already received. If the
// sequence has a gap, it queries the target for the missing frames.
package dispatch
