package coldstart

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Settings are the bounds of a Limiter.
type Settings struct {
	// WarmLimit and ColdLimit are the numbers of units that a warm and a cold back end
	// can run.
	WarmLimit, ColdLimit int
	// SlowStart is the time over which the limit rises from ColdLimit to WarmLimit.
	SlowStart time.Duration
	// ReportsLoad reports whether the back end reports its load.
	ReportsLoad bool
	// StaleAfter is the age beyond which the newest report no longer allows a limit above
	// ColdLimit.
	StaleAfter time.Duration
}

// Event is an input of a Limiter: one of the types below.
type Event interface{ event() }

// SettingsChanged replaces the settings.
type SettingsChanged struct{ Settings Settings }

// UnitSent states that a unit of work is being sent to the back end.
type UnitSent struct{ Attempt contract.AttemptID }

// FirstTokenReceived states that the first part of a unit's answer arrived.
type FirstTokenReceived struct{ Attempt contract.AttemptID }

// UnitEnded states that a unit no longer runs in the back end.
type UnitEnded struct{ Attempt contract.AttemptID }

// Overloaded states that the back end refused a unit for overload.
type Overloaded struct{}

// AnswerBroken states that the answer to a unit broke off.
type AnswerBroken struct{}

// VersionActivated states that the back end begins to serve another version.
type VersionActivated struct{}

// Tick lets the limiter check the time.
type Tick struct{}

// Report is what the engine reports of itself.
type Report struct {
	// Boot identifies one run of the engine; Seq orders the reports of one boot.
	Boot   string
	Seq    uint64
	Digest contract.Digest
	Warm   bool
	// Running and Limit are numbers of units.
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

// Cause states why the limit fell or an event was ignored. It is the label value of a
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

// Result is the effect of an event. A field is empty if the event had no such effect.
type Result struct {
	// FallCause states why the limit fell. The gate then returns queued work to its
	// senders: after CauseReportLowerLimit what no longer fits into the queue, otherwise
	// all of it.
	FallCause Cause
	// IgnoredCause states why the event, or its time, was ignored.
	IgnoredCause Cause
}

// Phase is the phase of a Limiter.
type Phase uint8

// The phases of a Limiter.
const (
	PhaseUnknown Phase = iota
	PhaseCold
	PhaseSlowStart
	PhaseWarm
)

// String returns the name of the phase in lower case. The name of PhaseSlowStart is
// "rising".
func (p Phase) String() string {
	return [...]string{"unknown", "cold", "rising", "warm"}[p]
}
