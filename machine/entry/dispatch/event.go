package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// Event is an input of the machine.
type Event interface{ event() }

// Request is a caller's call as the parser accepted it.
type Request struct {
	ID      contract.RequestID
	Service contract.ServiceName
	Team    contract.TeamName
	Kind    settings.ServiceKind
	// Priority is what the caller asks for; the team's settings bound it.
	Priority int8
	// Timeout is the time until the caller's deadline.
	Timeout time.Duration
	// Idempotent allows more than one run.
	Idempotent bool
	// Key is the caller's Idempotency-Key. Claim tells to claim it first.
	Key           string
	RequiresClaim bool
	BodyHash      contract.Digest
	// Method, Path, ContentType and Body are the call.
	Method, Path, ContentType string
	Body                      []byte
	// PrefixHash identifies the prompt prefix; 0 if there is none.
	PrefixHash uint64
	// Tokens is the estimated cost.
	Tokens uint32
}

// Arrive brings a new request.
type RequestArrived struct{ Request Request }

// CallerGone tells that nobody waits for the request's answer any more.
type CallerDisconnected struct{ Request contract.RequestID }

// CallerSlow tells that the caller reads slower than the answer comes, so that
// no frames are read for now; Slow false ends that.
type CallerSlow struct {
	Request contract.RequestID
	Slow    bool
}

// Claimed answers ClaimKey.
type ClaimDecided struct {
	Request contract.RequestID
	// Run tells that the request holds the key and must run.
	Run bool
	// StartWithin bounds the time until its last attempt is sent; 0 means no bound.
	StartWithin time.Duration
	// Replay is the answer of the key's earlier request, if it is known.
	Replay *Answer
	// Reason tells why the request neither runs nor is answered.
	Reason contract.Reason
	// Outcome is what is known of the key's request.
	Outcome    contract.Outcome
	RetryAfter time.Duration
}

// Answer is a whole answer of a plain service.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Received brings a message of an exchange.
type MessageReceived struct {
	Exchange uint64
	Message  contract.Message
}

// Broken tells that an exchange ended without an End, Refuse or final Status.
type ExchangeBroken struct {
	Exchange uint64
	Reason   contract.Reason
	// Unsent tells that surely no byte of the exchange's first message was sent.
	Unsent bool
}

// LinkUp tells that the link to a target works.
type LinkUp struct{ Machine contract.MachineID }

// LinkDown tells that the link to a target is lost.
type LinkDown struct {
	Machine contract.MachineID
	Reason  contract.Reason
}

// Heartbeat brings a target's heartbeat.
type Heartbeat struct{ Heartbeat contract.Heartbeat }

// SettingsChanged brings a newer view.
type SettingsChanged struct{ View settings.View }

// HostsChanged brings a newer host list.
type HostsChanged struct{ List hostlist.List }

// Stop begins the planned stop: new requests are refused.
type StopRequested struct{}

// Tick tells that time has passed.
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
