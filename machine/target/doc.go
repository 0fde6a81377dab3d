// Package target implements the process that runs beside one back end. It serves the
// attempts that entry hosts send over links, and is the only way to that back end.
//
// The package itself only performs I/O. Package gate decides which attempts may run and
// when, and package coldstart how many at once. Package answers stores the results, and
// package backend implements the clients of the back end. One mutex serializes all
// steps of the gate and all access to its answers.
//
// # Streams
//
// An entry host opens a stream with Start and receives either Refuse, or Accept, Chunk
// frames from 0 and End. If the attempt is known here already, it receives Status instead.
// On a stream that opens with Query it receives Status and, if it requests a resend of an
// attempt that runs or whose answer is stored, Chunk frames and End. Cancel may open a
// stream, or follow Start or Query on it. A stream that opens with another kind of message,
// or with bytes that are not a message, is reset and counted. The requests of other
// processes for settings and weights arrive on streams too.
//
// # Planned stop
//
// When the context of Run ends, the process reports on its links that it is leaving,
// refuses new work and lets running work finish. After a part of the shutdown grace it
// ends the streams that another target can resume. It waits until no attempt runs, and up
// to resendGrace for answers to be delivered, but no longer than the shutdown grace in
// total. Run returns one heartbeat interval later.
package target
