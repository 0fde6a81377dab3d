// Package plannedload holds when model engines are about to load another version of their weights.
// An engine that has accepted the order to load finishes what it runs and takes nothing new, so a
// long request that is sent shortly before keeps all other slots of the engine idle. The process
// beside an engine reports the time as soon as the turn of the engine is known, and the entries pass
// it on.
//
// The package does no I/O and does not read the clock. A Tracker is not safe for concurrent use.
package plannedload

import (
	"cmp"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// maxNotice is how long before a load it is passed on: longer than nearly all requests take.
	maxNotice = 5 * time.Second
	// retention is how long a plan is kept after its time, or after it was withdrawn: a report that
	// was made before and arrives late must not bring it back.
	retention = 3 * time.Second
	// maxReports bounds the plans in one heartbeat; those that are due first go first.
	maxReports = 64
	// maxPlans bounds the engines whose plans are kept.
	maxPlans = 16384
)

// plan is when an engine is to load; at is zero if it is not to.
type plan struct {
	at time.Time
	// number is that of the report that told so. expiresAt is when the plan is forgotten.
	number    uint32
	expiresAt time.Time
}

// Tracker holds the newest plan of each engine.
type Tracker struct {
	plans map[roster.ReportKey]plan
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker { return &Tracker{plans: map[roster.ReportKey]plan{}} }

// Observe applies a report of the process beside an engine: the engine is to load after the time in,
// or not to load as far as is known if in is 0. Reports are ordered by their numbers, modulo 2^32.
func (t *Tracker) Observe(now time.Time, key roster.ReportKey, number uint32, in time.Duration) {
	known, ok := t.plans[key]
	if ok && int32(number-known.number) <= 0 || !ok && (in <= 0 || len(t.plans) >= maxPlans) {
		return
	}
	p := plan{number: number, expiresAt: now.Add(retention)}
	if in > 0 {
		p.at = now.Add(in)
		p.expiresAt = p.at.Add(retention)
	}
	t.plans[key] = p
}

// ApplyReports applies the plans that another entry passes on.
func (t *Tracker) ApplyReports(now time.Time, reports []contract.PlannedLoad) {
	for _, r := range reports[:min(len(reports), maxReports)] {
		t.Observe(now, roster.ReportKey(r.Target), r.Number, time.Duration(r.InMS)*time.Millisecond)
	}
}

// Reports lists the plans for heartbeats to other entries, and forgets those that are past.
func (t *Tracker) Reports(now time.Time) []contract.PlannedLoad {
	var reports []contract.PlannedLoad
	for key, p := range t.plans {
		if !now.Before(p.expiresAt) {
			delete(t.plans, key)
			continue
		}
		if in := p.at.Sub(now); in > 0 && in <= maxNotice {
			reports = append(reports, contract.PlannedLoad{Target: uint64(key), Number: p.number, InMS: uint32(max(in.Milliseconds(), 1))})
		}
	}
	slices.SortFunc(reports, func(a, b contract.PlannedLoad) int {
		return cmp.Or(cmp.Compare(a.InMS, b.InMS), cmp.Compare(a.Target, b.Target))
	})
	return reports[:min(len(reports), maxReports)]
}

// TimeLeft returns the time until the engine at an address that started at born, in Unix milliseconds,
// is to load. ok is false if no load is planned or its time has passed.
func (t *Tracker) TimeLeft(now time.Time, address string, born int64) (left time.Duration, ok bool) {
	if len(t.plans) == 0 {
		return 0, false
	}
	left = t.plans[roster.ReportKeyOf(address, born)].at.Sub(now)
	return left, left > 0
}
