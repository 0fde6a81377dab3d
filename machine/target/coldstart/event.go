package coldstart

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Settings bound a Limiter.
type Settings struct {
	// Max and Cold are the units that a warm and a cold back end bear.
	WarmLimit, ColdLimit int
	// SlowStart is the time over which the limit rises from Cold to Max.
	SlowStart time.Duration
	// Reports tells whether the back end reports its load.
	ReportsLoad bool
	// StaleAfter is the age at which the newest report no longer allows more
	// than Cold.
	StaleAfter time.Duration
}

// Event is what a Limiter takes: one of the types below.
type Event interface{ event() }

// Configured replaces the settings.
type SettingsChanged struct{ Settings Settings }

// Sent tells that a unit of work is given to the back end.
type UnitSent struct{ Attempt contract.AttemptID }

// FirstToken tells that the first part of a unit's answer arrived.
type FirstTokenReceived struct{ Attempt contract.AttemptID }

// Ended tells that a unit no longer runs in the back end.
type UnitEnded struct{ Attempt contract.AttemptID }

// Overloaded tells that the back end refused a unit for overload.
type Overloaded struct{}

// Broke tells that the answer to a unit broke off.
type AnswerBroken struct{}

// Activated tells that the back end begins to serve another version.
type VersionActivated struct{}

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

func (SettingsChanged) event()    {}
func (UnitSent) event()           {}
func (FirstTokenReceived) event() {}
func (UnitEnded) event()          {}
func (Overloaded) event()         {}
func (AnswerBroken) event()       {}
func (VersionActivated) event()   {}
func (Tick) event()               {}
func (Report) event()             {}

// Cause tells why the limit fell or an event was ignored. It is the tag of a
// counter.
type Cause string

// Causes of a fall.
const (
	CauseBootChanged      Cause = "boot_changed"
	CauseDigestChanged    Cause = "digest_changed"
	CauseActivated        Cause = "activated"
	CauseReportCold       Cause = "report_cold"
	CauseReportLowerLimit Cause = "report_lower_limit"
	CauseFirstTokenDelay  Cause = "first_token_delay"
	CauseOverloaded       Cause = "overloaded"
	CauseAnswerBroken     Cause = "answer_broke"
	CauseReportStale      Cause = "report_stale"
)

// Causes of ignoring an event.
const (
	CauseReportRepeated      Cause = "report_repeated"
	CauseReportOld           Cause = "report_old"
	CauseReportFormerBoot    Cause = "report_former_boot"
	CauseReportContradictory Cause = "report_contradictory"
	CauseUnknownUnit         Cause = "unknown_unit"
	CauseClockWentBack       Cause = "clock_went_back"
)

// Result is what came of an event. Its fields are empty if nothing did.
type Result struct {
	// Fell is set when the limit fell: queued work goes back.
	FallCause Cause
	// Ignored is set when the event, or its time, was not believed.
	IgnoredCause Cause
}

// Phase is the phase of a Limiter.
type Phase uint8

// The phases.
const (
	PhaseUnknown Phase = iota
	PhaseCold
	PhaseSlowStart
	PhaseWarm
)

// String returns the phase in lower case.
func (p Phase) String() string {
	return [...]string{"unknown", "cold", "rising", "warm"}[p]
}
