package weights

import "github.com/cockroachdb/errors"

var (
	// ErrManifest means that the bytes do not decode as a manifest, or that the sizes
	// and counts of a manifest are inconsistent or exceed the limits.
	ErrManifest = errors.New("weights: invalid manifest")
	// ErrManifestDigest means that a manifest does not have the requested digest.
	ErrManifestDigest = errors.New("weights: manifest digest mismatch")
	// ErrChunkIndex means that the manifest has no chunk of the given index.
	ErrChunkIndex = errors.New("weights: chunk index out of range")
	// ErrChunkSize means that a chunk does not have the length given by the manifest.
	ErrChunkSize = errors.New("weights: chunk size mismatch")
	// ErrChunkDigest means that a chunk does not have the hash given by the manifest.
	ErrChunkDigest = errors.New("weights: chunk digest mismatch")
	// ErrUnknownVersion means that the store does not hold the manifest of a version.
	ErrUnknownVersion = errors.New("weights: unknown version")
	// ErrPublish means that a version could not be published.
	ErrPublish = errors.New("weights: publishing failed")
)
