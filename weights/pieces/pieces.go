// Package pieces holds the verified pieces of one version of a model's weights.
//
// The package has no I/O. A Set is safe for concurrent use.
package pieces

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"
)

var (
	// ErrDigestMismatch means that the data of a piece does not have the expected digest.
	ErrDigestMismatch = errors.New("pieces: digest mismatch")
	// ErrInvalidDigests means that a list cannot be that of the digests of a version.
	ErrInvalidDigests = errors.New("pieces: invalid list of digests")
	// ErrIndexOutOfRange means that the version has no piece of the given index.
	ErrIndexOutOfRange = errors.New("pieces: index out of range")
)

// Set holds the pieces of one version that have been verified so far.
type Set struct {
	mu      sync.Mutex
	digests [][]byte
	data    [][]byte
	count   int
	// added is closed and replaced when a piece is added.
	added chan struct{}
}

// NewSet returns an empty set of pieces with the given SHA-256 digests. It fails with ErrInvalidDigests
// if one is not the length of such a digest, or if their number is not pieceCount, the number of pieces
// that the model has; 0 if that is not known.
func NewSet(digests [][]byte, pieceCount int) (*Set, error) {
	if len(digests) == 0 || pieceCount > 0 && len(digests) != pieceCount {
		return nil, errors.Wrapf(ErrInvalidDigests, "%d digests for a model of %d pieces", len(digests), pieceCount)
	}
	for i, digest := range digests {
		if len(digest) != sha256.Size {
			return nil, errors.Wrapf(ErrInvalidDigests, "digest %d has %d bytes", i, len(digest))
		}
	}
	return &Set{digests: slices.Clone(digests), data: make([][]byte, len(digests)), added: make(chan struct{})}, nil
}

// Len returns the number of pieces of the version.
func (s *Set) Len() int { return len(s.data) }

// Digests returns the digests of all pieces; the caller must not change their bytes.
func (s *Set) Digests() [][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.digests)
}

// Verify checks that data is piece i. It fails with ErrIndexOutOfRange or
// ErrDigestMismatch.
func (s *Set) Verify(i int, data []byte) error { return verify(s.Digests(), i, data) }

// verify checks that data is piece i of those with the given digests.
func verify(digests [][]byte, i int, data []byte) error {
	if i < 0 || i >= len(digests) {
		return errors.Wrapf(ErrIndexOutOfRange, "piece %d of %d", i, len(digests))
	}
	if sum := sha256.Sum256(data); !bytes.Equal(sum[:], digests[i]) {
		return errors.Wrapf(ErrDigestMismatch, "piece %d", i)
	}
	return nil
}

// Correct replaces the digests of the pieces that are not held, and reports whether it did. It does not
// if a piece is held that has another digest in the list, or if the list is of another length: it cannot
// be one of the same version then.
func (s *Set) Correct(digests [][]byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(digests) != len(s.digests) {
		return false
	}
	for i, digest := range digests {
		if len(digest) != sha256.Size || s.data[i] != nil && !bytes.Equal(digest, s.digests[i]) {
			return false
		}
	}
	s.digests = slices.Clone(digests)
	return true
}

// AddFrom adds piece i, from a sender with its own list of digests. If that is the digest of the piece, and
// the one in the set is not, the set takes the list of the sender, as Correct does: a digest that no piece
// has matched may be wrong, and one that a piece has matched is not corrupt.
func (s *Set) AddFrom(senderDigests [][]byte, i int, data []byte) (bool, error) {
	isNew, err := s.Add(i, data)
	if errors.Is(err, ErrDigestMismatch) && verify(senderDigests, i, data) == nil && s.Correct(senderDigests) {
		return s.Add(i, data)
	}
	return isNew, err
}

// Add verifies and stores piece i. It reports whether the piece was not held before. It
// fails with the errors of Verify.
func (s *Set) Add(i int, data []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := verify(s.digests, i, data); err != nil {
		return false, err
	}
	if s.data[i] != nil {
		return false, nil
	}
	s.data[i] = data
	s.count++
	close(s.added)
	s.added = make(chan struct{})
	return true, nil
}

// Get returns piece i, or nil if it is not held.
func (s *Set) Get(i int) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.data[i]
}

// Count returns the number of pieces held.
func (s *Set) Count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// Missing returns the indexes of the pieces that are not held, in ascending order.
func (s *Set) Missing() []int {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]int, 0, len(s.data)-s.count)
	for i, data := range s.data {
		if data == nil {
			list = append(list, i)
		}
	}
	return list
}

// Bytes returns the total size of the pieces held.
func (s *Set) Bytes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, data := range s.data {
		n += len(data)
	}
	return n
}

// IsComplete reports whether all pieces are held.
func (s *Set) IsComplete() bool { return s.Count() == s.Len() }

// Added returns a channel that is closed when the next piece is added.
func (s *Set) Added() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.added
}
