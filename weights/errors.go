package weights

import "github.com/cockroachdb/errors"

var (
	// ErrManifest marks bytes that are no manifest, or a manifest whose sizes
	// and counts disagree or exceed the limits.
	ErrManifest = errors.New("weights: bad manifest")
	// ErrManifestDigest marks a manifest whose digest is not the one asked for.
	ErrManifestDigest = errors.New("weights: manifest has another digest")
	// ErrChunkIndex marks a chunk number that the manifest does not have.
	ErrChunkIndex = errors.New("weights: no such chunk")
	// ErrChunkSize marks a chunk whose length is not the manifest's.
	ErrChunkSize = errors.New("weights: chunk of wrong size")
	// ErrChunkDigest marks a chunk whose hash is not the manifest's.
	ErrChunkDigest = errors.New("weights: chunk is corrupt")
	// ErrUnknownVersion marks a chunk of a version that the store does not hold.
	ErrUnknownVersion = errors.New("weights: unknown version")
	// ErrPublish marks a version that could not be published.
	ErrPublish = errors.New("weights: publish")
)
