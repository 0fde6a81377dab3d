// Package answers keeps what a target knows about attempts: the answers of
// those that started and tombstones for those that never will.
//
// The store is bounded in time and bytes, and stays truthful at its bounds:
//
//   - An answer over its time or over the byte limit is dropped and its attempt
//     becomes contract.AttemptForgotten. That it started is remembered in a few
//     bytes, so that a late copy of the attempt still cannot start.
//   - A started attempt without room to be remembered is not admitted: Room
//     reports false and the gate refuses the work.
//   - A tombstone without room goes into a filter of fixed size. The filter never
//     loses a tombstone within its time; what it may do is refuse an attempt that
//     has no tombstone, which is a true refusal. Refusals and the tombstones that
//     senders ask for have a filter each, so that a burst of refusals does not
//     fill the one whose tombstones last long.
//
// The store has no clock, goroutine or lock. Its user passes the time and
// serializes the calls.
package answers
