package direct

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/roster"
)

// operatorsChanged takes in what operators have written.
func (w *world) operatorsChanged(news feed.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range news.Records {
		if r.Key == platform.KeyManifest {
			w.manifestChanged(r)
			continue
		}
		if zone, ok := platform.EvacuatedZone(r.Key); ok {
			w.evacuated[zone] = len(r.Value) > 0
			w.log.WithField("zone", string(zone)).WithField("out", len(r.Value) > 0).
				WithField("offset", r.Offset).Info("zone changed")
		}
		if model, ok := platform.NamedModel(r.Key); ok && len(r.Value) > 0 {
			w.versionNamed(model, r, news.Since)
		}
	}
	for _, p := range w.pools {
		p.SetEvacuated(w.evacuated)
	}
}

func (w *world) manifestChanged(r contract.Record) {
	if len(r.Value) == 0 {
		return
	}
	m, err := platform.DecodeManifest(r.Value)
	if err != nil {
		w.log.WithError(err).WithField("offset", r.Offset).Warn("manifest ignored")
		return
	}
	if w.manifest != nil && m.Version <= w.manifest.Version {
		return
	}
	w.manifest, w.manifestAt = m, time.Now()
	w.log.WithField("manifest", m.Version).WithField("routes", len(m.Routes)).
		WithField("offset", r.Offset).Info("manifest in force")
	for i := range m.Services {
		s := &m.Services[i]
		w.pool(s.Name).SetService(s)
	}
	w.shareChanged()
}

// versionNamed takes in the name of a version. since is when operators' records had been
// read to their end before.
func (w *world) versionNamed(model string, r contract.Record, since time.Time) {
	version, err := platform.DecodeVersion(r.Value)
	if err != nil {
		w.log.WithError(err).WithField("offset", r.Offset).Warn("named version ignored")
		return
	}
	if !w.named.ForModel(model).ApplyRecord(time.Now(), version, since) {
		return
	}
	w.log.WithField("model", model).WithField("version", version).WithField("offset", r.Offset).
		WithField("found", since.IsZero()).WithField("gap_ms", gapMS(since)).Info("version named")
}

// gapMS is how many milliseconds ago records had been read to their end; 0 if never.
func gapMS(since time.Time) int64 {
	if since.IsZero() {
		return 0
	}
	return time.Since(since).Milliseconds()
}

// versionsTold takes in since when a peer has known the versions that were named a
// short time ago.
func (w *world) versionsTold(hb contract.Heartbeat) {
	for _, v := range w.named.ApplyPeerAges(time.Now(), hb.Named) {
		w.log.WithField("model", v.Model).WithField("version", v.Version).WithField("age_ms", v.AgeMS).WithField("witnessed", v.Witnessed).
			WithField("peer", string(hb.Machine)).Info("version dated")
	}
}

// versionAges lists how long versions have been known, for heartbeats.
func (w *world) versionAges() []contract.NamedVersion {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.named.Ages(time.Now(), w.bounds.Version)
}

// targetsChanged takes in the platform's list of targets.
func (w *world) targetsChanged(news feed.Update) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range news.Records {
		if len(r.Value) == 0 {
			w.roster.Remove(now, roster.TargetID(r.Key))
			w.log.WithField("target", r.Key).Info("target left the list")
			continue
		}
		t, err := platform.DecodeTarget(r.Key, r.Value)
		if err != nil {
			w.log.WithError(err).WithField("target", r.Key).WithField("offset", r.Offset).Warn("target ignored")
			continue
		}
		w.targetListed(now, t)
	}
	w.listed = true
	w.membersChanged()
}

func (w *world) targetListed(now time.Time, t roster.Target) {
	before := w.roster.Member(t.ID)
	if before == nil || before.Leaving != t.Leaving || before.Born != t.Born {
		w.log.WithField("target", string(t.ID)).WithField("service", string(t.Service)).WithField("zone", string(t.Zone)).
			WithField("leaving", t.Leaving).WithField("born", t.Born).WithField("address", t.Address).Info("target listed")
	}
	w.roster.Update(now, t)
}

func (w *world) membersChanged() {
	for name, p := range w.pools {
		p.SetMembers(w.roster.Members(name))
	}
}
