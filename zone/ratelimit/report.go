package ratelimit

import (
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// reportedLifted is how long a lifted limit is reported: all entries that are linked
	// learn of it meanwhile.
	reportedLifted = 10 * time.Second
	// maxReports bounds the limits in one heartbeat. The newest observations go first: the
	// others have been reported before.
	maxReports = 128
	// retention is how long a limit is remembered that is lifted or whose target is not
	// listed. A target may be missing from the list for a while and come back.
	retention = time.Minute
)

// Reports lists what is known, for the other entries.
func (t *Tracker) Reports(now time.Time) []contract.TargetRateLimit {
	var list []contract.TargetRateLimit
	for key, limit := range t.limits {
		age := now.Sub(limit.ObservedAt)
		if !limit.Limited && age > reportedLifted {
			continue
		}
		list = append(list, contract.TargetRateLimit{
			Target: uint64(key), Observation: limit.observation, AgeMS: uint32(age.Milliseconds()),
			Limited: limit.Limited, PerSecond: limit.PerSecond,
		})
	}
	slices.SortFunc(list, func(a, b contract.TargetRateLimit) int { return int(a.AgeMS) - int(b.AgeMS) })
	return list[:min(len(list), maxReports)]
}

// ApplyReports applies what another entry reports, and returns the number of targets whose
// limit has changed. The newest observation of a target holds. An observation that came by
// several ways is as old as the first report tells, so that reports that go round do not
// make it younger.
func (t *Tracker) ApplyReports(now time.Time, reports []contract.TargetRateLimit) (changed int) {
	for _, r := range reports {
		key, observedAt := Key(r.Target), now.Add(-time.Duration(r.AgeMS)*time.Millisecond)
		old, known := t.limits[key]
		if known && (r.Observation == old.observation || !observedAt.After(old.ObservedAt)) {
			continue
		}
		t.limits[key] = Limit{Limited: r.Limited, PerSecond: r.PerSecond, ObservedAt: observedAt, observation: r.Observation}
		if r.Limited != old.Limited || r.PerSecond != old.PerSecond {
			changed++
		}
	}
	return changed
}

// Prune forgets limits that are lifted or whose target is not among the listed ones, and the
// invalid values of targets that are not. listed is called only if there is anything to
// forget.
func (t *Tracker) Prune(now time.Time, listed func() map[Key]bool) {
	if len(t.limits) == 0 && len(t.invalid) == 0 {
		return
	}
	keys := listed()
	for key, limit := range t.limits {
		if (!limit.Limited || !keys[key]) && now.Sub(limit.ObservedAt) > retention {
			delete(t.limits, key)
		}
	}
	for key := range t.invalid {
		if !keys[key] {
			delete(t.invalid, key)
		}
	}
}
