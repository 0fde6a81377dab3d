package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Effect is an output of the machine.
type Effect interface{ effect() }

// SendStart opens an exchange with a target and sends Start on it.
type SendStart struct {
	Exchange uint64
	Target   contract.MachineID
	Start    contract.Start
}

// SendQuery opens an exchange with a target and sends Query on it.
type SendQuery struct {
	Exchange uint64
	Target   contract.MachineID
	Query    contract.Query
	// Fresh asks for a connection made after the last one failed to answer.
	NewConnection bool
	// Forget tells that no message of the exchange matters to the machine.
	IgnoreReplies bool
}

// SendCancel sends Cancel on an exchange, which ends with it.
type SendCancel struct {
	Exchange uint64
	Target   contract.MachineID
	Attempt  contract.AttemptID
}

// EndExchange tells that an exchange is over and its stream can be closed.
type EndExchange struct{ Exchange uint64 }

// Deliver passes a part of a model's answer on to the caller.
type Deliver struct {
	Request contract.RequestID
	// At is the number of tokens before this part.
	At   uint64
	Data []byte
}

// Finish is the final answer to a request.
type Finish struct {
	Request contract.RequestID
	Outcome contract.Outcome
	// Reason tells why the outcome is not done.
	Reason contract.Reason
	// RetryAfter is when the caller should come back; 0 if that makes no sense.
	RetryAfter time.Duration
	// Answer is set for a done request of a plain service.
	Answer *Answer
	// Tokens and Weights are set for a done model request.
	Tokens  uint64
	Weights contract.Digest
	// Attempts counts the attempts sent.
	Attempts int
}

// ClaimKey asks to decide about a key; Claimed answers it.
type ClaimKey struct {
	Claim contract.Claim
	// Within is the time until the caller's deadline.
	Timeout time.Duration
}

// ResolveKey records how a claimed request ended.
type ResolveKey struct {
	Claim   contract.Claim
	Outcome contract.Outcome
	Reason  contract.Reason
	Answer  *Answer
}

// PullSettings asks a peer for settings that it has and this entry lacks.
type PullSettings struct {
	Target  contract.MachineID
	AtLeast contract.Offset
}

// Peer is a target to keep a link to.
type Peer struct {
	Machine contract.MachineID
	Address string
}

// SetPeers replaces the targets to keep links to, in order of machine.
type SetPeers struct{ Peers []Peer }

// Counter names what a Count counts.
type Counter uint8

const (
	// CountRefusal counts requests that ended without an answer.
	CountRefusal Counter = iota
	// CountRetry counts attempts after one that failed.
	CountRetry
	// CountIgnored counts input that was dropped.
	CountIgnored
	// CountEjection counts ejections of targets.
	CountEjection
	// CountQuery counts questions about attempts.
	CountQuery
	// CountSpill counts attempts in another region.
	CountSpill
	// CountMove counts attempts after one that was refused for room or because
	// zones, hosts, settings or weights changed.
	CountMove
)

// Count adds one to a counter.
type Count struct {
	Counter Counter
	Reason  contract.Reason
}

func (SendStart) effect()    {}
func (SendQuery) effect()    {}
func (SendCancel) effect()   {}
func (EndExchange) effect()  {}
func (Deliver) effect()      {}
func (Finish) effect()       {}
func (ClaimKey) effect()     {}
func (ResolveKey) effect()   {}
func (PullSettings) effect() {}
func (SetPeers) effect()     {}
func (Count) effect()        {}
