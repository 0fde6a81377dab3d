package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// Event is an input of a Gate: one of the types below.
type Event interface{ event() }

// Arrived reports that a sender requests the start of an attempt.
type Arrived struct {
	From  contract.MachineID
	Start contract.Start
}

// Disconnected reports that the stream that reads an attempt's answer broke.
type Disconnected struct{ Attempt contract.AttemptID }

// Resumed reports that a new stream reads an attempt's answer.
type Resumed struct{ Attempt contract.AttemptID }

// Cancelled reports that the sender no longer needs an attempt's answer.
type Cancelled struct{ Attempt contract.AttemptID }

// Queried requests the state of an attempt; the answer is a ReportStatus effect.
type Queried struct{ Query contract.Query }

// FirstToken reports that the first part of an attempt's answer arrived.
type FirstToken struct{ Attempt contract.AttemptID }

// Fault is a fault of the back end or of the connection to it that ended an attempt.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	// FaultOverloaded means that the back end refused the attempt for lack of room.
	FaultOverloaded
	// FaultConnection means that the back end could not be reached, that no reply came or
	// that the answer was truncated.
	FaultConnection
)

// Ended reports that the answer to an attempt has ended.
type Ended struct {
	Attempt contract.AttemptID
	// Outcome is contract.OutcomeNotRun only if the back end did not start the work.
	Outcome     contract.Outcome
	Reason      contract.Reason
	Status      int
	ContentType string
	// Weights is the digest that the engine gave at the end of its answer.
	Weights contract.Digest
	Fault   Fault
	// Lingers is set if the back end may still work on the attempt: until Released or,
	// if LingerFor is not 0, for that time at most.
	Lingers   bool
	LingerFor time.Duration
}

// Released reports that the back end no longer works on a lingering attempt.
type Released struct{ Attempt contract.AttemptID }

// Reported carries a report of the engine.
type Reported struct{ Report coldstart.Report }

// Activated reports that the engine now serves the version that the target ordered.
type Activated struct{ Weights contract.Digest }

// Configured carries the current settings.
type Configured struct{ Settings Settings }

// SenderSeen reports that an entry host is connected.
type SenderSeen struct{ Machine contract.MachineID }

// Leave reports that the target begins to leave: it accepts no new work from then on.
type Leave struct{}

// Drain reports that the engine is about to serve another version: no new work is accepted
// until Activated or Reopen, or for Config.DrainTimeout.
type Drain struct{}

// Reopen ends a Drain without a change of the version.
type Reopen struct{}

// HandOver requests to stop the attempts that another target can resume.
type HandOver struct{}

// Tick applies what is due at the time of the step.
type Tick struct{}

func (Arrived) event()      {}
func (Disconnected) event() {}
func (Resumed) event()      {}
func (Cancelled) event()    {}
func (Queried) event()      {}
func (FirstToken) event()   {}
func (Ended) event()        {}
func (Released) event()     {}
func (Reported) event()     {}
func (Activated) event()    {}
func (Configured) event()   {}
func (SenderSeen) event()   {}
func (Leave) event()        {}
func (Drain) event()        {}
func (Reopen) event()       {}
func (HandOver) event()     {}
func (Tick) event()         {}

// Effect is an output of a Gate, which its caller carries out: one of the types below.
type Effect interface{ effect() }

// Run requests to accept an attempt towards its sender and to send it to the back end.
type Run struct {
	From     contract.MachineID
	Start    contract.Start
	Deadline time.Time
}

// Refuse requests to report to the sender that an attempt did not start and never will.
type Refuse struct{ Refusal contract.Refuse }

// ReportStatus requests to report the state of an attempt to the sender.
type ReportStatus struct{ Status contract.Status }

// Stop requests to end the work on an attempt in the back end; Ended follows.
type Stop struct {
	Attempt contract.AttemptID
	Reason  contract.Reason
}

// Close requests to send the end of an answer.
type Close struct {
	From contract.MachineID
	End  contract.End
}

// Ignored reports that an event or its time was ignored, or that the process was paused,
// for the counters.
type Ignored struct{ Cause string }

// LimitFell reports that the limit fell, for the counters.
type LimitFell struct{ Cause coldstart.Cause }

func (Run) effect()          {}
func (Refuse) effect()       {}
func (ReportStatus) effect() {}
func (Stop) effect()         {}
func (Close) effect()        {}
func (Ignored) effect()      {}
func (LimitFell) effect()    {}
