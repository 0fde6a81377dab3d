// Package durable defines the interfaces to durable storage outside the system's
// processes: an append-only log of named streams, and stores of immutable objects.
//
// Packages that hold the logic depend only on these types and errors. The daemons choose
// the implementation and with it the protocol; tests use fakes.
package durable

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

var (
	// ErrUnavailable means that the service did not accept the call; it had no effect.
	ErrUnavailable = errors.New("durable: service unavailable")
	// ErrUncertain means that no valid reply arrived; the call may have taken effect.
	ErrUncertain = errors.New("durable: no valid reply; the result is unknown")
	// ErrTrimmed means that the log no longer retains records after the given offset.
	ErrTrimmed = errors.New("durable: records are past retention")
	// ErrNotFound means that the store has no object of that name.
	ErrNotFound = errors.New("durable: not found")
	// ErrThrottled means that the service refused the call because of its rate limit.
	ErrThrottled = errors.New("durable: rate limit exceeded")
	// ErrProtocol means that the reply violates the protocol.
	ErrProtocol = errors.New("durable: malformed reply")
)

// Record is one record of a log stream.
type Record struct {
	Offset contract.Offset `json:"offset"`
	// Time is when the record was appended, by the clock of the log service.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Batch is a run of consecutive records.
type Batch struct {
	// Oldest is the lowest offset that the log retains; Newest is the highest offset
	// written, 0 if none.
	Oldest  contract.Offset `json:"oldest"`
	Newest  contract.Offset `json:"newest"`
	Records []Record        `json:"records"`
}

// CheckOffsets fails with ErrProtocol unless the offsets of the records are consecutive
// and start right after the given one.
func (b Batch) CheckOffsets(after contract.Offset) error {
	next := after + 1
	for _, r := range b.Records {
		if r.Offset != next {
			return errors.Wrapf(ErrProtocol, "record at offset %d, want offset %d", r.Offset, next)
		}
		next++
	}
	return nil
}

// Log is an append-only log of named streams.
type Log interface {
	// Append appends a record and returns its offset. It fails with ErrUnavailable,
	// ErrThrottled or ErrUncertain.
	Append(ctx context.Context, stream string, data []byte) (contract.Offset, error)
	// Read returns records after the given offset and waits for the first one for up to
	// wait; an empty batch is not an error. It fails with ErrTrimmed if records after
	// that offset are no longer retained, otherwise with ErrUnavailable or ErrProtocol.
	Read(ctx context.Context, stream string, after contract.Offset, wait time.Duration) (Batch, error)
}

// Store holds immutable objects by name. Both the rate-limited weight store and the
// origin implement it.
type Store interface {
	// Get returns a complete object. It fails with ErrNotFound, ErrThrottled,
	// ErrUnavailable or ErrProtocol.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores an object; storing the same object again has no effect.
	Put(ctx context.Context, name string, data []byte) error
}

// Prefixes of the names of objects in a Store.
const (
	// ManifestPrefix precedes the digest of a version's manifest.
	ManifestPrefix = "manifests/"
	// ChunkPrefix precedes the digest of a chunk.
	ChunkPrefix = "chunks/"
)
