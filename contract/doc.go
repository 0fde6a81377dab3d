// Package contract holds the values that every part of mimosastand agrees on:
// identifiers, outcomes, reasons and the messages that its processes exchange.
//
// The package contains no I/O and no decisions. All other packages may import
// it; it imports none of them.
//
// # Outcomes
//
// A request ends in one of three outcomes. OutcomeDone means that the back end
// ran the request and its whole answer is known. OutcomeNotRun means that no
// attempt started and that none ever will: nothing was sent, or the target
// recorded a tombstone for each attempt that was. OutcomeUnknown is everything
// else and is the zero value, so that an outcome which nobody set never claims
// too much.
//
// # Time
//
// Deadlines travel as the remaining duration and never as wall-clock time,
// because the clocks of two machines need not agree. The receiver subtracts
// from its own clock.
//
// # Compatibility
//
// Messages are CBOR maps with integer keys. A key is never reused; a receiver
// ignores keys that it does not know.
package contract
