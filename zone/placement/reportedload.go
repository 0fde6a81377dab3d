package placement

import (
	"math"
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// loadFadeShare is the time after which a third is left of what a reported load tells of a target, as a share of
// the duration of a request. Entries that all choose the targets with the least reported load change that
// load before the next report.
const loadFadeShare = 0.25

// processLoad returns the load of a target that the process beside it reported at a time, unless the report is
// too old or the flights of all entries are known. On paced services the load is taken to return to the mean of the
// usable targets with the age of the report. duration is how long a request takes.
func (p *Pool) processLoad(now time.Time, m *roster.Member, duration time.Duration) (load float64, at time.Time, ok bool) {
	n, at, ok := m.ReportedLoad(now)
	if !ok || p.flightsComplete {
		return 0, at, false
	}
	age := max(now.Sub(at), 0)
	if mean := p.inflow.meanLoad; p.IsPaced(now) && mean >= 0 {
		return mean + (float64(n)-mean)*math.Exp(-float64(age)/(float64(duration)*loadFadeShare)), at, true
	}
	return float64(n), at, age < processReportMaxAge
}

// meanReportedLoad returns the mean load that the processes beside the usable targets reported; negative if
// none did or the service is not paced. Targets that get no requests, for example since they change their
// weights, have little load. If they counted, the others would seem less busy than they are when few of
// them are usable.
func (p *Pool) meanReportedLoad(now time.Time, req Requirements) float64 {
	sum, n := 0, 0
	usable := Requirements{MinVersion: req.MinVersion}
	if p.IsPaced(now) {
		for _, m := range p.members {
			if p.exclusionOf(now, m, usable) != NotExcluded || p.isEjected(now, m) {
				continue
			}
			if load, _, ok := m.ReportedLoad(now); ok {
				sum, n = sum+load, n+1
			}
		}
	}
	if n == 0 {
		return -1
	}
	return float64(sum) / float64(n)
}
