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
	// ErrEngineDown means that the engine did not receive the call; it had no effect.
	ErrEngineDown = errors.New("agent: engine unavailable")
	// ErrEngineUncertain means that no reply arrived; the call may have taken effect.
	ErrEngineUncertain = errors.New("agent: engine reply lost")
	// ErrEngineFenced means that the engine refused an order for its fencing number.
	ErrEngineFenced = errors.New("agent: engine refused the fencing number")
	// ErrEngineIncomplete means that the engine, or the own target when it stages, does
	// not hold the complete version.
	ErrEngineIncomplete = errors.New("agent: complete version is not held")
	// ErrEngineRefusedChunk means that the engine found a chunk whose hash does not match.
	ErrEngineRefusedChunk = errors.New("agent: engine refused a chunk")
)

// Report is what the engine reports of itself. It lags behind the engine's state.
type Report struct {
	// Boot changes when the engine restarts.
	Boot string
	// Seq orders the reports of one boot.
	Seq uint64
	// Digest is the active version, empty if none.
	Digest contract.Digest
	// Role is the engine's current role.
	Role string
	// Warm reports whether the engine is past cold start.
	Warm bool
	// Fencing reports whether the engine refuses old fencing numbers.
	Fencing bool
	// Age is how old the report was when the engine sent it.
	Age time.Duration
}

// OrderKind is the kind of an Order.
type OrderKind string

// The kinds of order.
const (
	OrderActivate OrderKind = "activate"
	OrderDrop     OrderKind = "drop"
	OrderRole     OrderKind = "role"
)

// Order orders the engine to change its state.
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
	// Service is the service of its back end.
	Service contract.ServiceName
}

// Peers reaches the other targets of all zones. SendHave and RequestChunk each open a
// stream, send one message and read the reply; the context limits the call.
type Peers interface {
	// Known reports whether a host list has been read.
	Known() bool
	// List returns the peers that are live according to the host list, without the own
	// host.
	List() []Peer
	// SendHave reports to a peer which chunks are held and returns the peer's own Have.
	SendHave(ctx context.Context, to contract.MachineID, have contract.Have) (contract.Have, error)
	// RequestChunk requests one chunk from a peer and joins the parts of the reply. It
	// fails when they are longer than weights.MaxChunkBytes, or, for the
	// manifest, than weights.MaxManifestBytes.
	RequestChunk(ctx context.Context, to contract.MachineID, req contract.ChunkRequest) (contract.ChunkReply, error)
}

// DesiredVersion is one version that the settings ask for.
type DesiredVersion struct {
	Weights contract.Digest
	// Former is the version to return to when the roll-out stops for failures.
	Former   contract.Digest
	Adapters []string
	Role     string
	// Priority orders several versions; the one with the highest is downloaded first.
	Priority int
	// MinReady is the share of the zone's targets that must serve during a roll-out.
	MinReady float64
	// MaxFailures is how many targets may fail before the roll-out stops.
	MaxFailures int
	// DownloadOnly reports whether the version is only to be downloaded and served to
	// peers, not activated.
	DownloadOnly bool
}

// Options configure an Agent. Drain, OnActive, Load and Peers may be nil.
type Options struct {
	Machine contract.MachineID
	Zone    contract.ZoneName
	Region  contract.RegionName
	// Service is the service of the engine; peers of other services are ignored.
	Service contract.ServiceName
	// OriginRegion is the region of the origin; empty if not known.
	OriginRegion contract.RegionName
	// Incarnation distinguishes this run of the process from earlier ones.
	Incarnation contract.Incarnation
	Log         durable.Log
	// Origin and Store hold the published objects; the store, which may be nil, is
	// read only when the origin fails.
	Origin, Store durable.Store
	Engine        Engine
	Peers         Peers
	Scope         tally.Scope
	Logger        log.Interface
	// Load returns the units of work that run and how many the target can run.
	Load func() (running, limit int)
	// Drain stops new work at the gate and waits until none runs. It is called before
	// the active version changes; OnActive reopens the gate.
	Drain func(ctx context.Context) error
	// OnActive reports the digest that the engine confirmed, empty if the engine lost
	// its weights.
	OnActive func(contract.Digest)
}
