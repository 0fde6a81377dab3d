package claims

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Effect is an action that a Machine requests of its driver: Decided, Append, Probe or
// Recorded.
type Effect interface{ effect() }

// Decided returns the decision about a request to its caller.
type Decided struct {
	Request  contract.RequestID
	Decision Decision
}

// Append requests one append to the log. Its result is passed to Machine.OnAppendResult.
type Append struct {
	Batch *ledger.Batch
}

// Probe requests a probe of the targets. Its result is passed to Machine.OnProbeResult.
type Probe struct {
	Key     ledger.Key
	Service contract.ServiceName
	// Holder is the request to ask about, and Age an upper bound of the time since it
	// claimed the key.
	Holder contract.RequestID
	Age    time.Duration
}

// Recorded reports that the outcome of a request is in the log.
type Recorded struct {
	Request contract.RequestID
}

func (Decided) effect()  {}
func (Append) effect()   {}
func (Probe) effect()    {}
func (Recorded) effect() {}

// LogRecord is one record of the claims stream.
type LogRecord struct {
	Offset contract.Offset
	// Time is the time of the record by the log's clock.
	Time time.Time
	Data []byte
}
