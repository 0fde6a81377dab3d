// Package claims decides which request runs for a caller's Idempotency-Key, so that a
// call runs at most once across all entry hosts, also when entry hosts fail.
//
// Claims, takeovers and outcomes are records of one stream of the platform's log. The
// first claim of a key by offset holds the key. Package ledger replays the stream,
// package batcher combines many records into one append, Machine decides about each
// request, and Service connects them to the log.
//
// # Machine
//
// The inputs of a Machine are the methods Claim, Resolve, GiveUp, ApplyRecords,
// OnAppendResult, OnProbeResult, Tick, Restart and SetWriterCount. Its outputs are the
// effects that TakeEffects returns and the time of the next Tick, which NextWake returns.
// A Machine does no I/O, starts no goroutines and does not read the clock: the inputs are
// given the local time.
//
//   - A request is decided Run only after its own claim has been read back from the log
//     as the holder of the key, and only while some of its start timeout is left.
//   - A request that is not decided Run never runs. If its claim gets into the log
//     nevertheless, an outcome "not run" releases the key.
//   - A holder without an outcome is not probed before ProbeDelay has passed. The targets
//     are then asked about it, and a takeover goes into the log only if every target
//     refuses the holder's request from then on. StartTimeout is shorter than ProbeDelay
//     and starts before the claim is sent. Unless its clock stops, a holder therefore
//     starts no more attempts once other entries ask the targets.
//   - If a target cannot tell whether the request ran, the key stays held and the verdict
//     is Unresolved.
//   - While the log is unavailable, decisions are based on what was read before. Replay
//     and Conflict are final. Any other decision refuses a request that did not run.
//
// An outcome "not run" refers to the request that receives it. Only Replay, InProgress
// and Unresolved report on an earlier request with the same key.
package claims
