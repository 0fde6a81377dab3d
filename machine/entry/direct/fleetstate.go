package direct

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/boottime"
	"mimosastand.example/mimosastand/internal/standstill"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/leaving"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/poison"
	"mimosastand.example/mimosastand/zone/ratelimit"
	"mimosastand.example/mimosastand/zone/roster"
	"mimosastand.example/mimosastand/zone/targetreport"
)

const (
	// budgetShare is the part of the fleet's retry budget that the known entries divide
	// among themselves; the rest covers entries that have just joined.
	budgetShare = 0.85
	// lapseMargin is how long before the end of the stable window after an outage targets are dropped
	// whose entries lapsed in it.
	lapseMargin = 250 * time.Millisecond
	// assumedEntries is the number of shares in the fleet's bounds while no entry is
	// known.
	assumedEntries = 16
)

// fleetState is the entry's view of the fleet. It joins the packages that make decisions.
// Methods that lock mu are safe for concurrent use; the others are called with mu locked.
type fleetState struct {
	process *config.Process
	log     log.Interface
	// bootClock goes on while the machine is suspended. The announcements of versions and the reports on engines go
	// by it.
	bootClock func() time.Time
	// startedAt is when this process began to count the requests that it sends, and startedBoot the same by bootClock.
	startedAt, startedBoot time.Time

	mu sync.Mutex
	// bounds are the fleet's bounds, which may change while the process runs.
	bounds   config.Bounds
	manifest *catalog.Manifest
	// manifestAppliedAt is when the manifest was applied.
	manifestAppliedAt time.Time
	roster            *roster.Roster
	targetsListed     bool
	evacuated         map[contract.ZoneName]bool
	announced         *upgrade.VersionTracker
	pools             map[contract.ServiceName]*placement.Pool
	retryBudgets      map[contract.ServiceName]*retry.Window
	returnEstimators  map[contract.ServiceName]*retry.ReturnEstimator
	targetReports     *targetreport.Tracker
	rateLimits        *ratelimit.Tracker
	leaving           *leaving.Tracker
	poison            *poison.Tracker
	hedging           hedgingState
	peerFlights       map[contract.MachineID]map[uint32]int
	// flightTargets holds the targets that the numbers in the flights of peers stand for.
	flightTargets map[uint32][]pooledTarget
	// engineAddresses holds the engine's address of each target process that has reported
	// on its engine.
	engineAddresses map[contract.MachineID]string
	// knownEntries lists all entries that were known at any time, by machine: what an
	// entry that left has sent still counts, and it may return.
	knownEntries []contract.MachineID
	// runningEntries lists the entries of the current member list, sorted.
	runningEntries []contract.MachineID
	// ranked holds the queues of ranked services.
	ranked map[contract.ServiceName]*rankedService
	// entryZones holds the zones of the entries that were known at any time.
	entryZones map[contract.MachineID]contract.ZoneName
	// runClock measures for how long the process has run.
	runClock ejection.RunClock
	// pauses notices when the process stood still, standstills shorter times while requests were
	// under way.
	pauses, standstills *standstill.Detector
	rng                 *rand.Rand
}

func newFleetState(process *config.Process, logger log.Interface) *fleetState {
	return newFleetStateWithClock(process, logger, boottime.Time)
}

// newFleetStateWithClock is newFleetState with a clock that takes the place of boottime.Time.
func newFleetStateWithClock(process *config.Process, logger log.Interface, bootClock func() time.Time) *fleetState {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &fleetState{
		process:          process,
		bounds:           process.Fleet.Bounds,
		log:              logger,
		bootClock:        bootClock,
		startedAt:        time.Now(),
		startedBoot:      bootClock(),
		roster:           roster.New(process.Fleet.TargetReportInterval),
		evacuated:        map[contract.ZoneName]bool{},
		announced:        upgrade.NewVersionTracker(bootClock()),
		pools:            map[contract.ServiceName]*placement.Pool{},
		retryBudgets:     map[contract.ServiceName]*retry.Window{},
		returnEstimators: map[contract.ServiceName]*retry.ReturnEstimator{},
		runningEntries:   []contract.MachineID{},
		ranked:           map[contract.ServiceName]*rankedService{},
		peerFlights:      map[contract.MachineID]map[uint32]int{},
		engineAddresses:  map[contract.MachineID]string{},
		entryZones:       map[contract.MachineID]contract.ZoneName{},
		targetReports:    targetreport.NewTracker(),
		rateLimits:       ratelimit.NewTracker(rng),
		leaving:          leaving.NewTracker(),
		poison:           poison.NewTracker(rng),
		hedging:          hedgingState{settings: process.Fleet.Hedging},
		pauses:           standstill.NewDetectorWithClock(minPause, bootClock),
		standstills:      standstill.NewDetectorWithClock(minStandstill, bootClock),
		rng:              rng,
	}
}

