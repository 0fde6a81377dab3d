package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// Event is an input of the state machine.
type Event interface{ event() }

// Request is a request as the parser accepted it.
type Request struct {
	ID      contract.RequestID
	Service contract.ServiceName
	Team    contract.TeamName
	Kind    settings.ServiceKind
	// Priority is the priority that the caller requested. The team's settings limit it.
	Priority int8
	// Timeout is the time until the caller's deadline.
	Timeout time.Duration
	// Idempotent is set if the request may run more than once.
	Idempotent bool
	// Key is the caller's Idempotency-Key. If RequiresClaim is set, the key is claimed
	// before the request is queued.
	Key           string
	RequiresClaim bool
	BodyHash      contract.Digest
	// Method, Path, ContentType and Body are passed on to the target.
	Method, Path, ContentType string
	Body                      []byte
	// PrefixHash identifies the prefix of the prompt. It is 0 if there is none.
	PrefixHash uint64
	// Tokens is the estimated cost of the request in tokens.
	Tokens uint32
}

// RequestArrived reports a new request.
type RequestArrived struct{ Request Request }

// CallerDisconnected reports that the caller no longer waits for the answer.
type CallerDisconnected struct{ Request contract.RequestID }

// CallerSlow reports that the caller reads more slowly than the answer arrives, so that
// no frames are read from the target for now. Slow is false when reading resumes.
type CallerSlow struct {
	Request contract.RequestID
	Slow    bool
}

// ClaimDecided reports the decision on a key that ClaimKey requested.
type ClaimDecided struct {
	Request contract.RequestID
	// Run is set if the request holds the key and must run.
	Run bool
	// StartWithin bounds the time until the request's last attempt is sent. 0 means no
	// bound.
	StartWithin time.Duration
	// Replay is the answer to the key's earlier request, if it is known.
	Replay *Answer
	// Reason is why the request neither runs nor is answered.
	Reason contract.Reason
	// Outcome is the outcome of the key's earlier request as far as it is known.
	Outcome    contract.Outcome
	RetryAfter time.Duration
}

// Answer is a complete answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// MessageReceived reports a message that arrived on an exchange.
type MessageReceived struct {
	Exchange uint64
	Message  contract.Message
}

// ExchangeBroken reports that an exchange ended without an End, a Refuse or a final
// Status.
type ExchangeBroken struct {
	Exchange uint64
	Reason   contract.Reason
	// Unsent is set if it is certain that no byte of the exchange's first message was
	// sent.
	Unsent bool
}

// LinkUp reports that the link to a target works.
type LinkUp struct{ Machine contract.MachineID }

// LinkDown reports that the link to a target is lost.
type LinkDown struct {
	Machine contract.MachineID
	Reason  contract.Reason
}

// Heartbeat reports a target's heartbeat.
type Heartbeat struct{ Heartbeat contract.Heartbeat }

// SettingsChanged reports new settings.
type SettingsChanged struct{ View settings.View }

// HostsChanged reports a new host list.
type HostsChanged struct{ List hostlist.List }

// StopRequested begins a planned stop. From then on, new requests are refused.
type StopRequested struct{}

// Tick reports that time has passed.
type Tick struct{}

func (RequestArrived) event()     {}
func (CallerDisconnected) event() {}
func (CallerSlow) event()         {}
func (ClaimDecided) event()       {}
func (MessageReceived) event()    {}
func (ExchangeBroken) event()     {}
func (LinkUp) event()             {}
func (LinkDown) event()           {}
func (Heartbeat) event()          {}
func (SettingsChanged) event()    {}
func (HostsChanged) event()       {}
func (StopRequested) event()      {}
func (Tick) event()               {}
