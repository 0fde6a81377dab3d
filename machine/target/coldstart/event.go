package coldstart

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Settings bound a Limiter.
type Settings struct {
	// Max and Cold are the units that a warm and a cold back end bear.
	Max, Cold int
	// SlowStart is the time over which the limit rises from Cold to Max.
	SlowStart time.Duration
	// Reports tells whether the back end reports its load.
	Reports bool
	// StaleAfter is the age at which the newest report no longer allows more
	// than Cold.
	StaleAfter time.Duration
}

// Event is what a Limiter takes: one of the types below.
type Event interface{ event() }

// Configured replaces the settings.
type Configured struct{ Settings Settings }

// Sent tells that a unit of work is given to the back end.
type Sent struct{ Attempt contract.AttemptID }

// FirstToken tells that the first part of a unit's answer arrived.
type FirstToken struct{ Attempt contract.AttemptID }

// Ended tells that a unit no longer runs in the back end.
type Ended struct{ Attempt contract.AttemptID }

// Overloaded tells that the back end refused a unit for overload.
type Overloaded struct{}

// Broke tells that the answer to a unit broke off.
type Broke struct{}

// Activated tells that the back end begins to serve another version.
type Activated struct{}

// Tick lets the limiter look at the time.
type Tick struct{}

// Report is what the engine tells of itself.
type Report struct {
	// Boot names one run of the engine; Seq orders the reports of a boot.
	Boot   string
	Seq    uint64
	Digest contract.Digest
	Warm   bool
	// Running and Limit count units of work.
	Running, Limit int
	// Age is how long ago the report was taken.
	Age time.Duration
}

func (Configured) event() {}
func (Sent) event()       {}
func (FirstToken) event() {}
func (Ended) event()      {}
func (Overloaded) event() {}
func (Broke) event()      {}
func (Activated) event()  {}
func (Tick) event()       {}
func (Report) event()     {}

// Cause tells why the limit fell or an event was ignored. It is the tag of a
// counter.
type Cause string

// Causes of a fall.
const (
	CauseBoot       Cause = "boot_changed"
	CauseDigest     Cause = "digest_changed"
	CauseActivated  Cause = "activated"
	CauseSaysCold   Cause = "report_cold"
	CauseLowerLimit Cause = "report_lower_limit"
	CauseFirstToken Cause = "first_token_delay"
	CauseOverloaded Cause = "overloaded"
	CauseBroke      Cause = "answer_broke"
	CauseStale      Cause = "report_stale"
)

// Causes of ignoring an event.
const (
	CauseRepeated      Cause = "report_repeated"
	CauseOld           Cause = "report_old"
	CauseFormerBoot    Cause = "report_former_boot"
	CauseContradictory Cause = "report_contradictory"
	CauseUnknownUnit   Cause = "unknown_unit"
	CauseClock         Cause = "clock_went_back"
)

// Result is what came of an event. Its fields are empty if nothing did.
type Result struct {
	// Fell is set when the limit fell: queued work goes back.
	Fell Cause
	// Ignored is set when the event, or its time, was not believed.
	Ignored Cause
}

// Phase is the phase of a Limiter.
type Phase uint8

// The phases.
const (
	PhaseUnknown Phase = iota
	PhaseCold
	PhaseRising
	PhaseWarm
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"unknown", "cold", "rising", "warm"}[p]
}
