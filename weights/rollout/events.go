package rollout

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Effect is an output of the state machine, to be carried out in order.
type Effect interface{ effect() }

// Plan replaces what is rolled out and among whom.
type Plan struct {
	Version contract.Digest
	// MinReady is the share of the members that must serve, 0 to 1.
	MinReady float64
	// MaxFailures is how many members may fail before the roll-out stops.
	MaxFailures int
	// Members are the zone's targets of the service by the host list, with the
	// own machine.
	Members []contract.MachineID
}

// Status is what a member tells of itself.
type Status struct {
	// Active is the digest that its engine confirmed.
	Active contract.Digest
	// Failed is the version that it could not change to, if any.
	Failed contract.Digest
	// Serving tells that its gate is open and its engine past cold start.
	Serving bool
	// Running and Limit are its units of work and how many it bears.
	Running, Limit int
}

// SelfStatus replaces the own status.
type SelfStatus struct{ Status }

// ReadyToChange tells that the own target is ready to change to a version.
type ReadyToChange struct{ Version contract.Digest }

// StatusReceived is the status of another member.
type StatusReceived struct {
	From contract.MachineID
	Status
}

// StatusUnavailable tells that a member could not be asked.
type StatusUnavailable struct{ From contract.MachineID }

// Tick tells that the time of Next has come.
type Tick struct{}

func (Plan) event()              {}
func (SelfStatus) event()        {}
func (ReadyToChange) event()     {}
func (StatusReceived) event()    {}
func (StatusUnavailable) event() {}
func (Tick) event()              {}

// RequestStatus asks a member for its status.
type RequestStatus struct{ To contract.MachineID }

// Grant lets the own target change to a version; Revoke takes that back.
type Grant struct{ Version contract.Digest }

// Revoke takes a Grant back.
type Revoke struct{ Version contract.Digest }

// Waiting tells why the own target may not change yet, when the reason changes.
type Waiting struct{ Reason Reason }

func (RequestStatus) effect() {}
func (Grant) effect()         {}
func (Revoke) effect()        {}
func (Waiting) effect()       {}

// Reason tells why a target waits.
type Reason string

// The reasons to wait.
const (
	// ReasonTurn means that members earlier in the order are not done.
	ReasonTurn Reason = "rollout_turn"
	// ReasonMinReady means that too few members serve for MinReady.
	ReasonMinReady Reason = "rollout_min_ready"
	// ReasonLoad means that the live load needs the members that serve.
	ReasonLoad Reason = "rollout_load"
	// ReasonUnreachable means that too few members answer to know.
	ReasonUnreachable Reason = "rollout_unreached"
	// ReasonFailures means that more members failed than the settings allow.
	ReasonFailures Reason = "rollout_failures"
)

const never = time.Duration(1<<63 - 1)
