// Package contention orders the requests of a ranked service that wait at an entry for room at a
// target, and refuses those that cannot be served in time. A service is ranked if its requests have
// different priorities.
//
// # Order
//
// Requests that were sent before and failed come first, since their callers have waited longest and
// may have the beginning of an answer. Then come requests of ranks and teams that get less than
// their minimum share, then those that can be in time: by rank, then by what their teams were served
// recently, then by arrival. Late requests, those of callers that were refused before, come last,
// but get at least one of lateDivisor starts while any wait. If they came before requests of less
// urgent ranks that can be in time, these would be late for seconds after a burst.
//
// A late request, and under overload one of the least urgent rank, leaves some of the entry's slots
// free if these become free so rarely that a more urgent one would miss its objective.
//
// # Admission
//
// The start of a request is predicted from its place in the order, the rate at which slots become
// free for this entry, and the rate at which more urgent requests arrive. A request waits only if it
// is predicted to start in time; others are refused at once. A more urgent one displaces those that
// can then no longer start in time.
//
// The package does no I/O and does not read the clock. A Queue is not safe for concurrent use.
package contention
