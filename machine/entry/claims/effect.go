package claims

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// Effect is what a Machine asks its driver to do: Decided, Append, Ask or Recorded.
type Effect interface{ effect() }

// Decided answers the Claim of a request.
type Decided struct {
	Request  contract.RequestID
	Decision Decision
}

// Append asks for one append; its end comes back through Machine.Appended.
type Append struct {
	Batch *ledger.Batch
}

// Ask asks for a probe; its answer comes back through Machine.Probed.
type Probe struct {
	Key     ledger.Key
	Service contract.ServiceName
	// Winner is the request to ask about; Age bounds how long ago it claimed.
	Holder contract.RequestID
	Age    time.Duration
}

// Recorded tells that the outcome of a request is in the log.
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
	// Time is the log's own clock.
	Time time.Time
	Data []byte
}
