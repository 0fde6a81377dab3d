// Package ledger replays the claims stream of the platform's log. It determines which
// request holds each idempotency key, and how that request ended.
//
// A Ledger is a deterministic function of the records applied to it, in the order of
// their offsets and without gaps. All replicas that have applied the same records agree
// on the holder of each key:
//
//   - The first claim of a free key, by offset, holds the key.
//   - A takeover replaces the holder that it names, unless that holder is done. Of
//     several takeovers that name the same holder, the first by offset wins, because the
//     holder that the others name is no longer the holder.
//   - Only the holder's outcome counts. "Not run" frees the key, "done" is final, and
//     "unknown" leaves the key held.
//   - A batch has no effect if its sequence number is not higher than all earlier ones of
//     its writer.
//   - A key expires when the log's clock is more than the window past the last claim or
//     takeover of it, by any request.
//
// A replica may start where earlier records are lost. It agrees with the other replicas
// on which keys are free as soon as its records span the window; until then
// IsHistoryIncomplete returns true. A holder from that time is unconfirmed: an earlier
// request may be the true holder. It stays unconfirmed until an outcome "done" names the
// true holder, or until the key expires. All replicas expire a key at the same record,
// because every claim restarts the key's window, including claims that do not win. The
// log's retention should be more than twice the window, so that unconfirmed holders are
// rare.
//
// Which request holds a key never depends on state that is local to a process, such as
// the memory of expired keys and the bodies dropped to bound memory.
package ledger
