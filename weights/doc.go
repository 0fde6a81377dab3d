// Package weights defines the manifest of a version of a model's weights, splits and
// publishes versions, and stores verified chunks in memory.
//
// A version is identified by the digest of its encoded manifest. The manifest lists the
// digest of each chunk and, through the sizes, its exact length. Each chunk can therefore
// be verified on its own, and a version is complete exactly when all its chunks are
// verified. The encoding is deterministic CBOR, so a version has exactly one encoding and
// one digest.
//
// The package makes no decisions and opens no connections itself; Publish writes to the
// store that it is given. Distribution is in weights/swarm, activation in
// weights/activation, the roll-out in weights/rollout, and weights/agent connects them
// within a process.
package weights
