// Package answers stores what a target knows about attempts: the answers of attempts that
// started, and tombstones for attempts that did not start and never will.
//
// The store is bounded in time and memory, and what it reports stays true when a bound is
// reached:
//
//   - An answer whose retention is over or that exceeds the memory limit is dropped, and its
//     attempt becomes contract.AttemptAnswerDropped. The store still remembers in a few bytes
//     that the attempt started, so that a late copy of it cannot start.
//   - An attempt that the store has no memory to remember is not admitted: HasRoom returns
//     false, and the gate refuses the request.
//   - A tombstone beyond the bound is added to a Bloom filter of fixed size. The filter does
//     not lose a tombstone within its retention, but it may cause an attempt without a
//     tombstone to be refused. Such an attempt then never runs, as the refusal states.
//     Refusals and the tombstones that senders request have separate filters, so that a burst
//     of refusals does not fill the filter whose tombstones are retained for longer.
//
// The store has no clock, goroutine or lock. The caller passes the time and serializes
// the calls.
package answers
