package follow

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// Options configures a Follower.
type Options struct {
	// Log is the platform's log.
	Log durable.Log
	// Scope and Logger may be nil.
	Scope  tally.Scope
	Logger log.Interface
	// Pull asks one peer for the records after an offset. Successive calls
	// should ask different peers. It fails if no peer answers; nil means that
	// there are no peers.
	Pull func(ctx context.Context, after contract.Offset) (contract.SettingsRecords, error)
	// Machine is this process's host, and Hosts the newest host list. Without
	// Hosts the process tails the log.
	Machine contract.MachineID
	Zone    contract.ZoneName
	Hosts   func() []hostlist.Host
	// Seed seeds the jitter.
	Seed uint64
	// Timing holds the intervals; zero fields take their defaults.
	Timing spread.Timing
}

const (
	tickInterval = 250 * time.Millisecond
	// ticksPerDuty is how many ticks pass between two looks at the host list.
	ticksPerDuty = 8
)
