// Package contract defines the types that all parts of mimosastand share:
// identifiers, outcomes, reasons and the messages that its processes exchange.
//
// The package performs no I/O and makes no decisions. All other packages may
// import it; it imports none of them.
//
// # Outcomes
//
// A request ends in one of three outcomes. OutcomeDone means that the back end
// ran the request and its complete answer is known. OutcomeNotRun means that no
// attempt started and that none ever will: nothing was sent, or the target
// recorded a tombstone for each attempt that was. OutcomeUnknown covers all other
// cases. It is the zero value, so that an outcome that was never set makes no
// claim about whether the request ran.
//
// # Time
//
// Messages carry a deadline as the remaining duration and never as wall-clock
// time, because the clocks of two hosts may differ. The receiver adds the
// duration to the time on its own clock.
//
// # Compatibility
//
// Messages are CBOR maps with integer keys. A key is never reused, and a receiver
// ignores unknown keys. TargetInFlight and AnnouncedVersion, which heartbeats
// carry in lists, are CBOR arrays instead: the order of their fields is the
// format.
package contract
