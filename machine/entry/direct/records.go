package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/boottime"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/roster"
)

// applyOperatorRecords applies new operators' records: manifests, evacuations and
// announced versions. Each record of an evacuation is logged, whether or not it changes the
// state of the zone; out is set if the zone is evacuated.
func (fs *fleetState) applyOperatorRecords(update feed.Update) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for _, r := range update.Records {
		if r.Key == platform.KeyManifest {
			fs.applyManifest(r)
			continue
		}
		if zone, ok := platform.EvacuatedZone(r.Key); ok {
			fs.evacuated[zone] = len(r.Value) > 0
			fs.log.WithField("zone", string(zone)).WithField("out", len(r.Value) > 0).
				WithField("offset", r.Offset).Info("zone evacuation record applied")
		}
		if model, ok := platform.AnnouncedModel(r.Key); ok && len(r.Value) > 0 {
			fs.applyAnnouncement(model, r, update.CaughtUpBootAt)
		}
	}
	for _, p := range fs.pools {
		p.SetEvacuated(fs.evacuated)
	}
}

func (fs *fleetState) applyManifest(r contract.Record) {
	if len(r.Value) == 0 {
		return
	}
	m, err := platform.DecodeManifest(r.Value)
	if err != nil {
		fs.log.WithError(err).WithField("offset", r.Offset).Warn("invalid manifest ignored")
		return
	}
	if fs.manifest != nil && m.Version <= fs.manifest.Version {
		return
	}
	fs.manifest, fs.manifestAppliedAt = m, time.Now()
	fs.log.WithField("manifest", m.Version).WithField("routes", len(m.Routes)).
		WithField("offset", r.Offset).Info("manifest applied")
	for i := range m.Services {
		s := &m.Services[i]
		fs.pool(s.Name).SetService(s)
	}
	fs.updateShares()
}

// applyAnnouncement applies the record by which operators announced a version of a model.
// caughtUpAt is when the operators' records had last been read to their end before, by bootClock; zero if
// never. The log field found is set if they never had been, so that the announcement may be
// old; gap_ms is the time since caughtUpAt, and 0 also if that is zero.
func (fs *fleetState) applyAnnouncement(model string, r contract.Record, caughtUpAt time.Time) {
	version, err := platform.DecodeAnnouncedVersion(r.Value)
	if err != nil {
		fs.log.WithError(err).WithField("offset", r.Offset).Warn("invalid announced version ignored")
		return
	}
	now := fs.bootClock()
	if !fs.announced.ForModel(model).ApplyRecord(now, version, caughtUpAt) {
		return
	}
	fs.log.WithField("model", model).WithField("version", version).WithField("offset", r.Offset).
		WithField("found", caughtUpAt.IsZero()).WithField("gap_ms", logs.MillisBetween(caughtUpAt, now)).Info("announced version read")
}

// applyPeerAges applies the ages that a peer reports of versions: the time that has passed
// since their announcement, at least.
func (fs *fleetState) applyPeerAges(hb contract.Heartbeat) {
	for _, v := range fs.announced.ApplyPeerAges(fs.bootClock(), hb.Announced, fs.pauses.ReadDelay()) {
		fs.log.WithField("model", v.Model).WithField("version", v.Version).WithField("age_ms", v.AgeMS).WithField("witnessed", v.Witnessed).WithField("uncertain_ms", v.UncertainMS).
			WithField("peer", string(hb.Machine)).Info("version age received from peer")
	}
}

// versionAges lists how long versions have been known, for heartbeats.
func (fs *fleetState) versionAges() []contract.AnnouncedVersion {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.announced.Ages(fs.bootClock(), fs.bounds.OldVersionGrace)
}

// versionEnd returns when the bound of an announced version ends, by the monotonic clock.
func (fs *fleetState) versionEnd(model string, number int64) (end time.Time, ok bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	end, ok = fs.announced.ForModel(model).End(number, fs.bounds.OldVersionGrace)
	return boottime.Monotonic(end, fs.bootClock()), ok
}

// applyTargetRecords applies changes of the platform's target list. It reports whether they have news
// on where requests may be sent; most changes only say that a target still runs.
func (fs *fleetState) applyTargetRecords(update feed.Update) (hasNews bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	now := time.Now()
	for _, r := range update.Records {
		if len(r.Value) == 0 {
			retained := fs.roster.Remove(now, roster.TargetID(r.Key), update.Answers)
			fs.log.WithField("target", r.Key).WithField("retained", retained).WithField("offset", r.Offset).
				WithField("answered_ms", logs.MillisSince(update.Answers.Last)).
				WithField("answers_since_ms", logs.MillisSince(update.Answers.Since)).Info("target removed from list")
			hasNews = true
			continue
		}
		t, err := platform.DecodeTarget(r.Key, r.Value)
		if err != nil {
			fs.log.WithError(err).WithField("target", r.Key).WithField("offset", r.Offset).Warn("invalid target ignored")
			continue
		}
		hasNews = fs.applyTarget(now, t, update.CaughtUpAt) || hasNews
	}
	fs.targetsListed = true
	fs.updatePoolMembers()
	return hasNews
}

// applyTarget applies an entry of the target list that was written after a time, and reports whether it
// has news.
func (fs *fleetState) applyTarget(now time.Time, t roster.Target, writtenAfter time.Time) (hasNews bool) {
	before := fs.roster.Member(t.ID)
	hasNews = before == nil || before.DiffersFrom(now, t)
	if before == nil || before.Leaving != t.Leaving || before.Born != t.Born {
		fs.log.WithField("target", string(t.ID)).WithField("service", string(t.Service)).WithField("zone", string(t.Zone)).
			WithField("leaving", t.Leaving).WithField("born", t.Born).WithField("address", t.Address).Info("target listed")
	}
	fs.roster.Update(now, t, writtenAfter)
	return hasNews
}

func (fs *fleetState) updatePoolMembers() {
	now := time.Now()
	for name, p := range fs.pools {
		p.SetMembers(now, fs.roster.Members(name))
	}
	fs.hedging.unanswered.Retain(func(id roster.TargetID) bool { return fs.roster.Member(id) != nil })
	fs.indexFlightTargets()
}