// bootNow returns a time that goes on while the machine is suspended. It is time.Now in a process whose machine was not
// suspended.
func (fs *fleetState) bootNow() time.Time {
	return fs.startedAt.Add(fs.bootClock().Sub(fs.startedBoot))
}

// ready reports whether the entry has a manifest and a target list, so that it can serve
// requests.
func (fs *fleetState) ready() bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.manifest != nil && fs.targetsListed
}

// currentManifest returns the newest manifest; nil if none is known.
func (fs *fleetState) currentManifest() *catalog.Manifest {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.manifest
}

func (fs *fleetState) pool(name contract.ServiceName) *placement.Pool {
	p, ok := fs.pools[name]
	if !ok {
		home := placement.Place{Region: fs.process.Region, Zone: fs.process.Zone}
		rng := rand.New(rand.NewPCG(fs.rng.Uint64(), fs.rng.Uint64()))
		p = placement.NewPool(home, fs.process.Fleet.Zones, rng)
		p.SetEvacuated(fs.evacuated)
		p.SetRateLimits(fs.rateLimits)
		p.SetLeaving(fs.leaving)
		p.SetMembers(time.Now(), fs.roster.Members(name))
		fs.pools[name] = p
		fs.indexFlightTargets()
	}
	p.SetRunTime(fs.runClock.Advance(time.Now()))
	return p
}

// setStoreState records whether the store answers. If it has returned, it reports for how long targets
// are retained whose entries lapsed meanwhile; 0 otherwise.
func (fs *fleetState) setStoreState(s feed.StoreState) (retained time.Duration) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if !s.Up {
		fs.roster.StoreLost()
		return 0
	}
	now := time.Now()
	return fs.roster.StoreRecovered(now, s.AwayAt, fs.bounds.StableWindow-lapseMargin).Sub(now)
}

// dropLapsedTargets drops the targets whose listing lapsed while the store was lost and
// has not returned. answers are the latest ones of the store.
func (fs *fleetState) dropLapsedTargets(answers contract.StoreAnswers) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	dropped := fs.roster.Tick(time.Now(), answers)
	for _, id := range dropped {
		fs.log.WithField("target", string(id)).Info("target dropped: not listed again after an outage of the store")
	}
	if len(dropped) > 0 {
		fs.updatePoolMembers()
	}
}

// setFlightsComplete tells whether this entry is linked to all others, and so knows what all of
// them have in flight.
func (fs *fleetState) setFlightsComplete(complete bool) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	for _, p := range fs.pools {
		p.SetFlightsComplete(complete)
	}
}

// setEntries adds entries to those that share the fleet's bounds.
func (fs *fleetState) setEntries(entries []contract.MachineID) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if !slices.ContainsFunc(entries, func(id contract.MachineID) bool { return !fs.isKnownEntry(id) }) {
		return
	}
	union := append(slices.Clone(fs.knownEntries), entries...)
	slices.Sort(union)
	fs.knownEntries = slices.Compact(union)
	fs.updateShares()
}

func (fs *fleetState) isKnownEntry(id contract.MachineID) bool {
	_, ok := slices.BinarySearch(fs.knownEntries, id)
	return ok
}

// setEntryZones adds the zones of entries.
func (fs *fleetState) setEntryZones(zones map[contract.MachineID]contract.ZoneName) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	maps.Copy(fs.entryZones, zones)
}

// setBounds replaces the fleet's bounds.
func (fs *fleetState) setBounds(b config.Bounds) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.bounds = b
	fs.updateShares()
}

// shareCount returns the number by which the fleet's bounds are divided: the known
// entries and one that may have just joined.
func (fs *fleetState) shareCount() int {
	if len(fs.knownEntries) == 0 {
		return assumedEntries
	}
	return len(fs.knownEntries) + 1
}

// updateShares recomputes this entry's share of the fleet's bounds.
func (fs *fleetState) updateShares() {
	if fs.manifest == nil {
		return
	}
	for i := range fs.manifest.Services {
		s := &fs.manifest.Services[i]
		fs.pool(s.Name).SetColdShares(fs.coldShares(s))
		fs.pool(s.Name).SetEntryCount(len(fs.knownEntries))
		fs.retryBudget(s.Name).SetBounds(fs.retryBudgetBounds())
	}
	fs.updateSlotShares()
}

