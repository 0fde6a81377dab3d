// Package direct implements the process that runs beside a model engine. Entries send
// requests directly to the engine. The process keeps the engine's weights up to date and
// reports the engine's state to entries in heartbeats, sooner than the platform's list of
// targets shows it.
package direct

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/boottime"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/internal/standstill"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/machine/storerestore"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// takeoverAge is how long a target does without the store's confirmation of what
	// operators have written, which entries report to it, until it reads the store itself,
	// every unlinkedReadInterval. Without a link to an entry it reads at once.
	takeoverAge          = 10 * time.Second
	unlinkedReadInterval = 700 * time.Millisecond
	// operatorsRewriteTimeout is how long records are kept that the store lost when it came
	// back from an older copy.
	operatorsRewriteTimeout = 10 * time.Second
	// pauseCheckInterval is the time between two looks whether the process stood still, and minPause
	// the shortest standstill that is logged, and after which heartbeats may be read late.
	pauseCheckInterval = 250 * time.Millisecond
	minPause           = 2 * pauseCheckInterval
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
	// bootClock goes on while the machine is suspended. The announcements of versions go by it.
	bootClock func() time.Time
	// pauses notices when the process stood still.
	pauses     *standstill.Detector
	catchup    *peers.Catchup
	reconciler *reconciler

	mu sync.Mutex
	// bound is how long after a version was announced requests may begin on an older one.
	bound     time.Duration
	manifest  *catalog.Manifest
	announced *upgrade.VersionTracker
}

// New returns the process and opens its link address.
func New(process *config.Process) (*Target, error) {
	t := &Target{
		process:   process,
		log:       logs.NewLogger("target", process.Machine),
		metrics:   metrics.New(),
		store:     platform.NewStore(process.Fleet.Store),
		bound:     process.Fleet.Bounds.OldVersionGrace,
		bootClock: boottime.Time,
		pauses:    standstill.NewDetector(minPause),
		announced: upgrade.NewVersionTracker(boottime.Time()),
	}
	t.meters = newMeters(t.metrics.Scope())
	t.reconciler = newReconciler(t)
	t.feed = feed.New(t.store, feed.Options{
		Topic:       platform.TopicOperators,
		TakeoverAge: t.operatorsTakeoverAge,
		// Without a confirmation of entries the store is asked at this interval.
		ReadInterval: func() time.Duration { return unlinkedReadInterval },
		OnChange:     t.applyOperatorRecords,
		// Records that the store lost are replaced by newer ones only (CompareOperatorRecords).
		RewriteTimeout: operatorsRewriteTimeout,
		Compare:        platform.CompareOperatorRecords,
		Log:            logs.NewLogger("operators", process.Machine),
	})
	p, err := peers.Open(peers.Options{
		Self: peers.Member{
			Machine: process.Machine,
			Role:    link.RoleTarget,
			Zone:    process.Zone,
			Region:  process.Region,
			Address: process.Fleet.LinkAddress,
		},
		Store:         t.store,
		Log:           logs.NewLogger("peers", process.Machine),
		FillHeartbeat: t.fillHeartbeat,
		OnHeartbeat:   t.handleHeartbeat,
		OnLinkDown:    func(contract.MachineID) { t.feed.TriggerRead() },
		ServeStream:   func(context.Context, contract.Message, *link.Stream) {},
	})
	if err != nil {
		return nil, err
	}
	t.peers = p
	t.catchup = peers.NewCatchup(p, t.feed, platform.TopicOperators, 0)
	return t, nil
}

// Reload applies changed settings: the version bound and the log level. Changes of
// addresses and names take effect when the process is restarted. If err is not nil
// or process has no settings of a fleet, the current settings stay.
func (t *Target) Reload(process *config.Process, err error) {
	if err != nil || process.Fleet == nil {
		t.log.WithError(err).Warn("settings file is unusable; keeping the current settings")
		return
	}
	t.mu.Lock()
	t.bound = process.Fleet.Bounds.OldVersionGrace
	t.mu.Unlock()
	logs.SetLevel(process.LogLevel)
	t.log.Info("settings reloaded")
}

// versionBound returns how long after a version was announced requests may begin on an
// older one.
func (t *Target) versionBound() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.bound
}

// Run serves until ctx ends.
func (t *Target) Run(ctx context.Context) error {
	t.log.Info("started")
	storerestore.Watch(ctx, storerestore.Options{
		Store:     t.store,
		Peers:     t.peers,
		Feeds:     []*feed.Feed{t.feed},
		OnRestore: t.meters.countStoreRestore,
		Log:       t.log,
	})
	var wg sync.WaitGroup
	wg.Go(func() { t.peers.Run(ctx) })
	wg.Go(func() { t.feed.Run(ctx) })
	wg.Go(func() { t.reconciler.run(ctx) })
	wg.Go(func() { t.catchup.Run(ctx) })
	wg.Go(func() { t.metrics.Serve(ctx, t.process.Fleet.MetricsAddress, t.log) })
	wg.Go(func() { periodic.Run(ctx, pauseCheckInterval, func() { t.pauses.Log(t.log) }) })
	wg.Go(func() { periodic.Run(ctx, gaugeInterval, func() { t.meters.updateGauges(t) }) })
	wg.Wait()
	t.log.Info("stopped")
	return t.metrics.Close()
}

