package activation

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Effect is an output of the state machine. Effects are carried out in order.
type Effect interface{ effect() }

// Deployment is what the engine is to run.
type Deployment struct {
	Version  contract.Digest
	Former   contract.Digest
	Adapters []string
	Role     string
}

// DeploymentChanged replaces the desired deployment.
type DeploymentChanged struct{ Deployment }

// VersionVerified reports that every chunk of a version is held and verified.
type VersionVerified struct{ Version contract.Digest }

// StageEnded reports the result of staging a version.
type StageEnded struct {
	Version contract.Digest
	Result  Result
}

// TurnChanged reports whether the roll-out lets this target change to Version now.
type TurnChanged struct {
	Version contract.Digest
	Granted bool
}

// Drained reports that the gate is closed and no work runs.
type Drained struct{}

// FenceAppended reports the offset of the own fence record. Offset is 0 if the append
// failed or may have failed.
type FenceAppended struct{ Offset contract.Offset }

// FencesRead reports the records before the own one and the own one itself.
type FencesRead struct {
	Records []FenceRecord
	// Trimmed reports that earlier records are lost.
	Trimmed bool
	// Failed reports that nothing could be read.
	Failed bool
}

// FenceRecord is one record of a machine's fence stream.
type FenceRecord struct {
	Offset      contract.Offset
	Incarnation contract.Incarnation
	Lease       time.Duration
	// Time is the time of the append by the log's clock.
	Time time.Time
}

// ReportReceived reports that the engine sent a Report.
type ReportReceived struct{ Report }

// Report is what the engine reports of itself.
type Report struct {
	Boot   string
	Seq    uint64
	Digest contract.Digest
	// Fencing reports whether the engine refuses old fencing numbers.
	Fencing bool
	// Age is how old the report is.
	Age time.Duration
}

// OrderEnded reports the result of an order.
type OrderEnded struct {
	ID     uint64
	Result Result
	// Fence is the highest fencing number that the engine has seen, if it refused the
	// order.
	Fence contract.Fence
}

// Tick reports that the time returned by Next has come.
type Tick struct{}

func (DeploymentChanged) event() {}
func (VersionVerified) event()   {}
func (StageEnded) event()        {}
func (TurnChanged) event()       {}
func (Drained) event()           {}
func (FenceAppended) event()     {}
func (FencesRead) event()        {}
func (ReportReceived) event()    {}
func (OrderEnded) event()        {}
func (Tick) event()              {}

// Result is the result of a call to the engine.
type Result uint8

// The results of calls.
const (
	// ResultDone means that the engine confirmed the call.
	ResultDone Result = iota
	// ResultUnavailable means that the call had no effect.
	ResultUnavailable
	// ResultUncertain means that the call may have taken effect.
	ResultUncertain
	// ResultFenced means that the engine refused the fencing number.
	ResultFenced
	// ResultIncomplete means that the engine does not hold the complete version.
	ResultIncomplete
	// ResultCorrupt means that the engine found a chunk whose hash does not match.
	ResultCorrupt
	// ResultExpired means that the order was not sent, because NotAfter had passed.
	ResultExpired
)

// Stage sends the manifest and all chunks of a version to the engine.
type Stage struct{ Version contract.Digest }

// AppendFence appends the own record to the fence stream.
type AppendFence struct {
	Incarnation contract.Incarnation
	Lease       time.Duration
}

// ReadFences reads the fence stream up to the own record.
type ReadFences struct{ Own contract.Offset }

// RequestTurn reports to the roll-out that the target is ready to change.
type RequestTurn struct{ Version contract.Digest }

// Drain closes the gate to new work and waits until none runs.
type Drain struct{}

// SendOrder orders the engine to run a deployment.
type SendOrder struct {
	ID    uint64
	Fence contract.Fence
	Deployment
	// NotAfter is the last time at which the order may be sent. The sender checks it
	// just before it sends, and stops waiting for the reply after Timeout.
	NotAfter time.Duration
	Timeout  time.Duration
}

// RequestReport requests a new report of the engine.
type RequestReport struct{}

// Active reports the digest that the engine confirmed, and opens the gate for it.
// Version is empty if the engine lost its weights.
type Active struct{ Version contract.Digest }

// Failed reports to the roll-out that the target could not change to Version.
type Failed struct {
	Version contract.Digest
	Reason  NoteKind
}

// Note reports an occurrence to be counted.
type Note struct{ Kind NoteKind }

// NoteKind names what a Note counts.
type NoteKind string

// The kinds of note.
const (
	NoteFenceAppendFailed  NoteKind = "fence_append_failed"
	NoteSuperseded         NoteKind = "orderer_superseded"
	NoteLeaseWait          NoteKind = "lease_wait"
	NoteLeaseLapsed        NoteKind = "lease_lapsed"
	NoteOrderFenced        NoteKind = "order_fenced"
	NoteOrderUncertain     NoteKind = "order_uncertain"
	NoteOrderWithoutEffect NoteKind = "order_without_effect"
	NoteIncomplete         NoteKind = "engine_lacks_version"
	NoteCorrupt            NoteKind = "engine_refused_chunk"
	NoteEngineDown         NoteKind = "engine_unavailable"
	NoteEngineRestarted    NoteKind = "engine_restarted"
	NoteStaleReport        NoteKind = "report_out_of_date"
)

func (Stage) effect()         {}
func (AppendFence) effect()   {}
func (ReadFences) effect()    {}
func (RequestTurn) effect()   {}
func (Drain) effect()         {}
func (SendOrder) effect()     {}
func (RequestReport) effect() {}
func (Active) effect()        {}
func (Failed) effect()        {}
func (Note) effect()          {}
