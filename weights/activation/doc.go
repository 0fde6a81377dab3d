// Package activation decides when a target stages a version to its engine and
// orders the engine to activate it. It is a state machine without I/O: Step
// takes one event and the time since an arbitrary start, and returns effects;
// Next tells when to call Step with a Tick.
//
// # Sequence
//
// A wanted version passes through the phases held, staged, fenced, turn,
// drained, ordered, confirmed. Each one begins only after the one before it:
//
//   - Staging begins when every chunk is held and verified.
//   - The fencing number is the offset of the target's own record in the
//     machine's fence stream. The record names the orderer's incarnation and the
//     length of its lease.
//   - The turn comes from the roll-out. Draining closes the gate to new work and
//     waits until none runs.
//   - The order goes out only within the own lease.
//   - The version counts as active when a report that the engine made after the
//     order names it, and not before.
//
// # Two orderers
//
// After its append the orderer reads the records before its own. One with a
// higher incarnation means that it is a former process: it stands down for good.
// An engine that checks fencing numbers refuses the former orderer by itself.
// For an engine that does not, or of which that is not known, the orderer waits
// until the lease of the former holder has surely lapsed: its length, stretched
// by a bound on clock drift, and the longest life of an order, all counted from
// the former record by the log's clock or, failing that, from the own append.
// The holder counts its own lease from before its append, checks it just before
// each order, and each order carries the time after which it must not be sent.
//
// # Failures
//
// An order without a reply is resolved by the engine's report: a report made
// after the order's life ended tells whether it took effect. An engine that does
// not know the version is staged again. When the log is down, no order goes out
// and the active version goes on serving. A new boot of the engine voids what
// was staged, ordered and known of it.
package activation
