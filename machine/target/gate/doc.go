// Package gate decides which attempts reach the back end of a target, and when.
// It is the only way to that back end.
//
// A Gate is a state machine without I/O. Step takes one event with the time and
// returns effects in the order in which they take place; NextWake tells when the
// gate next wants a Tick. The user of the package serializes the calls.
//
// # At most once
//
// Every attempt that passes has a record before its Run effect, and no attempt
// with a record or a tombstone runs. A Refuse effect is given only together with
// a tombstone, so that a late copy of the attempt is refused too. A copy of an
// attempt that is queued, running or done gets a Known effect with its state,
// never a refusal. An attempt of a request that is not idempotent is refused
// while another attempt of the request may have run here.
//
// A target vouches only for its own process: a query about an attempt that was
// first sent before the process could have heard it is answered with
// contract.AttemptUnheard, and so is one older than the time for which
// tombstones are kept. Only the answer to a query that asks for a tombstone says
// contract.AttemptNeverRan.
//
// # Pauses
//
// A process that was paused cannot know how long an attempt waited in its
// sockets, nor whether its settings still hold. A gap of Config.MaxGap between
// two steps counts as a pause; attempts that arrive within Config.PauseGrace
// after it are refused.
//
// # Order of checks
//
// An arriving attempt is checked for its form, for records and tombstones, for
// the target's state (leaving, settings, zone), for its deadline, for its
// weights, and for room. Deadline and weights are checked again when the
// attempt leaves the queue; the caller of the back end checks them a last time
// with Sendable. Weights are checked once more when the work ends.
//
// # Room
//
// Package coldstart gives the limit. The queue is bounded by that limit, by
// Config.MaxQueue and by Config.MaxQueueBytes, is ordered by priority and then
// by arrival, and takes no attempt that would wait beyond its deadline at the
// present drain rate. When the limit falls, the zone goes out or the target
// leaves, queued attempts are refused at once.
//
// A unit counts as running until the back end surely no longer works on it: an
// attempt that ended towards its caller may linger until Released or until its
// linger time is over.
package gate