// fillHeartbeat adds the state of the engine and the ages of announced versions to a
// heartbeat.
func (t *Target) fillHeartbeat(_ contract.MachineID, hb *contract.Heartbeat) {
	hb.Engine = t.reconciler.status()
	hb.StoreEra = t.store.Era()
	hb.Announced = t.versionAges()
}

// versionAges lists how long versions have been known, for heartbeats.
func (t *Target) versionAges() []contract.AnnouncedVersion {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.announced.Ages(t.bootClock(), t.bound)
}

// handleHeartbeat applies what an entry reports. Manifests are large: while an entry of
// the target's own zone is linked, the target does not read operators' records from
// entries of other zones, over the links between regions.
func (t *Target) handleHeartbeat(hb contract.Heartbeat) {
	t.store.LearnEra(hb.StoreEra)
	t.applyPeerAges(hb)
	if hb.Zone != t.process.Zone && t.peers.HasLinkedEntryIn(t.process.Zone) {
		return
	}
	t.catchup.ObservePeer(hb.Machine, hb.Operators)
}

// applyPeerAges applies the ages that an entry reports of versions: the time that has passed
// since their announcement, at least.
func (t *Target) applyPeerAges(hb contract.Heartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, v := range t.announced.ApplyPeerAges(t.bootClock(), hb.Announced, t.pauses.ReadDelay()) {
		t.log.WithField("model", v.Model).WithField("version", v.Version).WithField("age_ms", v.AgeMS).WithField("witnessed", v.Witnessed).WithField("uncertain_ms", v.UncertainMS).
			WithField("peer", string(hb.Machine)).Info("version age received from peer")
	}
}

// operatorsTakeoverAge returns how old the store's confirmation of the operators' records must
// be for this process to read the store.
func (t *Target) operatorsTakeoverAge() time.Duration {
	if t.peers.HasLinkedEntry() {
		return takeoverAge
	}
	return 0
}

// applyOperatorRecords applies the records that operators have written.
func (t *Target) applyOperatorRecords(update feed.Update) {
	for _, r := range update.Records {
		if r.Key == platform.KeyManifest {
			t.applyManifest(r.Value)
			continue
		}
		if model, ok := platform.AnnouncedModel(r.Key); ok && len(r.Value) > 0 {
			t.applyAnnouncement(model, r.Value, update.CaughtUpBootAt)
		}
	}
}

// applyManifest stores a manifest unless it is malformed or not newer than the current one.
func (t *Target) applyManifest(data []byte) {
	m, err := platform.DecodeManifest(data)
	if err != nil {
		t.log.WithError(err).Warn("invalid manifest ignored")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.manifest == nil || m.Version > t.manifest.Version {
		t.manifest = m
	}
}

// applyAnnouncement applies the record by which operators announced a version of a model.
// caughtUpAt is when the operators' records had last been read to their end before, by bootClock; zero if
// never. The log field found is set if they never had been, so that the announcement may be
// old.
func (t *Target) applyAnnouncement(model string, data []byte, caughtUpAt time.Time) {
	version, err := platform.DecodeAnnouncedVersion(data)
	if err != nil {
		t.log.WithError(err).Warn("invalid announced version ignored")
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.bootClock()
	if !t.announced.ForModel(model).ApplyRecord(now, version, caughtUpAt) {
		return
	}
	t.log.WithField("model", model).WithField("version", version).WithField("found", caughtUpAt.IsZero()).
		WithField("gap_ms", logs.MillisBetween(caughtUpAt, now)).Info("announced version read")
}

// desiredVersion returns the newest announced version of the engine's model, or
// upgrade.FirstVersion if none was announced, and the origin of weights. ok is false while
// no manifest that lists the engine's service and its model is known.
func (t *Target) desiredVersion() (v weightcache.Version, origin catalog.Origin, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := t.engine()
	if engine == nil || len(engine.Models) == 0 {
		return weightcache.Version{}, catalog.Origin{}, false
	}
	v = weightcache.Version{Model: engine.Models[0], Number: upgrade.FirstVersion}
	v.Number = max(v.Number, t.announced.ForModel(v.Model).Newest())
	return v, t.manifest.Origin(), true
}

// engine returns the manifest's description of the engine; nil while no manifest that has one is known.
// mu must be held.
func (t *Target) engine() *catalog.Engine {
	if t.manifest == nil {
		return nil
	}
	service := t.manifest.Service(t.process.Fleet.EngineService)
	if service == nil {
		return nil
	}
	return service.Engine
}

// modelLayers returns the number of layers of the engine's model; 0 while that is not known.
func (t *Target) modelLayers() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := t.engine()
	if engine == nil {
		return 0
	}
	return engine.Layers
}

// pieceCount returns the number of pieces of the engine's model; 0 if that is not known.
func (t *Target) pieceCount() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	engine := t.engine()
	if engine == nil {
		return 0
	}
	return engine.Chunks
}

// behindSince returns the time, by the monotonic clock, from which the oldest version of a model above loaded
// counts as announced; zero if there is no such version.
func (t *Target) behindSince(model string, loaded int64) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return boottime.Monotonic(t.announced.ForModel(model).BehindSince(loaded, t.bound), t.bootClock())
}

// versionEnd returns when the bound of an announced version ends, by the monotonic clock; ok is false if it is not known to be
// announced.
func (t *Target) versionEnd(model string, number int64) (end time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	end, ok = t.announced.ForModel(model).End(number, t.bound)
	return boottime.Monotonic(end, t.bootClock()), ok
}
