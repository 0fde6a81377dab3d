package coldstart

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// maxFormerBoots is the number of former boots of the engine that are remembered.
const maxFormerBoots = 8

// mechanism identifies a part of the policy that the package's tests can switch off.
type mechanism uint16

const (
	offRestart mechanism = 1 << iota
	offBootChange
	offDigestChange
	offFirstToken
	offOverloaded
	offAnswerBroken
	offSlowStart
	offReportOrder
	offStale
	offForeignUnits
)

// Limiter determines the limit of one back end.
type Limiter struct {
	settings  Settings
	startedAt time.Time
	// clock is the latest time that was passed to Step.
	clock time.Time
	phase Phase
	// fellAt is the time of the last fall: only a report that was taken after it can undo
	// the fall.
	fellAt      time.Time
	slowStartAt time.Time

	units   map[contract.AttemptID]unit
	delays  delayMonitor
	reports reportState
	// foreignUnits counts the units of an earlier process that still run.
	foreignUnits int
	off          mechanism
}

// unit is one unit of work in the back end.
type unit struct {
	sentAt time.Time
}

// New returns a limiter of a process that starts at time now.
func New(now time.Time, s Settings) *Limiter {
	l := &Limiter{settings: s, startedAt: now, clock: now, units: map[contract.AttemptID]unit{}}
	if !s.ReportsLoad {
		l.phase = PhaseSlowStart
		l.slowStartAt = now
	}
	return l
}

// Step applies one event.
func (l *Limiter) Step(now time.Time, e Event) Result {
	result := Result{}
	if now.Before(l.clock) {
		result.IgnoredCause = CauseClockWentBack
	} else {
		l.clock = now
	}
	before := l.Limit()
	l.endSlowStart()
	fallCause, ignoredCause := l.handleEvent(e)
	result.FallCause = fallCause
	if ignoredCause != "" {
		result.IgnoredCause = ignoredCause
	}
	if result.FallCause == "" && l.Limit() < before {
		result.FallCause = l.reductionCause()
	}
	return result
}

func (l *Limiter) handleEvent(e Event) (fallCause, ignoredCause Cause) {
	switch e := e.(type) {
	case SettingsChanged:
		l.applySettings(e.Settings)
	case UnitSent:
		l.units[e.Attempt] = unit{sentAt: l.clock}
		l.delays.addUnit(e.Attempt, l.clock)
	case FirstTokenReceived:
		return l.recordFirstToken(e.Attempt)
	case UnitEnded:
		return "", l.endUnit(e.Attempt)
	case Overloaded:
		return l.handleOverload(), ""
	case AnswerBroken:
		return l.fallIfEnabled(offAnswerBroken, CauseAnswerBroken), ""
	case VersionActivated:
		return l.fall(CauseActivated), ""
	case Report:
		return l.handleReport(e)
	}
	return l.checkOverdue(), ""
}

// applySettings replaces the settings. If the back end turns out not to report its load,
// it leaves the phases that only a report ends.
func (l *Limiter) applySettings(s Settings) {
	l.settings = s
	if !s.ReportsLoad && l.phase < PhaseSlowStart {
		l.beginSlowStart()
	}
}

// reductionCause returns the cause of a limit that became lower without a fall of the
// phase.
func (l *Limiter) reductionCause() Cause {
	if l.isStale() {
		return CauseReportStale
	}
	return CauseReportLowerLimit
}

// fallIfEnabled makes the limit fall unless the mechanism is switched off.
func (l *Limiter) fallIfEnabled(off mechanism, cause Cause) Cause {
	if l.off&off != 0 {
		return ""
	}
	return l.fall(cause)
}

// fall moves the back end to PhaseCold. If it does not report its load, no report will
// show when it is warm, so that its slow start begins at once. fall returns cause, or ""
// if the back end was cold or its phase is unknown.
func (l *Limiter) fall(cause Cause) Cause {
	l.fellAt = l.clock
	l.delays.reset()
	if l.phase == PhaseUnknown {
		return ""
	}
	wasCold := l.phase == PhaseCold
	l.phase = PhaseCold
	if !l.settings.ReportsLoad {
		l.phase = PhaseSlowStart
		l.slowStartAt = l.clock
	}
	if wasCold {
		return ""
	}
	return cause
}

