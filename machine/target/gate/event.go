package gate

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// Event is what a Gate takes: one of the types below.
type Event interface{ event() }

// Arrived tells that a sender asks to start an attempt.
type Arrived struct {
	From  contract.MachineID
	Start contract.Start
}

// Gone tells that the stream on which an attempt was asked for broke.
type Disconnected struct{ Attempt contract.AttemptID }

// Resumed tells that a stream waits for an attempt's answer again.
type Resumed struct{ Attempt contract.AttemptID }

// Cancelled tells that nobody waits for an attempt any more.
type Cancelled struct{ Attempt contract.AttemptID }

// Queried asks what became of an attempt; the answer is a Known effect.
type Queried struct{ Query contract.Query }

// FirstToken tells that the first part of an attempt's answer arrived.
type FirstToken struct{ Attempt contract.AttemptID }

// Fault tells what the hop to the back end showed when an attempt ended.
type Fault uint8

// The faults.
const (
	FaultNone Fault = iota
	// FaultOverloaded means that the back end had no room.
	FaultOverloaded
	// FaultBroke means that the answer broke off or no reply came.
	FaultConnection
)

// Ended tells that work on an attempt ended towards its caller.
type Ended struct {
	Attempt contract.AttemptID
	// Outcome is contract.OutcomeNotRun only if the back end did not start it.
	Outcome     contract.Outcome
	Reason      contract.Reason
	Status      int
	ContentType string
	// Weights is the digest that the engine named at the end of its answer.
	Weights contract.Digest
	Fault   Fault
	// Lingers tells that the back end may still work on the attempt, until
	// Released or, if LingerFor is not 0, for that time.
	Lingers   bool
	LingerFor time.Duration
}

// Released tells that the back end no longer works on a lingering attempt.
type Released struct{ Attempt contract.AttemptID }

// Reported carries a report of the engine.
type Reported struct{ Report coldstart.Report }

// Activated tells that the target itself has ordered the engine to serve
// another version.
type Activated struct{ Weights contract.Digest }

// Configured carries the settings in force.
type Configured struct{ Settings Settings }

// HeardFrom tells that an entry host is connected.
type SenderSeen struct{ Machine contract.MachineID }

// Leave tells that the target begins to leave: it accepts nothing new.
type Leave struct{}

// Drain tells that the engine is about to serve another version: nothing new is
// accepted until Activated, or for Config.MaxDrain.
type Drain struct{}

// Reopen ends a Drain that leads to no change of the version.
type Reopen struct{}

// HandOver asks to end what can be resumed elsewhere.
type HandOver struct{}

// Tick lets the gate look at the time.
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

// Effect is what a Gate asks of its user: one of the types below.
type Effect interface{ effect() }

// Run asks to accept an attempt towards its sender and to give it to the back
// end.
type Run struct {
	From     contract.MachineID
	Start    contract.Start
	Deadline time.Time
}

// Refuse asks to tell the sender that an attempt did not start and never will.
type Refuse struct{ Refusal contract.Refuse }

// Known asks to tell what is known of an attempt.
type ReportStatus struct{ Status contract.Status }

// Stop asks to end the work on an attempt in the back end; Ended follows.
type Stop struct {
	Attempt contract.AttemptID
	Reason  contract.Reason
}

// Close asks to send the end of an answer.
type Close struct {
	From contract.MachineID
	End  contract.End
}

// Ignored tells that an event was dropped, for the counters.
type Ignored struct{ Cause string }

// Fell tells that the limit fell, for the counters.
type LimitFell struct{ Cause coldstart.Cause }

func (Run) effect()          {}
func (Refuse) effect()       {}
func (ReportStatus) effect() {}
func (Stop) effect()         {}
func (Close) effect()        {}
func (Ignored) effect()      {}
func (LimitFell) effect()    {}
