package activation

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Effect is an output of the state machine, to be carried out in order.
type Effect interface{ effect() }

// Deployment is what the engine shall run.
type Deployment struct {
	Version  contract.Digest
	Former   contract.Digest
	Adapters []string
	Role     string
}

// Want replaces the wanted deployment.
type Want struct{ Deployment }

// Held tells that every chunk of a version is held and verified.
type Held struct{ Version contract.Digest }

// StageEnded tells how staging a version went.
type StageEnded struct {
	Version contract.Digest
	Result  Result
}

// Turn tells whether the roll-out lets this target change to a version now.
type Turn struct {
	Version contract.Digest
	Granted bool
}

// Drained tells that the gate is closed and no work runs.
type Drained struct{}

// FenceAppended tells the offset of the own fence record, or that the append
// failed or may have failed: then Offset is 0.
type FenceAppended struct{ Offset contract.Offset }

// FencesRead gives the records before the own one and the own one itself.
type FencesRead struct {
	Records []FenceRecord
	// Trimmed tells that earlier records are lost.
	Trimmed bool
	// Failed tells that nothing could be read.
	Failed bool
}

// FenceRecord is one record of a machine's fence stream.
type FenceRecord struct {
	Offset      contract.Offset
	Incarnation contract.Incarnation
	Lease       time.Duration
	// Time is the log's clock at the append.
	Time time.Time
}

// ReportReceived is the engine's report.
type ReportReceived struct{ Report }

// Report is what the engine says of itself.
type Report struct {
	Boot   string
	Seq    uint64
	Digest contract.Digest
	// Fencing tells that the engine refuses old fencing numbers.
	Fencing bool
	// Age is how old the report is.
	Age time.Duration
}

// OrderEnded tells how an order went.
type OrderEnded struct {
	ID     uint64
	Result Result
	// Fence is the highest number that the engine has seen, if it refused.
	Fence contract.Fence
}

// Tick tells that the time of Next has come.
type Tick struct{}

func (Want) event()           {}
func (Held) event()           {}
func (StageEnded) event()     {}
func (Turn) event()           {}
func (Drained) event()        {}
func (FenceAppended) event()  {}
func (FencesRead) event()     {}
func (ReportReceived) event() {}
func (OrderEnded) event()     {}
func (Tick) event()           {}

// Result tells how a call to the engine went.
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
	// ResultNotWhole means that the engine does not hold the whole version.
	ResultNotWhole
	// ResultCorrupt means that the engine found a chunk's hash wrong.
	ResultCorrupt
	// ResultExpired means that the order was not sent, because its time was over.
	ResultExpired
)

// Stage puts the manifest and all chunks of a version to the engine.
type Stage struct{ Version contract.Digest }

// AppendFence appends the own record to the fence stream.
type AppendFence struct {
	Incarnation contract.Incarnation
	Lease       time.Duration
}

// ReadFences reads the fence stream up to the own record.
type ReadFences struct{ Own contract.Offset }

// AskTurn tells the roll-out that the target is ready to change.
type AskTurn struct{ Version contract.Digest }

// Drain closes the gate to new work and waits until none runs.
type Drain struct{}

// Order orders the engine.
type Order struct {
	ID    uint64
	Fence contract.Fence
	Deployment
	// NotAfter is when the order must not be sent any more; the sender checks it
	// just before it sends, and gives up waiting for the reply Life later.
	NotAfter time.Duration
	Life     time.Duration
}

// AskReport asks for a fresh report of the engine.
type AskReport struct{}

// Active tells the digest that the engine confirmed, and opens the gate for it;
// empty if the engine lost its weights.
type Active struct{ Version contract.Digest }

// Failed tells the roll-out that the target could not change to a version.
type Failed struct {
	Version contract.Digest
	Reason  NoteKind
}

// Note reports something to be counted.
type Note struct{ Kind NoteKind }

// NoteKind names what a Note counts.
type NoteKind string

// The kinds of note.
const (
	NoteFenceFailed  NoteKind = "fence_append_failed"
	NoteSuperseded   NoteKind = "orderer_superseded"
	NoteLeaseWait    NoteKind = "lease_wait"
	NoteLeaseLapsed  NoteKind = "lease_lapsed"
	NoteOrderFenced  NoteKind = "order_fenced"
	NoteOrderUnknown NoteKind = "order_uncertain"
	NoteOrderLost    NoteKind = "order_without_effect"
	NoteNotWhole     NoteKind = "engine_lacks_version"
	NoteCorrupt      NoteKind = "engine_refused_chunk"
	NoteEngineDown   NoteKind = "engine_unavailable"
	NoteBoot         NoteKind = "engine_restarted"
	NoteStaleReport  NoteKind = "report_out_of_date"
)

func (Stage) effect()       {}
func (AppendFence) effect() {}
func (ReadFences) effect()  {}
func (AskTurn) effect()     {}
func (Drain) effect()       {}
func (Order) effect()       {}
func (AskReport) effect()   {}
func (Active) effect()      {}
func (Failed) effect()      {}
func (Note) effect()        {}
