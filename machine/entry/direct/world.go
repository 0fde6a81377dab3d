package direct

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/ejection"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// budgetMargin is the part of the fleet's retry budget that entries share; the
	// rest covers entries that have just joined.
	budgetMargin = 0.85
	// unknownEntries stands for the number of entries while it is not known.
	unknownEntries = 16
)

// world is what the entry knows of the fleet. It joins the decision packages;
// every method is safe for concurrent use.
type world struct {
	process *config.Process
	log     log.Interface
	// started is when this process began to count what it sends.
	started time.Time

	mu sync.Mutex
	// bounds are those of the fleet, which may change while the process runs.
	bounds   config.Bounds
	manifest *catalog.Manifest
	// manifestAt is when the manifest came into force.
	manifestAt time.Time
	roster     *roster.Roster
	listed     bool
	evacuated  map[contract.ZoneName]bool
	named      *upgrade.VersionTracker
	pools      map[contract.ServiceName]*placement.Pool
	budgets    map[contract.ServiceName]*retry.Window
	comebacks  map[contract.ServiceName]*retry.ReturnEstimator
	flights    map[contract.MachineID]map[uint32]int
	// watched holds the engine's address of each target process that has told of it.
	watched map[contract.MachineID]string
	// entries are all that were known at any time, by machine: what one that left has
	// sent still counts, and it may come back.
	entries []contract.MachineID
	// awake measures for how long the process has run.
	awake ejection.RunClock
	rng   *rand.Rand
}

func newWorld(process *config.Process, logger log.Interface) *world {
	return &world{
		process:   process,
		bounds:    process.Fleet.Bounds,
		log:       logger,
		started:   time.Now(),
		roster:    roster.New(),
		evacuated: map[contract.ZoneName]bool{},
		named:     upgrade.NewVersionTracker(time.Now()),
		pools:     map[contract.ServiceName]*placement.Pool{},
		budgets:   map[contract.ServiceName]*retry.Window{},
		comebacks: map[contract.ServiceName]*retry.ReturnEstimator{},
		flights:   map[contract.MachineID]map[uint32]int{},
		watched:   map[contract.MachineID]string{},
		rng:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
}

// ready reports whether requests can be answered.
func (w *world) ready() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manifest != nil && w.listed
}

// current is the newest manifest; nil if none is known.
func (w *world) current() *catalog.Manifest {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.manifest
}

func (w *world) pool(name contract.ServiceName) *placement.Pool {
	p, ok := w.pools[name]
	if !ok {
		home := placement.Place{Region: w.process.Region, Zone: w.process.Zone}
		rng := rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64()))
		p = placement.NewPool(home, w.process.Fleet.Zones, rng)
		p.SetEvacuated(w.evacuated)
		p.SetMembers(w.roster.Members(name))
		w.pools[name] = p
	}
	return p
}

// storeChanged records that the store is lost or back.
func (w *world) storeChanged(up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if up {
		w.roster.StoreRecovered(time.Now())
	} else {
		w.roster.StoreLost(time.Now())
	}
}

// tick drops what has lapsed.
func (w *world) tick() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.roster.Tick(time.Now())
	w.membersChanged()
}

// setEntries tells which entries share what the fleet may send.
func (w *world) setEntries(known []contract.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	union := append(slices.Clone(w.entries), known...)
	slices.Sort(union)
	union = slices.Compact(union)
	if len(union) == len(w.entries) {
		return
	}
	w.entries = union
	w.shareChanged()
}

// setBounds replaces the fleet's bounds.
func (w *world) setBounds(b config.Bounds) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bounds = b
	w.shareChanged()
}

// sharers is the number by which the fleet's bounds are divided: the entries
// known and one that may have just joined.
func (w *world) sharers() int {
	if len(w.entries) == 0 {
		return unknownEntries
	}
	return len(w.entries) + 1
}

// shareChanged computes this entry's part of the fleet's bounds.
func (w *world) shareChanged() {
	if w.manifest == nil {
		return
	}
	for i := range w.manifest.Services {
		s := &w.manifest.Services[i]
		w.pool(s.Name).SetColdShares(w.coldShares(s))
		w.pool(s.Name).SetEntryCount(len(w.entries))
		w.budget(s.Name).SetBounds(w.budgetBounds())
	}
}

// coldShares divides what a target of a service may get in a second while it is cold.
func (w *world) coldShares(s *catalog.Service) placement.ColdShares {
	if s.ColdRate <= 0 {
		return placement.ColdShares{}
	}
	bound := int(s.ColdRate*w.bounds.ColdFactor + w.bounds.ColdSlack)
	return placement.ColdShares{
		TotalLimit: max(bound, 1),
		Self:       w.process.Machine,
		Entries:    w.entries,
		ShareCount: w.sharers(),
		StartedAt:  w.started,
	}
}

func (w *world) budget(name contract.ServiceName) *retry.Window {
	b, ok := w.budgets[name]
	if !ok {
		length, ratio, burst := w.budgetBounds()
		b = retry.NewWindow(w.started, length, ratio, burst)
		w.budgets[name] = b
	}
	return b
}

// budgetBounds are the bounds of this entry's part of a service's retry budget.
func (w *world) budgetBounds() (length time.Duration, ratio, burst float64) {
	return w.bounds.RetryWindow, w.bounds.RetryRatio * budgetMargin, w.bounds.RetryBurst * budgetMargin / float64(w.sharers())
}

func (w *world) comeback(name contract.ServiceName) *retry.ReturnEstimator {
	c, ok := w.comebacks[name]
	if !ok {
		c = &retry.ReturnEstimator{}
		w.comebacks[name] = c
	}
	return c
}

// minVersion is the oldest version of a service's weights that may begin now.
func (w *world) minVersion(service contract.ServiceName) int64 {
	s := w.manifest.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	oldest := int64(0)
	for _, model := range s.Engine.Models {
		oldest = max(oldest, w.named.ForModel(model).OldestAllowed(time.Now(), w.bounds.Version, upgrade.SendMargin))
	}
	return oldest
}

// versionsInForce lists the newest version of each model.
func (w *world) versionsInForce() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := map[string]int64{}
	if w.manifest == nil {
		return list
	}
	for _, s := range w.manifest.Services {
		if s.Engine == nil {
			continue
		}
		for _, model := range s.Engine.Models {
			list[model] = max(w.named.ForModel(model).Newest(), upgrade.FirstVersion)
		}
	}
	return list
}
