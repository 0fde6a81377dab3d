package coldstart

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// reports holds what is believed of the engine's reports.
type reports struct {
	boot    string
	former  []string
	seq     uint64
	digest  contract.Digest
	taken   time.Time
	limit   int
	started bool
}

// report takes a report of the engine.
func (l *Limiter) report(r Report) (fell, ignored Cause) {
	taken := l.clock.Add(-r.Age)
	if cause := l.disbelief(r, taken); cause != "" {
		return "", cause
	}
	if l.phase == PhaseUnknown {
		return "", l.firstReport(r, taken)
	}
	fell = l.changed(r)
	l.believe(r, taken)
	l.updateForeign(r, taken)
	if fell != "" {
		return fell, ""
	}
	return l.temperature(r, taken), ""
}

// disbelief returns why a report is ignored, or "".
func (l *Limiter) disbelief(r Report, taken time.Time) Cause {
	if r.Boot == "" || r.Running < 0 || r.Limit < 0 || r.Age < 0 {
		return CauseReportContradictory
	}
	if l.off&offOrder != 0 || !l.reports.started {
		return ""
	}
	if slices.Contains(l.reports.former, r.Boot) {
		return CauseReportFormerBoot
	}
	if r.Boot == l.reports.boot && r.Seq <= l.reports.seq {
		return CauseReportRepeated
	}
	if r.Boot != l.reports.boot && taken.Before(l.reports.taken) {
		return CauseReportOld
	}
	return ""
}

// firstReport leaves PhaseUnknown if the report is newer than the process.
func (l *Limiter) firstReport(r Report, taken time.Time) (ignored Cause) {
	if !taken.After(l.started) && l.off&offRestart == 0 {
		return CauseReportOld
	}
	l.believe(r, taken)
	l.phase = PhaseCold
	if l.off&offForeign == 0 {
		l.foreign = r.Running
	}
	if r.Warm && taken.After(l.fellAt) {
		l.rise()
	}
	return ""
}

// changed returns the cause of a fall if the engine is not the one it was.
func (l *Limiter) changed(r Report) Cause {
	if r.Boot != l.reports.boot {
		l.foreign = 0
		return l.fallUnless(offBoot, CauseBootChanged)
	}
	if r.Digest != l.reports.digest {
		return l.fallUnless(offDigest, CauseDigestChanged)
	}
	return ""
}

func (l *Limiter) believe(r Report, taken time.Time) {
	if l.reports.started && r.Boot != l.reports.boot {
		l.reports.former = append(l.reports.former, l.reports.boot)
		if len(l.reports.former) > maxFormerBoots {
			l.reports.former = l.reports.former[1:]
		}
	}
	limit := r.Limit
	if l.reports.started && !taken.After(l.fellAt) {
		limit = min(limit, l.reports.limit)
	}
	l.reports.started = true
	l.reports.boot, l.reports.seq = r.Boot, r.Seq
	l.reports.digest, l.reports.limit = r.Digest, limit
	if taken.After(l.reports.taken) {
		l.reports.taken = taken
	}
}

// temperature falls or begins to rise as the report says.
func (l *Limiter) temperature(r Report, taken time.Time) Cause {
	if !r.Warm {
		if l.phase != PhaseCold {
			return l.fall(CauseReportCold)
		}
		return ""
	}
	if l.phase == PhaseCold && taken.After(l.fellAt) {
		l.rise()
	}
	return ""
}

func (l *Limiter) rise() {
	l.phase = PhaseSlowStart
	l.riseAt = l.clock
}

// updateForeign lowers the count of foreign units to what the report leaves
// for them. Own units sent before the report was taken are part of its count.
func (l *Limiter) updateForeign(r Report, taken time.Time) {
	if l.foreign == 0 {
		return
	}
	own := 0
	for _, u := range l.units {
		if u.sent.Before(taken) {
			own++
		}
	}
	l.foreign = min(l.foreign, max(0, r.Running-own))
}

// Boot returns the boot identity of the engine, or "" before a report.
func (l *Limiter) Boot() string { return l.reports.boot }

// Warm reports whether the back end is past cold start.
func (l *Limiter) IsWarm() bool { return l.phase == PhaseWarm }
