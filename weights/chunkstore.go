package weights

import (
	"bytes"
	"sync"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

// slackShare bounds the unused capacity of a chunk that is kept, as a part of
// its length.
const slackShare = 16

// ChunkStore keeps the verified chunks of versions in memory. It is safe for
// concurrent use. A chunk that is in the store has been verified.
type ChunkStore struct {
	mu       sync.RWMutex
	versions map[contract.Digest]*storedVersion
	bytes    int64
}

type storedVersion struct {
	manifest *Manifest
	encoded  []byte
	chunks   [][]byte
	held     int
}

// NewChunkStore returns an empty store.
func NewChunkStore() *ChunkStore {
	return &ChunkStore{versions: make(map[contract.Digest]*storedVersion)}
}

// AddVersion decodes and keeps a manifest. It fails as DecodeManifest does.
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

// Manifest returns a version's manifest and its encoding, or nil.
func (s *ChunkStore) Manifest(d contract.Digest) (*Manifest, []byte) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	if !ok {
		return nil, nil
	}
	return v.manifest, v.encoded
}

// Put verifies and keeps chunk i. It fails with ErrUnknownVersion or as
// Manifest.Verify does; storing a chunk again is harmless.
func (s *ChunkStore) Put(d contract.Digest, i int, data []byte) error {
	m, _ := s.Manifest(d)
	if m == nil {
		return errors.Wrapf(ErrUnknownVersion, "%s", d.Short())
	}
	if err := m.Verify(i, data); err != nil {
		return err
	}
	if cap(data) > len(data)+len(data)/slackShare {
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
		v.held++
		s.bytes += int64(len(data))
	}
	return nil
}

// Get returns chunk i, or nil if it is not held. The data must not be changed.
func (s *ChunkStore) Get(d contract.Digest, i int) []byte {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	if !ok || i < 0 || i >= len(v.chunks) {
		return nil
	}
	return v.chunks[i]
}

// Whole reports whether every chunk of a version is held.
func (s *ChunkStore) Complete(d contract.Digest) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	v, ok := s.versions[d]
	return ok && v.held == len(v.chunks)
}

// Drop forgets a version.
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

// Bytes returns the size of what is held.
func (s *ChunkStore) Bytes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.bytes
}
