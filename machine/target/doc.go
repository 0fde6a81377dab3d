// Package target is the process beside one back end: it serves the attempts
// that entry hosts send over links, and is the only way to that back end.
//
// The package holds the I/O alone. Package gate decides what may run and when,
// package coldstart how much at once; package answers keeps what came of it and
// package backend speaks to the back end. One mutex serializes all steps of the
// gate and all access to its answers.
//
// # Streams
//
// An entry host opens a stream with Start and reads Refuse, or Accept, Chunk
// frames from 0 and End. A copy of an attempt that is known here gets Status
// instead. A stream that opens with Query gets Status and, if it asks for a
// resend of an attempt that runs or whose answer is kept, Chunk frames and End.
// Cancel may open a stream or follow on it. A message of another kind, or bytes
// that are no message, end the stream and are counted.
//
// # Planned stop
//
// When the context of Run ends, the process says on its links that it is
// leaving, refuses new work, lets running work finish, and after a part of the
// grace ends the streams that another target can resume. It returns when
// nothing runs or when the grace is over.
package target
