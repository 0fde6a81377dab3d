package weights

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// slackDivisor bounds the unused capacity of a stored chunk to 1/slackDivisor of its
// length. A chunk with more unused capacity is copied.
const slackDivisor = 16

// ChunkStore holds the chunks of versions in memory. Every chunk in the store has been
// verified. It is safe for concurrent use.
type ChunkStore struct {
	mu       sync.RWMutex
	versions map[contract.Digest]*storedVersion
	bytes    int64
}

type storedVersion struct {
	manifest  *Manifest
	encoded   []byte
	chunks    [][]byte
	heldCount int
}

// NewChunkStore returns an empty store.
func NewChunkStore() *ChunkStore {
	return &ChunkStore{versions: make(map[contract.Digest]*storedVersion)}
}

// AddVersion decodes and stores the manifest of a version. It returns the stored manifest
// if the version is already there. It fails with the errors of DecodeManifest.
func (s *ChunkStore) AddVersion(d contract.Digest, encoded []byte) (*Manifest, error) {
	m, err := DecodeManifest(encoded, d)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.versions[d]; ok {
		return v.manifest, nil
	}
	s.versions[d] = &storedVersion{manifest: m, encoded: encoded, chunks: make([][]byte, m.Chunks())}
	s.bytes += int64(len(encoded))
	return m, nil
}

// Manifest returns the manifest of a version and its encoding, or nil if it is not held.
func (s *ChunkStore) Manifest(d contract.Digest) (*Manifest, []byte) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	if !ok {
		return nil, nil
	}
	return v.manifest, v.encoded
}

// Put verifies and stores chunk i; storing a chunk again has no effect. It fails with
// ErrUnknownVersion or the errors of Manifest.Verify.
func (s *ChunkStore) Put(d contract.Digest, i int, data []byte) error {
	m, _ := s.Manifest(d)
	if m == nil {
		return errors.Wrapf(ErrUnknownVersion, "%s", d.Short())
	}
	if err := m.Verify(i, data); err != nil {
		return err
	}
	if cap(data) > len(data)+len(data)/slackDivisor {
		data = bytes.Clone(data)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.versions[d]
	if !ok {
		return errors.Wrapf(ErrUnknownVersion, "%s", d.Short())
	}
	if v.chunks[i] == nil {
		v.chunks[i] = data
		v.heldCount++
		s.bytes += int64(len(data))
	}
	return nil
}

// Get returns chunk i, or nil if it is not held. The caller must not change the
// data.
func (s *ChunkStore) Get(d contract.Digest, i int) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	if !ok || i < 0 || i >= len(v.chunks) {
		return nil
	}
	return v.chunks[i]
}

// Complete reports whether all chunks of a version are held.
func (s *ChunkStore) Complete(d contract.Digest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	return ok && v.heldCount == len(v.chunks)
}

// Drop removes a version and its chunks.
func (s *ChunkStore) Drop(d contract.Digest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.versions[d]
	if !ok {
		return
	}
	s.bytes -= int64(len(v.encoded))
	for _, c := range v.chunks {
		s.bytes -= int64(len(c))
	}
	delete(s.versions, d)
}

// Bytes returns the total size of the manifests and chunks held.
func (s *ChunkStore) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.bytes
}
