// Package agent runs the weights state machines inside a target process: it
// turns settings, timers, peers, the origin and the engine into events, and
// their effects into calls.
//
// Want names the versions that the settings ask for. The agent draws manifests
// and chunks, stages each verified chunk to the engine, takes a fencing number
// from the log, orders the activation and calls OnActive when the engine's own
// report confirms it. ServeHave and ServeChunkRequest answer the peers.
//
// All methods of Agent are safe for concurrent use.
package agent
