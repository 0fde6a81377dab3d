package spread

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/replay"
)

// Event is what the machine is told.
type Event interface{ isEvent() }

// LogRead is a successful read of the log.
type LogRead struct {
	After contract.Offset
	Batch durable.Batch
}

// LogFailed is a failed read of the log.
type LogFailed struct {
	// Trimmed tells that the wanted records are past retention.
	Trimmed bool
}

// PeerAnswer is a peer's answer to a pull.
type PeerAnswer struct {
	Records contract.SettingsRecords
}

// PullFailed is a pull that no peer answered.
type PullFailed struct{}

// PeerOffset is an offset heard on a heartbeat or a request.
type PeerOffset struct {
	Offset contract.Offset
}

// Tailing tells how closely this process is to follow the log itself.
type Tailing struct {
	// On makes it tail the log by long polls.
	On bool
	// Audit is the interval of its other reads; 0 means Timing.AuditEvery.
	Audit time.Duration
}

// Appended tells that the append of a checkpoint ended, well or not.
type Appended struct{}

// ExtraRead is a read of the log beside the machine's own long poll.
type ExtraRead struct {
	Batch durable.Batch
	// Probe tells that it answers a ProbeLog.
	Probe bool
}

// ProbeFailed is a ProbeLog that the log did not answer.
type ProbeFailed struct{}

// Tick carries only the time.
type Tick struct{}

func (LogRead) isEvent()     {}
func (LogFailed) isEvent()   {}
func (PeerAnswer) isEvent()  {}
func (PullFailed) isEvent()  {}
func (PeerOffset) isEvent()  {}
func (Tailing) isEvent()     {}
func (Appended) isEvent()    {}
func (ExtraRead) isEvent()   {}
func (ProbeFailed) isEvent() {}
func (Tick) isEvent()        {}

// Effect is what the daemon is to do.
type Effect interface{ isEffect() }

// ReadLog asks for a read of the log.
type ReadLog struct {
	After contract.Offset
	Wait  time.Duration
}

// ProbeLog asks for a read of the log at once, beside a long poll that may still
// wait, because a peer told an offset that no peer can give.
type ProbeLog struct {
	After contract.Offset
}

// PullPeer asks for the records after an offset from one peer.
type PullPeer struct {
	After contract.Offset
}

// AppendCheckpoint asks for a checkpoint record to be appended.
type AppendCheckpoint struct {
	Data []byte
}

// Publish tells that the view changed.
type Publish struct{}

// Readiness tells that Ready changed.
type Readiness struct {
	Ready bool
	Why   string
}

// Decided tells what became of one record.
type Decided struct {
	Decision replay.Decision
}

// Ignored tells that input was dropped.
type Ignored struct {
	Reason contract.Reason
	What   string
}

func (ReadLog) isEffect()          {}
func (ProbeLog) isEffect()         {}
func (PullPeer) isEffect()         {}
func (AppendCheckpoint) isEffect() {}
func (Publish) isEffect()          {}
func (Readiness) isEffect()        {}
func (Decided) isEffect()          {}
func (Ignored) isEffect()          {}
