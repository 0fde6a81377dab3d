// Package claims decides which request runs a caller's Idempotency-Key, so that
// the call runs at most once over all entry hosts and over their deaths.
//
// Claims, takeovers and outcomes are records of one stream of the platform's
// log; the first claim by offset holds the key. Package ledger replays the
// stream, package batcher packs many records into one append, Machine decides
// for each request, and Service joins them to the log.
//
// # Contract of Machine
//
// Inputs are the methods Claim, Resolve, GiveUp, Records, Appended, Probed and
// Tick, each with the local time; outputs are the effects that Ready returns
// and the next time for Tick that Wake returns. Machine has no clock, no
// goroutine and no I/O.
//
//   - Run is decided only after the request's own claim was read back at its
//     offset as the holder, and with the rest of its time to start.
//   - A request that is not decided Run never runs. Its claim, if it gets into
//     the log nevertheless, is released by an outcome "not run".
//   - A holder without an outcome is left alone for ProbeAfter. Then the targets
//     are asked, and only if every one of them refuses the request from then on
//     does a takeover go into the log. StartWithin is shorter than ProbeAfter
//     and runs from before the claim was sent, so that a holder whose clock runs
//     does not start any more when others ask.
//   - If a target cannot vouch, the key stays held: the verdict is Unresolved.
//   - Without the log, answers come from what was read before: Replay and
//     Conflict are final. All else is a refusal of a request that did not run.
//
// An outcome "not run" speaks of the request that it is given to. Whether an
// earlier request with the same key ran is told by Replay, InProgress and
// Unresolved alone.
package claims
