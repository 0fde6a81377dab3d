// Package agent runs the state machines for weights inside a target process: it turns
// settings, timers and messages of peers, the origin and the engine into events, and
// carries out the effects as calls.
//
// SetDesiredVersions sets the versions that the settings ask for. The swarm downloads
// their chunks from peers and the origin, and each verified chunk is staged to the
// engine. When a version is complete, the activation obtains a fencing number from the
// log, waits for the roll-out's turn, drains the gate, orders the engine and calls
// OnActive when the engine's own report confirms the version.
//
// One goroutine, that of Run, owns the state machines. Calls run in other goroutines
// and post their results to it. ServeHave and ServeChunk answer the peers.
//
// All methods of Agent are safe for concurrent use.
package agent
