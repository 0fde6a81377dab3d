package rollout

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Effect is an output of the state machine. Effects are carried out in order.
type Effect interface{ effect() }

// Plan replaces the version to roll out and the members to roll it out to.
type Plan struct {
	Version contract.Digest
	// MinReady is the share of the members that must serve, 0 to 1.
	MinReady float64
	// MaxFailures is how many members may fail before the roll-out stops.
	MaxFailures int
	// Members are the zone's targets of the service according to the host list,
	// including the own host.
	Members []contract.MachineID
}

// Status is what a member reports of itself.
type Status struct {
	// Active is the digest of the version that its engine confirmed.
	Active contract.Digest
	// Failed is the version that it could not change to, empty if none.
	Failed contract.Digest
	// Serving reports whether its gate is open and its engine is past cold start.
	Serving bool
	// Running is the units of work that it runs, Limit how many it can run.
	Running, Limit int
}

// SelfStatus replaces the status of the own target.
type SelfStatus struct{ Status }

// ReadyToChange reports that the own target is ready to change to Version.
type ReadyToChange struct{ Version contract.Digest }

// StatusReceived reports the status of another member.
type StatusReceived struct {
	From contract.MachineID
	Status
}

// StatusUnavailable reports that a request for the status of a member failed.
type StatusUnavailable struct{ From contract.MachineID }

// Tick reports that the time returned by Next has come.
type Tick struct{}

func (Plan) event()              {}
func (SelfStatus) event()        {}
func (ReadyToChange) event()     {}
func (StatusReceived) event()    {}
func (StatusUnavailable) event() {}
func (Tick) event()              {}

// RequestStatus requests the status of a member.
type RequestStatus struct{ To contract.MachineID }

// Grant allows the own target to change to Version.
type Grant struct{ Version contract.Digest }

// Revoke withdraws a Grant.
type Revoke struct{ Version contract.Digest }

// Waiting reports why the own target may not change yet. It is emitted when the reason
// changes.
type Waiting struct{ Reason Reason }

func (RequestStatus) effect() {}
func (Grant) effect()         {}
func (Revoke) effect()        {}
func (Waiting) effect()       {}

// Reason is why a target waits.
type Reason string

// The reasons to wait.
const (
	// ReasonTurn means that members earlier in the order are not done.
	ReasonTurn Reason = "rollout_turn"
	// ReasonMinReady means that too few members serve for Plan.MinReady.
	ReasonMinReady Reason = "rollout_min_ready"
	// ReasonLoad means that the live load needs the members that serve.
	ReasonLoad Reason = "rollout_load"
	// ReasonUnreachable means that too few members answer to know whether enough serve.
	ReasonUnreachable Reason = "rollout_unreached"
	// ReasonFailures means that the own target failed to change, or that more members
	// failed than the settings allow.
	ReasonFailures Reason = "rollout_failures"
)

// never is the time returned by Next when no Tick is needed.
const never = time.Duration(1<<63 - 1)
