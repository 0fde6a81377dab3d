// Package fairshare orders the requests of one service that are queued at an entry.
//
// # Order
//
// Teams share the service in proportion to their weights, measured in tokens (start-time
// fair queueing). Each team has a start tag in virtual time. The team with the lowest tag is
// served next, and its tag grows by the request's tokens divided by the team's weight. A
// team that was idle starts at the current virtual time, so it gains no credit for its idle
// time. Within a team, requests of higher priority are served first, then earlier arrivals.
//
// # Bound
//
// A queue holds at most its limit. An arrival at a full queue displaces the last request of
// the team whose backlog is largest relative to its weight. If that is the arrival's own team
// and no request of lower priority is queued there, the arrival itself is refused. A large
// team therefore fills the queue only at its own expense.
//
// # Headroom
//
// Fair order alone does not help a small team while long-running requests occupy all the
// capacity of the targets. Usage therefore determines which teams must leave capacity free:
// teams that received more than their share lately and, to a lesser extent, a team that is
// the only one.
//
// The package has no clock and no goroutines. Queue and Usage are not safe for concurrent
// use.
package fairshare