// coldShares returns how the entries divide the bounds on what a target of a service may
// get.
func (fs *fleetState) coldShares(s *catalog.Service) placement.ColdShares {
	return placement.ColdShares{EntryShares: fs.entryShares(), TotalLimit: fs.coldLimit(s)}
}

// entryShares returns how the entries divide what all of them together may do.
func (fs *fleetState) entryShares() placement.EntryShares {
	return placement.EntryShares{
		Self:       fs.process.Machine,
		Entries:    fs.knownEntries,
		Zones:      fs.entryZones,
		ShareCount: fs.shareCount(),
		StartedAt:  fs.startedAt,
	}
}

// coldLimit returns how many requests a target of a service may get in a second while it is
// cold; 0 for any number.
func (fs *fleetState) coldLimit(s *catalog.Service) int {
	if s.ColdRate <= 0 {
		return 0
	}
	return max(int(s.ColdRate*fs.bounds.ColdFactor+fs.bounds.ColdSlack), 1)
}

func (fs *fleetState) retryBudget(name contract.ServiceName) *retry.Window {
	b, ok := fs.retryBudgets[name]
	if !ok {
		length, ratio, burst := fs.retryBudgetBounds()
		b = retry.NewWindow(fs.startedAt, length, ratio, burst)
		fs.retryBudgets[name] = b
	}
	return b
}

// retryBudgetBounds returns the bounds of this entry's share of a service's retry budget.
// Without a known entry the size of a share of the burst is unknown, so there is none.
func (fs *fleetState) retryBudgetBounds() (length time.Duration, ratio, burst float64) {
	if len(fs.knownEntries) > 0 {
		burst = fs.bounds.RetryBurst * budgetShare / float64(fs.shareCount())
	}
	return fs.bounds.RetryWindow, fs.bounds.RetryRatio * budgetShare, burst
}

func (fs *fleetState) returnEstimator(name contract.ServiceName) *retry.ReturnEstimator {
	e, ok := fs.returnEstimators[name]
	if !ok {
		e = &retry.ReturnEstimator{}
		fs.returnEstimators[name] = e
	}
	return e
}

// oldestSendable returns the oldest version of a service's weights to which a request may be sent
// now whose first event is due within limit; 0 for any. A request that can be given up, and sent
// elsewhere, is sent as long as it should begin in time; for others the margin is wider.
func (fs *fleetState) oldestSendable(service contract.ServiceName, limit time.Duration, isRepeatable bool) int64 {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return fs.oldestSendableLocked(service, limit, isRepeatable)
}

// oldestSendableLocked is oldestSendable with mu locked.
func (fs *fleetState) oldestSendableLocked(service contract.ServiceName, limit time.Duration, isRepeatable bool) int64 {
	margin := upgrade.SendMargin
	if isRepeatable {
		margin = min(margin, upgrade.BeginMargin+limit)
	}
	return fs.oldestWithin(service, margin)
}

// oldestBeginning returns the oldest version of a service's weights on which a request that was
// sent may still begin; 0 for any.
func (fs *fleetState) oldestBeginning(service contract.ServiceName) int64 {
	return fs.oldestWithin(service, upgrade.BeginMargin)
}

// mayBegin reports whether a request that was sent may still begin on a version.
func (fs *fleetState) mayBegin(service contract.ServiceName, version int64) bool {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	return version >= fs.oldestBeginning(service)
}

// oldestWithin returns the oldest version of a service's weights whose bound does not end within
// margin; 0 for any.
func (fs *fleetState) oldestWithin(service contract.ServiceName, margin time.Duration) int64 {
	if fs.manifest == nil {
		return 0
	}
	s := fs.manifest.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	version := int64(0)
	for _, model := range s.Engine.Models {
		version = max(version, fs.announced.ForModel(model).OldestAllowed(fs.bootClock(), fs.bounds.OldVersionGrace, margin))
	}
	return version
}

// pieceCount returns the number of pieces of a model; 0 while no manifest that has the model is known.
func (fs *fleetState) pieceCount(model string) int {
	m := fs.currentManifest()
	if m == nil {
		return 0
	}
	for _, s := range m.Services {
		if s.Engine != nil && slices.Contains(s.Engine.Models, model) {
			return s.Engine.Chunks
		}
	}
	return 0
}

// newestVersions returns the newest version of each model in the manifest.
func (fs *fleetState) newestVersions() map[string]int64 {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	list := map[string]int64{}
	if fs.manifest == nil {
		return list
	}
	for _, s := range fs.manifest.Services {
		if s.Engine == nil {
			continue
		}
		for _, model := range s.Engine.Models {
			list[model] = max(fs.announced.ForModel(model).Newest(), upgrade.FirstVersion)
		}
	}
	return list
}
