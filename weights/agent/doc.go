// Package agent runs the weights state machines inside a target process: it
// turns settings, timers, peers, the origin and the engine into events, and
// their effects into calls.
//
// SetDesiredVersions sets the versions that the settings ask for. The swarm draws their
// chunks from peers and the origin, and each verified chunk is staged to the
// engine. When a version is whole, the activation takes a fencing number from
// the log, waits for the roll-out's turn, drains the gate, orders the engine and
// tells OnActive when the engine's own report confirms the version.
//
// One goroutine, that of Run, owns the state machines. Calls run beside it and
// post their results. ServeHave and ServeChunk answer the peers.
//
// All methods of Agent are safe for concurrent use.
package agent
