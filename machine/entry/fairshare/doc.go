// Package fairshare orders the requests of one service that wait at an entry.
//
// # Order
//
// Teams share in proportion to their weights, counted in tokens (start-time
// fair queueing): each team has a tag in virtual time; the team with the
// lowest tag goes next and its tag grows by tokens divided by weight. A team
// that was idle starts at the present virtual time and so gains nothing from
// having waited. Inside a team a higher priority goes first, then the earlier
// arrival.
//
// # Bound
//
// A queue holds at most its limit. An arrival at a full queue displaces the
// last request of the team whose backlog is largest for its weight; if that is
// the arrival's own team and nothing of lower priority waits there, the arrival
// itself is refused. A large team therefore fills the queue only at its own cost.
//
// # Headroom
//
// Fair order alone does not help a small team while every place at the targets
// is taken by work that lasts. Usage therefore tells which teams must leave
// places free: those that were given more than their share lately, and to a
// small part those that are alone.
//
// The package has no clock and no goroutines. A Queue is not safe for
// concurrent use.
package fairshare
