package coldstart

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

const maxFormerBoots = 8

// mechanism names a part of the policy that the package's tests can switch off.
type mechanism uint16

const (
	offRestart mechanism = 1 << iota
	offBoot
	offDigest
	offFirstToken
	offOverloaded
	offBroke
	offSlowStart
	offOrder
	offStale
	offForeign
)

// Limiter holds the limit of one back end.
type Limiter struct {
	settings Settings
	started  time.Time
	clock    time.Time
	phase    Phase
	// fellAt is the time of the last fall: only a later report undoes it.
	fellAt time.Time
	riseAt time.Time

	units   map[contract.AttemptID]unit
	delays  delays
	reports reports
	// foreign counts the units of a former process that still run.
	foreign int
	off     mechanism
}

// unit is one unit of work in the back end.
type unit struct {
	sent time.Time
}

// New returns a limiter of a process that starts now.
func New(now time.Time, s Settings) *Limiter {
	l := &Limiter{settings: s, started: now, clock: now, units: map[contract.AttemptID]unit{}}
	if !s.ReportsLoad {
		l.phase = PhaseSlowStart
		l.riseAt = now
	}
	return l
}

// Step takes one event.
func (l *Limiter) Step(now time.Time, e Event) Result {
	result := Result{}
	if now.Before(l.clock) {
		result.IgnoredCause = CauseClockWentBack
	} else {
		l.clock = now
	}
	before := l.Limit()
	l.endRise()
	fell, ignored := l.step(e)
	result.FallCause = fell
	if ignored != "" {
		result.IgnoredCause = ignored
	}
	if result.FallCause == "" && l.Limit() < before {
		result.FallCause = l.lowered()
	}
	return result
}

func (l *Limiter) step(e Event) (fell, ignored Cause) {
	switch e := e.(type) {
	case SettingsChanged:
		l.configure(e.Settings)
	case UnitSent:
		l.units[e.Attempt] = unit{sent: l.clock}
		l.delays.sent(e.Attempt, l.clock)
	case FirstTokenReceived:
		return l.firstToken(e.Attempt)
	case UnitEnded:
		return "", l.ended(e.Attempt)
	case Overloaded:
		return l.overloaded(), ""
	case AnswerBroken:
		return l.fallUnless(offBroke, CauseAnswerBroken), ""
	case VersionActivated:
		return l.fall(CauseActivated), ""
	case Report:
		return l.report(e)
	}
	return l.tick(), ""
}

// configure replaces the settings. A back end that turns out not to report
// leaves the phases that only a report ends.
func (l *Limiter) configure(s Settings) {
	l.settings = s
	if !s.ReportsLoad && l.phase < PhaseSlowStart {
		l.rise()
	}
}

// lowered names the cause of a lower limit without a fall of the phase.
func (l *Limiter) lowered() Cause {
	if l.stale() {
		return CauseReportStale
	}
	return CauseReportLowerLimit
}

func (l *Limiter) fallUnless(off mechanism, cause Cause) Cause {
	if l.off&off != 0 {
		return ""
	}
	return l.fall(cause)
}

// fall puts the back end into PhaseCold. Without reports nothing will say when
// it is warm, so that the rise begins at once.
func (l *Limiter) fall(cause Cause) Cause {
	l.fellAt = l.clock
	l.delays.forget()
	if l.phase == PhaseUnknown {
		return ""
	}
	wasCold := l.phase == PhaseCold
	l.phase = PhaseCold
	if !l.settings.ReportsLoad {
		l.phase = PhaseSlowStart
		l.riseAt = l.clock
	}
	if wasCold {
		return ""
	}
	return cause
}

func (l *Limiter) ended(id contract.AttemptID) (ignored Cause) {
	if _, ok := l.units[id]; !ok {
		return CauseUnknownUnit
	}
	delete(l.units, id)
	l.delays.ended(id)
	return ""
}

func (l *Limiter) firstToken(id contract.AttemptID) (fell, ignored Cause) {
	if _, ok := l.units[id]; !ok {
		return "", CauseUnknownUnit
	}
	if l.delays.firstToken(id, l.clock) {
		return l.fallUnless(offFirstToken, CauseFirstTokenDelay), ""
	}
	return "", ""
}

// overloaded falls, and holds the limit below the number of units that were too
// many until a newer report.
func (l *Limiter) overloaded() Cause {
	if l.off&offOverloaded != 0 {
		return ""
	}
	l.reports.limit = min(l.reports.limit, max(0, l.Running()-1))
	return l.fall(CauseOverloaded)
}

// endRise ends a slow start whose time is over.
func (l *Limiter) endRise() {
	if l.phase == PhaseSlowStart && l.clock.Sub(l.riseAt) >= l.settings.SlowStart {
		l.phase = PhaseWarm
	}
}

// tick looks for first tokens that are overdue.
func (l *Limiter) tick() Cause {
	if l.delays.overdue(l.clock) {
		return l.fallUnless(offFirstToken, CauseFirstTokenDelay)
	}
	return ""
}

// Running returns the number of units in the back end, foreign ones included.
func (l *Limiter) Running() int {
	return len(l.units) + l.foreign
}

// Phase returns the phase in force.
func (l *Limiter) Phase() Phase { return l.phase }

// Room returns how many more units may be sent.
func (l *Limiter) Available() int {
	return max(0, l.Limit()-l.Running())
}

// Limit returns how many units the back end bears, foreign ones included.
func (l *Limiter) Limit() int {
	limit := l.phaseLimit()
	if !l.settings.ReportsLoad {
		return limit
	}
	if l.stale() {
		limit = min(limit, l.settings.ColdLimit)
	}
	return min(limit, l.reports.limit)
}

func (l *Limiter) phaseLimit() int {
	cold := min(l.settings.ColdLimit, l.settings.WarmLimit)
	switch l.phase {
	case PhaseUnknown:
		return 0
	case PhaseCold:
		return cold
	case PhaseSlowStart:
		return cold + l.risen(l.settings.WarmLimit-cold)
	default:
		return l.settings.WarmLimit
	}
}

// risen returns the part of span that slow start has reached.
func (l *Limiter) risen(span int) int {
	elapsed := l.clock.Sub(l.riseAt)
	if elapsed >= l.settings.SlowStart || l.off&offSlowStart != 0 {
		return span
	}
	return int(int64(span) * int64(elapsed) / int64(l.settings.SlowStart))
}

func (l *Limiter) stale() bool {
	if l.off&offStale != 0 || !l.settings.ReportsLoad || l.phase == PhaseUnknown {
		return false
	}
	return l.clock.Sub(l.reports.taken) > l.settings.StaleAfter
}

// NextWake returns when the limiter next wants a Tick; ok is false if only
// events can change it.
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