func (l *Limiter) endUnit(id contract.AttemptID) (ignoredCause Cause) {
	if _, ok := l.units[id]; !ok {
		return CauseUnknownUnit
	}
	delete(l.units, id)
	l.delays.unitEnded(id)
	return ""
}

func (l *Limiter) recordFirstToken(id contract.AttemptID) (fallCause, ignoredCause Cause) {
	if _, ok := l.units[id]; !ok {
		return "", CauseUnknownUnit
	}
	if l.delays.recordFirstToken(id, l.clock) {
		return l.fallIfEnabled(offFirstToken, CauseFirstTokenDelay), ""
	}
	return "", ""
}

// handleOverload makes the limit fall. Until a newer report it also holds the limit below
// the number of units that overloaded the engine.
func (l *Limiter) handleOverload() Cause {
	if l.off&offOverloaded != 0 {
		return ""
	}
	l.reports.limit = min(l.reports.limit, max(0, l.Running()-1))
	return l.fall(CauseOverloaded)
}

// endSlowStart ends the slow start when its time is over.
func (l *Limiter) endSlowStart() {
	if l.phase == PhaseSlowStart && l.clock.Sub(l.slowStartAt) >= l.settings.SlowStart {
		l.phase = PhaseWarm
	}
}

// checkOverdue makes the limit fall if first tokens are overdue.
func (l *Limiter) checkOverdue() Cause {
	if l.delays.checkOverdue(l.clock) {
		return l.fallIfEnabled(offFirstToken, CauseFirstTokenDelay)
	}
	return ""
}

// Running returns the number of units in the back end, foreign ones included.
func (l *Limiter) Running() int {
	return len(l.units) + l.foreignUnits
}

// Phase returns the current phase.
func (l *Limiter) Phase() Phase { return l.phase }

// Available returns how many more units may be sent.
func (l *Limiter) Available() int {
	return max(0, l.Limit()-l.Running())
}

// Limit returns how many units the back end may run, foreign ones included.
func (l *Limiter) Limit() int {
	limit := l.phaseLimit()
	if !l.settings.ReportsLoad {
		return limit
	}
	if l.isStale() {
		limit = min(limit, l.settings.ColdLimit)
	}
	return min(limit, l.reports.limit)
}

// phaseLimit returns the limit that the phase allows.
func (l *Limiter) phaseLimit() int {
	cold := min(l.settings.ColdLimit, l.settings.WarmLimit)
	switch l.phase {
	case PhaseUnknown:
		return 0
	case PhaseCold:
		return cold
	case PhaseSlowStart:
		return cold + l.slowStartShare(l.settings.WarmLimit-cold)
	default:
		return l.settings.WarmLimit
	}
}

// slowStartShare returns the part of span that the slow start has reached.
func (l *Limiter) slowStartShare(span int) int {
	elapsed := l.clock.Sub(l.slowStartAt)
	if elapsed >= l.settings.SlowStart || l.off&offSlowStart != 0 {
		return span
	}
	return int(int64(span) * int64(elapsed) / int64(l.settings.SlowStart))
}

// isStale reports whether the newest report is too old to allow more than the cold limit.
func (l *Limiter) isStale() bool {
	if l.off&offStale != 0 || !l.settings.ReportsLoad || l.phase == PhaseUnknown {
		return false
	}
	return l.clock.Sub(l.reports.takenAt) > l.settings.StaleAfter
}

// NextWake returns when the limiter next needs a Tick; ok is false if only events can
// change it.
func (l *Limiter) NextWake() (at time.Time, ok bool) {
	at, ok = l.delays.nextWake()
	if l.phase != PhaseSlowStart {
		return at, ok
	}
	span := max(1, l.settings.WarmLimit-l.settings.ColdLimit)
	step := l.clock.Add(l.settings.SlowStart/time.Duration(span) + 1)
	if !ok || step.Before(at) {
		return step, true
	}
	return at, ok
}
