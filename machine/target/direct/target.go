// Package direct is the process beside a model engine that entries reach
// directly: it keeps the engine's weights up to date and tells entries of its
// state, fresher than the platform's list.
package direct

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
)

// Entries tell targets of what operators write; a target asks the store itself at
// these intervals, with a link to an entry and without one.
const (
	linkedPause   = 20 * time.Second
	unlinkedPause = 700 * time.Millisecond
)

// Target is the process beside one model engine.
type Target struct {
	process *config.Process
	log     log.Interface
	metrics *metrics.Registry
	meters  *meters
	store   *platform.Store
	peers   *peers.Peers
	feed    *feed.Feed
	catchup *peers.Catchup
	keeper  *keeper

	mu sync.Mutex
	// bound is how long after a version was named requests may begin on an older one.
	bound    time.Duration
	manifest *catalog.Manifest
	named    *upgrade.VersionTracker
}

// New opens the process's link address.
func New(process *config.Process) (*Target, error) {
	t := &Target{
		process: process,
		log:     logs.For("target", process.Machine),
		metrics: metrics.New(),
		store:   platform.NewStore(process.Fleet.Store),
		bound:   process.Fleet.Bounds.Version,
		named:   upgrade.NewVersionTracker(time.Now()),
	}
	t.meters = newMeters(t.metrics.Scope())
	t.keeper = newKeeper(t)
	t.feed = feed.New(t.store, feed.Options{
		Topic:        platform.TopicOperators,
		ReadInterval: t.operatorsPause,
		OnChange:     t.operatorsChanged,
		Log:          logs.For("operators", process.Machine),
	})
	opened, err := peers.Open(peers.Options{
		Self: peers.Member{
			Machine: process.Machine,
			Role:    link.RoleTarget,
			Zone:    process.Zone,
			Region:  process.Region,
			Address: process.Fleet.LinkAddress,
		},
		Store:         t.store,
		Log:           logs.For("peers", process.Machine),
		FillHeartbeat: t.beat,
		OnHeartbeat:   t.beatReceived,
		OnLinkDown:    func(contract.MachineID) { t.feed.TriggerRead() },
		ServeStream:   func(context.Context, contract.Message, *link.Stream) {},
	})
	if err != nil {
		return nil, err
	}
	t.peers = opened
	t.catchup = peers.NewCatchup(opened, t.feed, platform.TopicOperators, 0)
	return t, nil
}

// Reload takes in settings that have changed: the bounds and the level of logs.
// Addresses and names stay until the process starts again. With an error the
// former settings stay.
func (t *Target) Reload(process *config.Process, err error) {
	if err != nil || process.Fleet == nil {
		t.log.WithError(err).Warn("settings kept: the file is unusable")
		return
	}
	t.mu.Lock()
	t.bound = process.Fleet.Bounds.Version
	t.mu.Unlock()
	logs.SetLevel(process.LogLevel)
	t.log.Info("settings reloaded")
}

// versionBound is how long after a version was named requests may begin on an
// older one.
func (t *Target) versionBound() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bound
}

// Run serves until ctx ends.
func (t *Target) Run(ctx context.Context) error {
	t.log.Info("started")
	var wg sync.WaitGroup
	wg.Go(func() { t.peers.Run(ctx) })
	wg.Go(func() { t.feed.Run(ctx) })
	wg.Go(func() { t.keeper.run(ctx) })
	wg.Go(func() { t.catchup.Run(ctx) })
	wg.Go(func() { t.metrics.Serve(ctx, t.process.Fleet.MetricsAddress, t.log) })
	wg.Go(func() { periodic.Run(ctx, meterInterval, func() { t.meters.show(t) }) })
	wg.Wait()
	t.log.Info("stopped")
	return t.metrics.Close()
}

// beat fills in what heartbeats tell an entry of the engine and of named versions.
func (t *Target) beat(_ contract.MachineID, hb *contract.Heartbeat) {
	hb.Engine = t.keeper.status()
	t.mu.Lock()
	defer t.mu.Unlock()
	hb.Named = t.named.Ages(time.Now(), t.bound)
}

// beatReceived takes in what an entry knows. Manifests are large: while an entry of
// the own zone is linked, they do not come over the links between regions.
func (t *Target) beatReceived(hb contract.Heartbeat) {
	t.versionsTold(hb)
	if _, near := t.peers.FirstLinkedEntry(t.process.Zone); near && hb.Zone != t.process.Zone {
		return
	}
	t.catchup.ObservePeerOffset(hb.Machine, int64(hb.Settings)-1)
}

// versionsTold takes in since when an entry has known the versions that were named a
// short time ago.
func (t *Target) versionsTold(hb contract.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.named.ApplyPeerAges(time.Now(), hb.Named) {
		t.log.WithField("model", v.Model).WithField("version", v.Version).WithField("age_ms", v.AgeMS).WithField("witnessed", v.Witnessed).
			WithField("peer", string(hb.Machine)).Info("version dated")
	}
}

// operatorsPause is the time until the store is asked again.
func (t *Target) operatorsPause() time.Duration {
	if t.peers.HasLinkedEntry() {
		return linkedPause
	}
	return unlinkedPause
}

// operatorsChanged takes in what operators have written.
func (t *Target) operatorsChanged(news feed.Update) {
	for _, r := range news.Records {
		if r.Key == platform.KeyManifest {
			t.manifestChanged(r.Value)
			continue
		}
		if model, ok := platform.NamedModel(r.Key); ok && len(r.Value) > 0 {
			t.versionNamed(model, r.Value, news.Since)
		}
	}
}

func (t *Target) manifestChanged(data []byte) {
	m, err := platform.DecodeManifest(data)
	if err != nil {
		t.log.WithError(err).Warn("manifest ignored")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.manifest == nil || m.Version > t.manifest.Version {
		t.manifest = m
	}
}

// versionNamed takes in the name of a version. since is when operators' records had been
// read to their end before.
func (t *Target) versionNamed(model string, data []byte, since time.Time) {
	version, err := platform.DecodeVersion(data)
	if err != nil {
		t.log.WithError(err).Warn("named version ignored")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.named.ForModel(model).ApplyRecord(time.Now(), version, since) {
		return
	}
	t.log.WithField("model", model).WithField("version", version).WithField("found", since.IsZero()).Info("version named")
}

// wanted is the newest named version of the engine's model and its origin; ok is
// false while no manifest is known.
func (t *Target) wanted() (v weightcache.Version, origin catalog.Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.manifest == nil {
		return weightcache.Version{}, catalog.Origin{}, false
	}
	service := t.manifest.Service(t.process.Fleet.EngineService)
	if service == nil || service.Engine == nil || len(service.Engine.Models) == 0 {
		return weightcache.Version{}, catalog.Origin{}, false
	}
	v = weightcache.Version{Model: service.Engine.Models[0], Number: upgrade.FirstVersion}
	v.Number = max(v.Number, t.named.ForModel(v.Model).Newest())
	return v, t.manifest.Origin(), true
}

// behindSince is when the oldest version of a model above loaded was learned of;
// zero if none was.
func (t *Target) behindSince(model string, loaded int64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.named.ForModel(model).BehindSince(loaded, t.bound)
}
