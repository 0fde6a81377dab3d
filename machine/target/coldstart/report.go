package coldstart

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// reportState is the state of the engine according to the accepted reports. limit may be
// lower than the reported one after an overload.
type reportState struct {
	boot        string
	formerBoots []string
	seq         uint64
	digest      contract.Digest
	takenAt     time.Time
	limit       int
	hasReport   bool
}

// handleReport applies a report of the engine.
func (l *Limiter) handleReport(r Report) (fallCause, ignoredCause Cause) {
	takenAt := l.clock.Add(-r.Age)
	if cause := l.ignoreCause(r, takenAt); cause != "" {
		return "", cause
	}
	if l.phase == PhaseUnknown {
		return "", l.handleFirstReport(r, takenAt)
	}
	fallCause = l.handleEngineChange(r)
	l.recordReport(r, takenAt)
	l.updateForeignUnits(r, takenAt)
	if fallCause != "" {
		return fallCause, ""
	}
	return l.updatePhase(r, takenAt), ""
}

// ignoreCause returns why a report is ignored, or "" if it is accepted.
func (l *Limiter) ignoreCause(r Report, takenAt time.Time) Cause {
	if r.Boot == "" || r.Running < 0 || r.Limit < 0 || r.Age < 0 {
		return CauseReportContradictory
	}
	if l.off&offReportOrder != 0 || !l.reports.hasReport {
		return ""
	}
	if slices.Contains(l.reports.formerBoots, r.Boot) {
		return CauseReportFormerBoot
	}
	if r.Boot == l.reports.boot && r.Seq <= l.reports.seq {
		return CauseReportRepeated
	}
	if r.Boot != l.reports.boot && takenAt.Before(l.reports.takenAt) {
		return CauseReportOld
	}
	return ""
}

// handleFirstReport leaves PhaseUnknown if the report was taken after the process
// started.
func (l *Limiter) handleFirstReport(r Report, takenAt time.Time) (ignoredCause Cause) {
	if !takenAt.After(l.startedAt) && l.off&offRestart == 0 {
		return CauseReportOld
	}
	l.recordReport(r, takenAt)
	l.phase = PhaseCold
	if l.off&offForeignUnits == 0 {
		l.foreignUnits = r.Running
	}
	if r.Warm && takenAt.After(l.fellAt) {
		l.beginSlowStart()
	}
	return ""
}

// handleEngineChange makes the limit fall if the engine has restarted or serves another
// digest, and returns the cause.
func (l *Limiter) handleEngineChange(r Report) Cause {
	if r.Boot != l.reports.boot {
		l.foreignUnits = 0
		return l.fallIfEnabled(offBootChange, CauseBootChanged)
	}
	if r.Digest != l.reports.digest {
		return l.fallIfEnabled(offDigestChange, CauseDigestChanged)
	}
	return ""
}

// recordReport stores what an accepted report states. The report can raise the limit only
// if it was taken after the last fall.
func (l *Limiter) recordReport(r Report, takenAt time.Time) {
	if l.reports.hasReport && r.Boot != l.reports.boot {
		l.reports.formerBoots = append(l.reports.formerBoots, l.reports.boot)
		if len(l.reports.formerBoots) > maxFormerBoots {
			l.reports.formerBoots = l.reports.formerBoots[1:]
		}
	}
	limit := r.Limit
	if l.reports.hasReport && !takenAt.After(l.fellAt) {
		limit = min(limit, l.reports.limit)
	}
	l.reports.hasReport = true
	l.reports.boot, l.reports.seq = r.Boot, r.Seq
	l.reports.digest, l.reports.limit = r.Digest, limit
	if takenAt.After(l.reports.takenAt) {
		l.reports.takenAt = takenAt
	}
}

// updatePhase makes the limit fall or begins the slow start, as the report requires.
func (l *Limiter) updatePhase(r Report, takenAt time.Time) Cause {
	if !r.Warm {
		if l.phase != PhaseCold {
			return l.fall(CauseReportCold)
		}
		return ""
	}
	if l.phase == PhaseCold && takenAt.After(l.fellAt) {
		l.beginSlowStart()
	}
	return ""
}

func (l *Limiter) beginSlowStart() {
	l.phase = PhaseSlowStart
	l.slowStartAt = l.clock
}

// updateForeignUnits lowers the count of foreign units to what the report leaves for
// them. The process's own units that were sent before the report was taken are part of
// the report's count.
func (l *Limiter) updateForeignUnits(r Report, takenAt time.Time) {
	if l.foreignUnits == 0 {
		return
	}
	ownUnits := 0
	for _, u := range l.units {
		if u.sentAt.Before(takenAt) {
			ownUnits++
		}
	}
	l.foreignUnits = min(l.foreignUnits, max(0, r.Running-ownUnits))
}

// Boot returns the boot identity of the engine, or "" before the first accepted report.
func (l *Limiter) Boot() string { return l.reports.boot }

// IsWarm reports whether the back end has completed its slow start.
func (l *Limiter) IsWarm() bool { return l.phase == PhaseWarm }
