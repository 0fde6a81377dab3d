package direct

import (
	"context"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/depot"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upkeep"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// lookInterval is the time between two looks at the engine.
	lookInterval = 100 * time.Millisecond
	// orderGrace is how long after an order the engine's report may not show it yet.
	orderGrace = 600 * time.Millisecond
)

// keeper keeps one engine's weights up to date.
type keeper struct {
	target *Target
	engine *platform.EngineClient
	log    log.Interface

	mu     sync.Mutex
	report platform.Report
	up     bool
	// announced tells that an order is near or was given.
	announced bool
	orderedAt time.Time

	// The rest belongs to run and to the fetch of one version at a time.
	version  depot.Version
	set      *pieces.Set
	fetching bool
	stagedAt time.Time
	// stagedFor is the engine's life that the pieces were staged for.
	stagedFor int64
}

func newKeeper(t *Target) *keeper {
	return &keeper{
		target: t,
		engine: platform.NewEngineClient(t.process.Fleet.EngineAddress),
		log:    logs.For("keeper", t.process.Machine),
	}
}

// status is what entries are told of the engine.
func (k *keeper) status() *contract.EngineStatus {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := &contract.EngineStatus{
		Address:  k.target.process.Fleet.EngineAddress,
		Born:     k.report.Born,
		Up:       k.up,
		Changing: k.announced || k.report.Busy,
		Running:  uint32(max(k.report.Running, 0)),
		Queued:   uint32(max(k.report.Queued, 0)),
	}
	if k.up {
		s.Version = k.whole()
	}
	return s
}

// whole is the version that the engine holds whole; 0 if none.
func (k *keeper) whole() int64 {
	if k.report.Model.Layers == 0 {
		return 0
	}
	return k.report.Model.Version
}

func (k *keeper) run(ctx context.Context) {
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		k.look(ctx)
		model, version, origin, ok := k.target.wanted()
		if !ok {
			continue
		}
		k.want(ctx, depot.Version{Model: model, Number: version.version}, origin)
		k.stage(ctx)
		k.decide(ctx, version)
	}
}

// look reads the engine's report.
func (k *keeper) look(ctx context.Context) {
	report, err := k.engine.Report(ctx)
	k.mu.Lock()
	before, was := k.report, k.up
	k.up = err == nil
	if k.up {
		k.report = report
	}
	if k.announced && k.up && !report.Busy && time.Since(k.orderedAt) > orderGrace && !k.orderedAt.IsZero() {
		k.announced = false
	}
	if k.up && report.Born != before.Born {
		k.announced = false
	}
	now := k.up
	k.mu.Unlock()
	changed := now != was || report.Model.Version != before.Model.Version || report.Model.Layers != before.Model.Layers || report.Busy != before.Busy
	if !changed || err != nil && !was {
		return
	}
	k.log.WithField("up", now).WithField("version", report.Model.Version).WithField("layers", report.Model.Layers).
		WithField("busy", report.Busy).WithField("born", report.Born).Info("engine changed")
	k.target.peers.BeatNow()
}

// want starts to fetch a version that is not there yet.
func (k *keeper) want(ctx context.Context, v depot.Version, origin catalog.Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if v != k.version {
		k.version, k.set, k.stagedAt, k.fetching = v, nil, time.Time{}, false
	}
	if k.fetching || k.set != nil && k.set.Whole() {
		return
	}
	if k.up && k.whole() >= v.Number {
		return
	}
	k.fetching = true
	go k.fetch(ctx, v, origin)
}

func (k *keeper) current(v depot.Version) func() *pieces.Set {
	return func() *pieces.Set {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.version != v {
			return nil
		}
		return k.set
	}
}

// begin makes the set of pieces of a version, unless another is wanted by now.
func (k *keeper) begin(v depot.Version) func([][]byte) *pieces.Set {
	return func(digests [][]byte) *pieces.Set {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.version != v {
			return pieces.NewSet(digests)
		}
		if k.set == nil {
			k.set = pieces.NewSet(digests)
		}
		return k.set
	}
}

