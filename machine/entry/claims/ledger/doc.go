// Package ledger replays the claims stream of the platform's log: who holds
// each idempotency key, and how its request ended.
//
// # Contract
//
// A Ledger is a pure function of the records applied to it, in offset order
// and without gaps. All replicas that have applied the same records agree on
// the holder of each key:
//
//   - The first claim of a free key by offset holds it.
//   - A takeover replaces the holder that it names, unless that is done. The
//     first takeover by offset wins, because the next one names a former holder.
//   - An outcome counts only from the holder. "Not run" frees the key, "done"
//     is final, "unknown" keeps the key held.
//   - A batch whose sequence is not above the writer's former ones is void.
//   - A key is forgotten when the log's clock has passed the last claim of it,
//     by whomever, by the window.
//
// A replica that starts where records are lost agrees on which keys are free
// once its records span the window; until then IsShort reports true. A holder
// from that time is Doubtful: a request before it may hold the key in truth. It
// stays so until an outcome "done" names the true holder, or until the key is
// forgotten, which all replicas do at the same record, because every claim
// counts. The log should keep records for more than twice the window, so that
// doubt is rare.
//
// What depends on this process alone never decides who holds a key: expired
// keys that are still remembered, and bodies dropped to bound memory.
package ledger
