package agent

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
)

var (
	// ErrEngineDown means that the engine did not take the call; it had no effect.
	ErrEngineDown = errors.New("agent: engine unavailable")
	// ErrEngineUncertain means that no reply came; the call may have taken effect.
	ErrEngineUncertain = errors.New("agent: engine reply lost")
	// ErrEngineFence means that the engine refused an order for its fencing number.
	ErrEngineFence = errors.New("agent: engine refused the fencing number")
	// ErrEngineNotWhole means that the engine does not hold the whole version.
	ErrEngineNotWhole = errors.New("agent: engine does not hold the version")
	// ErrEngineChunk means that the engine found a chunk's hash wrong.
	ErrEngineChunk = errors.New("agent: engine refused a chunk")
)

// Report is what the engine says of itself; it lags.
type Report struct {
	// Boot changes when the engine restarts.
	Boot string
	// Seq orders the reports of one boot.
	Seq uint64
	// Digest is the active version, empty if none.
	Digest contract.Digest
	// Role is the engine's present role.
	Role string
	// Warm tells that the engine is past cold start.
	Warm bool
	// Fencing tells that the engine refuses old fencing numbers.
	Fencing bool
	// Age is how old the report was when the engine sent it.
	Age time.Duration
}

// OrderKind tells the orders to an engine apart.
type OrderKind string

// The kinds of order.
const (
	OrderActivate OrderKind = "activate"
	OrderDrop     OrderKind = "drop"
	OrderRole     OrderKind = "role"
)

// Order asks the engine to change its state.
type Order struct {
	Fence    contract.Fence
	Kind     OrderKind
	Digest   contract.Digest
	Adapters []string
	Role     string
}

// Engine is the model engine beside the target. Calls fail with the ErrEngine
// errors of this package.
type Engine interface {
	Report(ctx context.Context) (Report, error)
	PutManifest(ctx context.Context, version contract.Digest, encoded []byte) error
	PutChunk(ctx context.Context, version contract.Digest, index int, data []byte) error
	Order(ctx context.Context, o Order) error
}

// Peer is another target.
type Peer struct {
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
	// Service is what its back end serves.
	Service contract.ServiceName
}

// Peers reaches the other targets of all zones. Each call opens a stream, sends
// one message and reads the reply; the context bounds it.
type Peers interface {
	// Known reports whether a host list was read.
	Known() bool
	// List returns the peers that the host list names as live, without the own
	// machine.
	List() []Peer
	// SendHave tells a peer which chunks are held and returns the peer's own Have.
	SendHave(ctx context.Context, to contract.MachineID, have contract.Have) (contract.Have, error)
	// RequestChunk asks a peer for one chunk and joins the parts of the reply. It
	// gives up when they are longer than weights.MaxChunkBytes, or, for the
	// manifest, than weights.MaxManifestBytes.
	RequestChunk(ctx context.Context, to contract.MachineID, req contract.ChunkRequest) (contract.ChunkReply, error)
}

// Wanted is one version that the settings ask for.
type Wanted struct {
	Weights contract.Digest
	// Former is the version to go back to.
	Former   contract.Digest
	Adapters []string
	Role     string
	// Priority orders several versions; a greater one is drawn first.
	Priority int
	// MinReady is the share of the zone's targets that must serve during a roll-out.
	MinReady float64
	// MaxFailures is how many targets may fail before the roll-out stops.
	MaxFailures int
	// HoldOnly asks to draw and serve the version to peers, not to activate it.
	HoldOnly bool
}

// Options configure an Agent. Drain, OnActive, Load and Peers may be nil.
type Options struct {
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
	// Service names what the engine serves; peers of other services are left alone.
	Service contract.ServiceName
	// OriginRegion is the region that holds the origin; empty if not known.
	OriginRegion contract.RegionName
	// Incarnation tells this run of the process from former ones.
	Incarnation contract.Incarnation
	Log         durable.Log
	// Origin and Store hold the published objects; the store is asked only when
	// the origin fails.
	Origin, Store durable.Store
	Engine        Engine
	Peers         Peers
	Scope         tally.Scope
	Logger        log.Interface
	// Load returns the units of work that run and how many the target bears; it
	// may be nil.
	Load func() (running, limit int)
	// Drain stops new work at the gate and waits until none runs. It is called
	// before the active version changes; the gate reopens with OnActive.
	Drain func(ctx context.Context) error
	// OnActive tells the digest that the engine confirmed, empty if it lost its weights.
	OnActive func(contract.Digest)
}
