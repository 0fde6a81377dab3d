package upgrade

import (
	"time"

	"mimosastand.example/mimosastand/contract"
)

// toldBounds is for how many bounds the ages of versions that are not the newest are told
// to peers; from the first one on older versions may not begin.
const toldBounds = 2

// Versions remembers the named versions of all models.
type VersionTracker struct {
	started time.Time
	models  map[string]*AnnouncedVersions
}

// NewVersions returns what a process knows that started at a time.
func NewVersionTracker(started time.Time) *VersionTracker {
	return &VersionTracker{started: started, models: map[string]*AnnouncedVersions{}}
}

// Of returns what is known of a model.
func (v *VersionTracker) ForModel(model string) *AnnouncedVersions {
	n, ok := v.models[model]
	if !ok {
		n = NewAnnouncedVersions(v.started)
		v.models[model] = n
	}
	return n
}

// Told takes in what a peer's heartbeat tells and returns what of that was news.
func (v *VersionTracker) ApplyPeerAges(now time.Time, told []contract.NamedVersion) []contract.NamedVersion {
	var news []contract.NamedVersion
	for _, t := range told {
		age := VersionAge{Number: t.Version, Age: time.Duration(t.AgeMS) * time.Millisecond, Witnessed: t.Witnessed}
		if t.Version >= FirstVersion && v.ForModel(t.Model).ApplyPeerAge(now, age) {
			news = append(news, t)
		}
	}
	return news
}

// Ages lists, for heartbeats, how long the versions have been known.
func (v *VersionTracker) Ages(now time.Time, bound time.Duration) []contract.NamedVersion {
	var list []contract.NamedVersion
	for model, n := range v.models {
		for _, a := range n.Ages(now, toldBounds*bound) {
			list = append(list, contract.NamedVersion{
				Model: model, Version: a.Number, AgeMS: uint32(max(a.Age.Milliseconds(), 0)), Witnessed: a.Witnessed,
			})
		}
	}
	return list
}
