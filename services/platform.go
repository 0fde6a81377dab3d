package services

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
)

var (
	// ErrUnavailable means that the service did not take the call; it had no effect.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUncertain means that no reply arrived; the call may have taken effect.
	ErrUncertain = errors.New("platform: reply lost")
	// ErrTrimmed means that records at the wanted offset are no longer kept.
	ErrTrimmed = errors.New("platform: records are past retention")
	// ErrNotFound means that the store has no object of that name.
	ErrNotFound = errors.New("platform: not found")
	// ErrThrottled means that the service refused the call for its rate.
	ErrThrottled = errors.New("platform: rate limit")
	// ErrProtocol means that the reply was not what the protocol allows.
	ErrProtocol = errors.New("platform: malformed reply")
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

// Log is the platform's append-only log of named streams.
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

// HostState is what the host list says of a host.
type HostState string

// The states of a host. A host that the list does not name is gone.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole tells entry hosts and target hosts apart.
type HostRole string

// The roles of hosts.
const (
	HostEntry  HostRole = "entry"
	HostTarget HostRole = "target"
)

// Host is one line of the host list.
type Host struct {
	Machine contract.MachineID   `json:"machine"`
	Role    HostRole             `json:"role"`
	Zone    contract.ZoneName    `json:"zone"`
	Region  contract.RegionName  `json:"region"`
	Service contract.ServiceName `json:"service,omitempty"`
	// Address is the UDP address of the process's link endpoint.
	Address string    `json:"address"`
	State   HostState `json:"state"`
}

// HostList is the platform's lagging view of its hosts.
type HostList struct {
	Version uint64 `json:"version"`
	Hosts   []Host `json:"hosts"`
}

// Hosts reads the host list.
type Hosts interface {
	// List returns the newest list. It fails with ErrUnavailable or ErrProtocol.
	List(ctx context.Context) (HostList, error)
}

// Names of objects in a Store.
const (
	// ManifestPrefix precedes the digest of a version's manifest.
	ManifestPrefix = "manifests/"
	// ChunkPrefix precedes the digest of a chunk.
	ChunkPrefix = "chunks/"
)
