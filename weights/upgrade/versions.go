package upgrade

import (
	"math"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// reportedBounds is for how many bounds after its announcement the age of a version that is
// not the newest is reported to peers. After the first bound requests must not start on
// older versions.
const reportedBounds = 2

// VersionTracker records the announced versions of all models. Its times are those of AnnouncedVersions.
type VersionTracker struct {
	started time.Time
	models  map[string]*AnnouncedVersions
}

// NewVersionTracker returns the empty state of a process that started at the given time.
func NewVersionTracker(started time.Time) *VersionTracker {
	return &VersionTracker{started: started, models: map[string]*AnnouncedVersions{}}
}

// ForModel returns the announced versions of a model.
func (t *VersionTracker) ForModel(model string) *AnnouncedVersions {
	versions, ok := t.models[model]
	if !ok {
		versions = NewAnnouncedVersions(t.started)
		t.models[model] = versions
	}
	return versions
}

// ApplyPeerAges applies the ages in a peer's heartbeat and returns those that added
// information. delay is how long before now the heartbeat may have arrived: the ages in it may be too short by
// as much. It ignores versions below FirstVersion, which come from malformed heartbeats.
func (t *VersionTracker) ApplyPeerAges(now time.Time, reported []contract.AnnouncedVersion, delay time.Duration) []contract.AnnouncedVersion {
	var changed []contract.AnnouncedVersion
	for _, r := range reported {
		age := VersionAge{
			Number: r.Version, Age: time.Duration(r.AgeMS) * time.Millisecond,
			Witnessed: r.Witnessed, Uncertainty: time.Duration(r.UncertainMS)*time.Millisecond + delay,
		}
		if r.Version >= FirstVersion && t.ForModel(r.Model).ApplyPeerAge(now, age) {
			changed = append(changed, r)
		}
	}
	return changed
}

// Ages returns, for heartbeats, how long the versions have been known.
func (t *VersionTracker) Ages(now time.Time, bound time.Duration) []contract.AnnouncedVersion {
	var list []contract.AnnouncedVersion
	for model, versions := range t.models {
		for _, a := range versions.Ages(now, reportedBounds*bound) {
			list = append(list, contract.AnnouncedVersion{
				Model: model, Version: a.Number, AgeMS: uint32(max(a.Age.Milliseconds(), 0)), Witnessed: a.Witnessed,
				UncertainMS: uint32(min(a.Uncertainty.Milliseconds(), math.MaxUint32)),
			})
		}
	}
	return list
}
