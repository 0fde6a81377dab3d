// Package activation decides when a target stages a version to its engine and orders
// the engine to activate it. It is a state machine without I/O: Step applies one event
// at a time since an arbitrary start and returns effects; Next returns when to call
// Step with a Tick.
//
// # Sequence
//
// A desired version passes through the phases held, staged, fenced, turn, drained,
// ordered, confirmed. Each phase begins only after the previous one:
//
//   - Staging begins when every chunk is held and verified.
//   - The fencing number is the offset of the target's own record in the host's fence
//     stream. The record names the orderer's incarnation and the length of its lease.
//   - The roll-out grants the turn. Draining closes the gate to new work and waits
//     until none runs.
//   - The order is sent only within the own lease.
//   - The version counts as active when a report that the engine made after the order
//     names it, and not before.
//
// # Two orderers
//
// After appending its record the orderer reads the records before it. If one of them
// has a higher incarnation, the orderer belongs to a former process and stands down
// for good. An engine that checks fencing numbers refuses the former orderer itself.
// For an engine that does not, or of which that is not known, the orderer waits until
// the lease of the former holder has surely expired: its length plus the longest time
// from sending an order to its effect, extended by a bound on clock drift. The wait is
// counted from the former record, whose age is taken from the log's clock, or, if that
// is not known, from the own append. The holder counts its own lease from before its
// append and checks it just before each order, and each order carries the time after
// which it must not be sent.
//
// # Failures
//
// An order without a reply is resolved by the engine's report: a report made after the
// order's timeout shows whether it took effect. An engine that does not know the
// version gets it staged again. When the log is down, no order is sent and the active
// version continues to serve. A new boot of the engine invalidates what was staged,
// ordered and known of it.
package activation
