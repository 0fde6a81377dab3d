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
//   - A key is forgotten when the log's clock has passed its claim by the
//     window. The log must keep records for longer than the window.
//
// What depends on this process alone never decides who holds a key: expired
// keys that are still remembered, and bodies dropped to bound memory.
package ledger
