// Package spread decides how one process follows the settings: when to read the
// log, when to ask a peer, when to write a checkpoint and whether to serve.
//
// # The machine
//
// Machine is a state machine without I/O. Events come in with the time; effects
// go out: read the log, pull from a peer, append a checkpoint, publish a view.
//
// # Contract
//
//   - The applied offset never falls. Records come from the log or from a peer;
//     both lead to the same state, because replay is one rule for all.
//   - In each zone a few processes, named by rendezvous hashing over the host
//     list, tail the log by long poll. The others hear of new offsets on
//     heartbeats and requests and pull the records from a peer. A process that
//     hears no peer, or that gets no answer to its pulls, reads the log itself.
//   - The entry hosts of a zone that do not tail take turns at auditing the log,
//     so that the zone learns within seconds also when all that tail it have lost
//     it without knowing.
//   - Ready is false until the process has caught up after its start, and again
//     after it was paused: with the log, or, while the log does not answer, with
//     EnoughPeers answers of ready peers that know nothing newer. Answers of
//     peers that are not ready do not count. A ready process that has known of a
//     newer offset for longer than BehindLimit without getting the records is
//     not ready either.
//   - The log is the authority on the newest offset: a claim beyond it is
//     dropped at the next answer of the log.
//   - When the log no longer holds the records that a process lacks, it takes a
//     peer's checkpoint; if no peer answers, the log's own checkpoint that most
//     later ones confirm.
//   - A tailing process appends a checkpoint CheckpointEvery after the last one,
//     or after CheckpointRecords changes. Two writers are harmless.
package spread
