// Package durable is the product's view of what lasts outside its processes: an
// append-only log of named streams and stores of immutable objects.
//
// Modules that decide use its types and errors; who implements it, and over which
// protocol, is known to the daemons alone. Tests put fakes in its place.
package durable

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

var (
	// ErrUnavailable means that the service did not take the call; it had no effect.
	ErrUnavailable = errors.New("durable: unavailable")
	// ErrUncertain means that no reply arrived; the call may have taken effect.
	ErrUncertain = errors.New("durable: reply lost")
	// ErrTrimmed means that records at the wanted offset are no longer kept.
	ErrTrimmed = errors.New("durable: records are past retention")
	// ErrNotFound means that the store has no object of that name.
	ErrNotFound = errors.New("durable: not found")
	// ErrThrottled means that the service refused the call for its rate.
	ErrThrottled = errors.New("durable: rate limit")
	// ErrProtocol means that the reply was not what the protocol allows.
	ErrProtocol = errors.New("durable: malformed reply")
)

// Record is one entry of a log stream.
type Record struct {
	Offset contract.Offset `json:"offset"`
	// Time is the log service's own clock at the append.
	Time time.Time `json:"time"`
	Data []byte    `json:"data"`
}

// Batch is a run of consecutive records.
type Batch struct {
	// Oldest is the lowest offset still kept; Newest the highest written, 0 if none.
	Oldest  contract.Offset `json:"oldest"`
	Newest  contract.Offset `json:"newest"`
	Records []Record        `json:"records"`
}

// Check fails with ErrProtocol unless the records follow the given offset without
// gaps.
func (b Batch) CheckOffsets(after contract.Offset) error {
	next := after + 1
	for _, r := range b.Records {
		if r.Offset != next {
			return errors.Wrapf(ErrProtocol, "offset %d, want %d", r.Offset, next)
		}
		next++
	}
	return nil
}

// Log is an append-only log of named streams.
type Log interface {
	// Append adds a record and returns its offset. It fails with ErrUnavailable,
	// ErrThrottled or ErrUncertain.
	Append(ctx context.Context, stream string, data []byte) (contract.Offset, error)
	// Read returns records after the given offset, waiting up to wait for the
	// first one; an empty batch is no error. It fails with ErrTrimmed if records
	// after that offset are lost, else with ErrUnavailable or ErrProtocol.
	Read(ctx context.Context, stream string, after contract.Offset, wait time.Duration) (Batch, error)
}

// Store holds immutable objects by name: the rate-limited weight store and the
// origin both speak it.
type Store interface {
	// Get returns a whole object. It fails with ErrNotFound, ErrThrottled,
	// ErrUnavailable or ErrProtocol.
	Get(ctx context.Context, name string) ([]byte, error)
	// Put stores an object; storing the same object again is harmless.
	Put(ctx context.Context, name string, data []byte) error
}

// Names of objects in a Store.
const (
	// ManifestPrefix precedes the digest of a version's manifest.
	ManifestPrefix = "manifests/"
	// ChunkPrefix precedes the digest of a chunk.
	ChunkPrefix = "chunks/"
)