// fetch gets the pieces of a version from the entries of the zone, then from any
// entry, until it is whole or no longer wanted.
func (k *keeper) fetch(ctx context.Context, v depot.Version, origin catalog.Origin) {
	const retryPause = 200 * time.Millisecond
	start := time.Now()
	for ctx.Err() == nil && k.isWanted(v) {
		for _, id := range k.sources(v, origin) {
			_, err := depot.Fetch(ctx, k.target.peers, id, v, false, k.current(v), k.begin(v))
			if err != nil {
				k.log.WithError(err).WithField("entry", string(id)).WithField("version", v.String()).Warn("pieces not received")
			}
			if set := k.current(v)(); set != nil && set.Whole() {
				k.log.WithField("version", v.String()).WithField("ms", time.Since(start).Milliseconds()).Info("pieces received")
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

func (k *keeper) isWanted(v depot.Version) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.version == v
}

// sources lists the linked entries to ask, those of the own zone first.
func (k *keeper) sources(v depot.Version, origin catalog.Origin) []contract.MachineID {
	members := k.target.peers.Members(link.RoleEntry)
	ranked := depot.Rank(v, members, origin.Zone)
	sort.SliceStable(ranked, func(i, j int) bool {
		own := k.target.process.Zone
		return ranked[i].Zone == own && ranked[j].Zone != own
	})
	var list []contract.MachineID
	for _, m := range ranked {
		if k.target.peers.Linked(m.Machine) {
			list = append(list, m.Machine)
		}
	}
	return list
}

// stage puts the pieces beside the engine.
func (k *keeper) stage(ctx context.Context) {
	k.mu.Lock()
	set, up, born, v := k.set, k.up, k.report.Born, k.version
	loaded := k.whole()
	done := !k.stagedAt.IsZero() && k.stagedFor == born
	k.mu.Unlock()
	if set == nil || !set.Whole() || !up || done || loaded >= v.Number {
		return
	}
	for i := range set.Len() {
		if err := k.engine.Stage(ctx, v.Model, i, set.Get(i)); err != nil {
			k.log.WithError(err).WithField("piece", i).Warn("piece not staged")
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stagedAt, k.stagedFor = time.Now(), born
}

// decide gives the order to load when its time has come.
func (k *keeper) decide(ctx context.Context, wanted named) {
	rank, of := k.rank()
	k.mu.Lock()
	view := upkeep.View{
		Now:      time.Now(),
		Up:       k.up,
		Busy:     k.report.Busy || !k.orderedAt.IsZero() && time.Since(k.orderedAt) < orderGrace,
		Loaded:   k.whole(),
		Wanted:   wanted.version,
		WantedAt: wanted.at,
		StagedAt: k.stagedAt,
		Rank:     rank,
		Of:       of,
		Bound:    k.target.process.Fleet.Bounds.Version,
	}
	step := upkeep.Decide(view)
	announce := step != upkeep.Wait && !k.announced
	if announce {
		k.announced = true
	}
	k.mu.Unlock()
	if announce {
		k.target.peers.BeatNow()
	}
	if step == upkeep.Load {
		k.order(ctx, wanted.version)
	}
}

// rank is this target's place among those of its zone.
func (k *keeper) rank() (rank, of int) {
	self := k.target.process
	for _, m := range k.target.peers.Members(link.RoleTarget) {
		if m.Zone != self.Zone {
			continue
		}
		if m.Machine < self.Machine {
			rank++
		}
		of++
	}
	return rank, of
}

// order checks what lies beside the engine and has it loaded.
func (k *keeper) order(ctx context.Context, version int64) {
	k.mu.Lock()
	set, v := k.set, k.version
	k.mu.Unlock()
	if set == nil || v.Number != version {
		return
	}
	for i := range set.Len() {
		if err := k.check(ctx, set, v.Model, i); err != nil {
			k.log.WithError(err).WithField("piece", i).Warn("staged piece not checked")
			return
		}
	}
	err := k.engine.Load(ctx, v.Model, version)
	entry := k.log.WithField("version", v.String())
	if err != nil {
		entry.WithError(err).Warn("order refused")
		return
	}
	entry.Info("order given")
	k.mu.Lock()
	k.orderedAt = time.Now()
	k.mu.Unlock()
}

// check reads a staged piece back and replaces it if it is not right.
func (k *keeper) check(ctx context.Context, set *pieces.Set, model string, i int) error {
	const tries = 3
	for range tries {
		data, err := k.engine.Staged(ctx, model, i)
		if err == nil {
			if err = set.Verify(i, data); err == nil {
				return nil
			}
		}
		k.log.WithError(err).WithField("piece", i).Warn("staged piece spoilt")
		if err := k.engine.Stage(ctx, model, i, set.Get(i)); err != nil {
			return err
		}
	}
	return errors.Newf("piece %d does not stay whole", i)
}
