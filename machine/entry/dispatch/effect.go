package dispatch

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Effect is an output of the state machine.
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
	// NewConnection requests a connection that was made after the previous query failed
	// to get a reply.
	NewConnection bool
	// IgnoreReplies is set if the state machine needs no message of the exchange.
	IgnoreReplies bool
}

// SendCancel sends Cancel on an exchange, and then closes the exchange.
type SendCancel struct {
	Exchange uint64
	Target   contract.MachineID
	Attempt  contract.AttemptID
}

// EndExchange reports that an exchange has ended and that its stream can be closed.
type EndExchange struct{ Exchange uint64 }

// Deliver forwards a part of a model's answer to the caller.
type Deliver struct {
	Request contract.RequestID
	// At is the number of tokens that precede this part.
	At   uint64
	Data []byte
}

// Finish is the final answer to a request.
type Finish struct {
	Request contract.RequestID
	Outcome contract.Outcome
	// Reason is why the outcome is not OutcomeDone.
	Reason contract.Reason
	// RetryAfter is after how long the caller should retry. It is 0 if a retry is of no
	// use or could run the request twice.
	RetryAfter time.Duration
	// Answer is set if a request to a plain service is done.
	Answer *Answer
	// Tokens and Weights are set if a model request is done.
	Tokens  uint64
	Weights contract.Digest
	// Attempts is the number of attempts that were sent.
	Attempts int
}

// ClaimKey requests a decision on a key, which ClaimDecided reports.
type ClaimKey struct {
	Claim contract.Claim
	// Timeout is the time until the caller's deadline.
	Timeout time.Duration
}

// ResolveKey records how a claimed request ended.
type ResolveKey struct {
	Claim   contract.Claim
	Outcome contract.Outcome
	Reason  contract.Reason
	Answer  *Answer
}

// PullSettings requests settings that a target has and this entry is missing.
type PullSettings struct {
	Target  contract.MachineID
	AtLeast contract.Offset
}

// Peer is a target to which a link is maintained.
type Peer struct {
	Machine contract.MachineID
	Address string
}

// SetPeers replaces the set of targets to which links are maintained. Peers are in order
// of their machine identifiers.
type SetPeers struct{ Peers []Peer }

// Counter identifies a counter.
type Counter uint8

const (
	// CountRefusal counts requests that ended without a complete answer.
	CountRefusal Counter = iota
	// CountRetry counts retries that use the retry budget.
	CountRetry
	// CountIgnored counts messages, reports and other events that were dropped.
	CountIgnored
	// CountEjection counts ejections of targets.
	CountEjection
	// CountQuery counts queries about attempts.
	CountQuery
	// CountSpill counts attempts sent to another region.
	CountSpill
	// CountMove counts retries that do not use the retry budget, because the previous
	// attempt was refused for lack of room, ended because zones, hosts, settings or
	// weights changed, got a tombstone, or was lost with the link to its target.
	CountMove
)

// Count increments a counter.
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
