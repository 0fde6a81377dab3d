// Package weights holds the values that describe model weights: the manifest of
// a version, its chunks, and the store that keeps verified chunks in memory.
//
// A version is named by the digest of its encoded manifest. The manifest lists
// the digest and, through the sizes, the exact length of each chunk, so that a
// chunk can be verified alone and a version is whole exactly when all its
// chunks are verified. The encoding is deterministic CBOR: one version has one
// encoding and so one name.
//
// The package makes no decisions and opens no connections. Distribution is in
// weights/swarm, activation in weights/activation, roll-out in weights/rollout
// and their wiring into a process in weights/agent.
package weights
