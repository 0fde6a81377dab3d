package direct

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// budgetMargin is the part of the fleet's retry budget that entries share; the
	// rest covers entries that have just joined.
	budgetMargin = 0.85
	// versionMargin is how long before the bound an entry sends nothing more to an
	// older version: a request may wait at the target before it begins.
	versionMargin = 1800 * time.Millisecond
	// unknownEntries stands for the number of entries while it is not known.
	unknownEntries = 16
)

// world is what the entry knows of the fleet. It joins the decision packages;
// every method is safe for concurrent use.
type world struct {
	process *config.Process
	log     log.Interface

	mu sync.Mutex
	// bounds are those of the fleet, which may change while the process runs.
	bounds   config.Bounds
	manifest *catalog.Manifest
	// manifestAt is when the manifest came into force.
	manifestAt time.Time
	roster     *roster.Roster
	listed     bool
	evacuated  map[contract.ZoneName]bool
	named      map[string]named
	pools      map[contract.ServiceName]*placement.Pool
	budgets    map[contract.ServiceName]*retry.Window
	comebacks  map[contract.ServiceName]*retry.Comeback
	flights    map[contract.MachineID]map[roster.TargetID]int
	entries    int
	rng        *rand.Rand
}

// named is a version of weights that operators have named.
type named struct {
	version int64
	at      time.Time
}

func newWorld(process *config.Process, logger log.Interface) *world {
	return &world{
		process:   process,
		bounds:    process.Fleet.Bounds,
		log:       logger,
		roster:    roster.New(),
		evacuated: map[contract.ZoneName]bool{},
		named:     map[string]named{},
		pools:     map[contract.ServiceName]*placement.Pool{},
		budgets:   map[contract.ServiceName]*retry.Window{},
		comebacks: map[contract.ServiceName]*retry.Comeback{},
		flights:   map[contract.MachineID]map[roster.TargetID]int{},
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

// operatorsChanged takes in what operators have written.
func (w *world) operatorsChanged(records []contract.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range records {
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
			w.versionNamed(model, r)
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

func (w *world) versionNamed(model string, r contract.Record) {
	version, err := platform.DecodeVersion(r.Value)
	if err != nil {
		w.log.WithError(err).WithField("offset", r.Offset).Warn("named version ignored")
		return
	}
	if version <= w.named[model].version {
		return
	}
	w.named[model] = named{version: version, at: time.Now()}
	w.log.WithField("model", model).WithField("version", version).Info("version named")
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

// targetsChanged takes in the platform's list of targets.
func (w *world) targetsChanged(records []contract.Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for _, r := range records {
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
	w.roster.List(now, t)
}

func (w *world) membersChanged() {
	for name, p := range w.pools {
		p.SetMembers(w.roster.Members(name))
	}
}

// storeChanged records that the store is lost or back.
func (w *world) storeChanged(up bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if up {
		w.roster.StoreBack(time.Now())
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

// setEntries tells how many entries share what the fleet may send.
func (w *world) setEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if n <= w.entries {
		return
	}
	w.entries = n
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
func (w *world) sharers() float64 {
	if w.entries == 0 {
		return unknownEntries
	}
	return float64(w.entries + 1)
}

// shareChanged computes this entry's part of the fleet's bounds.
func (w *world) shareChanged() {
	bounds := w.bounds
	if w.manifest == nil {
		return
	}
	for i := range w.manifest.Services {
		s := &w.manifest.Services[i]
		share := 0
		if s.ColdRate > 0 {
			share = max(int((s.ColdRate*bounds.ColdFactor+bounds.ColdSlack)/w.sharers()), 1)
		}
		w.pool(s.Name).SetColdShare(share)
		w.pool(s.Name).SetEntries(w.entries)
		w.budget(s.Name).SetBurst(bounds.RetryBurst * budgetMargin / w.sharers())
	}
}

func (w *world) budget(name contract.ServiceName) *retry.Window {
	b, ok := w.budgets[name]
	if !ok {
		bounds := w.bounds
		b = retry.NewWindow(bounds.RetryWindow, bounds.RetryRatio*budgetMargin, bounds.RetryBurst*budgetMargin/w.sharers())
		w.budgets[name] = b
	}
	return b
}

func (w *world) comeback(name contract.ServiceName) *retry.Comeback {
	c, ok := w.comebacks[name]
	if !ok {
		c = &retry.Comeback{}
		w.comebacks[name] = c
	}
	return c
}

// beat takes in a peer's heartbeat.
func (w *world) beat(hb contract.Heartbeat) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if e := hb.Engine; e != nil {
		w.roster.Report(now, e.Address, e.Born, roster.Status{
			Version:  e.Version,
			Ready:    e.Up && e.Version > 0,
			Changing: e.Changing,
			Running:  int(e.Running),
			Queued:   int(e.Queued),
		})
		return
	}
	flights := map[roster.TargetID]int{}
	for _, f := range hb.Flights {
		flights[roster.TargetID(f.Target)] = int(f.Count)
	}
	w.setFlights(hb.Machine, flights)
}

// peerDown forgets what a peer had in flight.
func (w *world) peerDown(id contract.MachineID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setFlights(id, nil)
}

func (w *world) setFlights(id contract.MachineID, flights map[roster.TargetID]int) {
	touched := map[roster.TargetID]bool{}
	for target := range w.flights[id] {
		touched[target] = true
	}
	for target := range flights {
		touched[target] = true
	}
	w.flights[id] = flights
	for target := range touched {
		total := 0
		for _, f := range w.flights {
			total += f[target]
		}
		if m := w.roster.Member(target); m != nil {
			w.pool(m.Service).SetOthers(target, float64(total))
		}
	}
}

// ownFlights lists what this entry has in flight, for its heartbeats.
func (w *world) ownFlights() []contract.Flight {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []contract.Flight
	for _, p := range w.pools {
		for id, n := range p.InFlight() {
			list = append(list, contract.Flight{Target: string(id), Count: uint32(n)})
		}
	}
	return list
}

// minVersion is the oldest version of a service's weights that may begin now.
func (w *world) minVersion(service contract.ServiceName) int64 {
	s := w.manifest.Service(service)
	if s == nil || s.Engine == nil {
		return 0
	}
	oldest := int64(0)
	for _, model := range s.Engine.Models {
		n := w.named[model]
		if n.version > 0 && time.Since(n.at) > w.bounds.Version-versionMargin {
			oldest = max(oldest, n.version)
		}
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
			list[model] = max(w.named[model].version, 1)
		}
	}
	return list
}

// overview sums up what the entry believes, for its metrics.
type overview struct {
	targets, out int
	manifest     int64
	age          time.Duration
	budgets      map[contract.ServiceName]float64
}

func (w *world) overview() overview {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := overview{targets: w.roster.Len(), budgets: map[contract.ServiceName]float64{}}
	now := time.Now()
	for _, p := range w.pools {
		v.out += p.Out(now)
	}
	for name, b := range w.budgets {
		v.budgets[name] = b.Left(now)
	}
	if w.manifest != nil {
		v.manifest, v.age = w.manifest.Version, now.Sub(w.manifestAt)
	}
	return v
}
