package direct

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/weights/upgrade"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	// lookInterval is the time between two looks at the engine.
	lookInterval = 100 * time.Millisecond
	// neighbourTime is how long a target relies on the entries of its own zone.
	neighbourTime = 1500 * time.Millisecond
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
	// reportedAt is when the engine last answered.
	reportedAt time.Time
	up         bool
	// announced tells that an order is near or was given.
	announced bool
	orderedAt time.Time

	// goals lists the versions wanted, oldest first.
	goals []*goal
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
	periodic.Run(ctx, lookInterval, func() { k.step(ctx) })
}

// step looks at the engine and brings it nearer to the version wanted.
func (k *keeper) step(ctx context.Context) {
	k.look(ctx)
	version, origin, ok := k.target.wanted()
	if !ok {
		return
	}
	k.want(ctx, version, origin)
	if g := k.next(); g != nil {
		k.stage(ctx, g)
		k.decide(ctx, g)
	}
}

// look reads the engine's report and tells entries of a change at once.
func (k *keeper) look(ctx context.Context) {
	report, err := k.engine.Report(ctx)
	before, was, after, is := k.take(report, err == nil)
	if was == is && (!is || sameState(before, after)) {
		return
	}
	k.log.WithField("up", is).WithField("version", after.Model.Version).WithField("layers", after.Model.Layers).
		WithField("busy", after.Busy).WithField("born", after.Born).Info("engine changed")
	k.target.peers.SendHeartbeats()
}

// take replaces the report, unless the engine did not answer, and returns what was
// known before and is known now.
func (k *keeper) take(report platform.Report, answers bool) (before platform.Report, was bool, after platform.Report, is bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	before, was = k.report, k.up
	k.up = answers
	if answers {
		k.report, k.reportedAt = report, time.Now()
		if report.Born != before.Born || k.orderShows() {
			k.announced, k.orderedAt = false, time.Time{}
		}
	}
	return before, was, k.report, k.up
}

// orderShows reports whether an order that was given is over.
func (k *keeper) orderShows() bool {
	return !k.orderedAt.IsZero() && time.Since(k.orderedAt) > orderGrace && !k.report.Busy
}

// sameState reports whether two reports mean the same to entries.
func sameState(a, b platform.Report) bool {
	return a.Born == b.Born && a.Busy == b.Busy && a.Model.Version == b.Model.Version && a.Model.Layers == b.Model.Layers
}

// want adds the newest version to the goals and starts to fetch what is missing.
func (k *keeper) want(ctx context.Context, v weightcache.Version, origin catalog.Origin) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.goals = addGoal(k.goals, v)
	for _, g := range k.goals {
		if g.fetching || g.whole() || !k.need(g.version).ShouldFetch() {
			continue
		}
		g.fetching = true
		go k.fetch(ctx, g, origin)
	}
}

// need is what is known of the engine's want of a version; mu must be held.
func (k *keeper) need(v weightcache.Version) upgrade.FetchState {
	return upgrade.FetchState{
		Up:        k.up,
		Loaded:    k.whole(),
		Desired:   v.Number,
		HasBeenUp: k.report.Born != 0,
		Returned:  k.target.peers.HasPreviousRun(),
	}
}

// next is the goal to work towards, or nil.
func (k *keeper) next() *goal {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.up {
		return nil
	}
	return next(k.goals, k.whole())
}

// current returns the pieces of a goal that are there.
func (k *keeper) current(g *goal) func() *pieces.Set {
	return func() *pieces.Set {
		k.mu.Lock()
		defer k.mu.Unlock()
		return g.set
	}
}

// begin makes the set of pieces of a goal.
func (k *keeper) begin(g *goal) func([][]byte) *pieces.Set {
	return func(digests [][]byte) *pieces.Set {
		k.mu.Lock()
		defer k.mu.Unlock()
		if g.set == nil {
			g.set = pieces.NewSet(digests)
		}
		return g.set
	}
}

// fetch gets the pieces of a goal from the entries of the zone, then from any
// entry, until it is whole or the engine needs it no longer.
func (k *keeper) fetch(ctx context.Context, g *goal, origin catalog.Origin) {
	const retryPause = 100 * time.Millisecond
	start := time.Now()
	entry := k.log.WithField("version", g.version.String())
	defer k.fetched(g)
	for ctx.Err() == nil && k.needs(g) {
		for _, id := range k.sources(g.version, origin, time.Since(start)) {
			_, err := weightcache.Fetch(ctx, k.target.peers, id, g.version, weightcache.FetchFollow, k.current(g), k.begin(g))
			k.target.meters.counted("fetches", err)
			if err != nil {
				entry.WithError(err).WithField("entry", string(id)).Warn("pieces not received")
			}
			if set := k.current(g)(); set != nil && set.IsComplete() {
				entry.WithField("ms", time.Since(start).Milliseconds()).Info("pieces received")
				return
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(retryPause):
		}
	}
}

// needs reports whether a goal still stands and its pieces are to be fetched.
func (k *keeper) needs(g *goal) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return slices.Contains(k.goals, g) && k.need(g.version).ShouldFetch()
}

// fetched tells that the pieces of a goal are no longer being fetched.
func (k *keeper) fetched(g *goal) {
	k.mu.Lock()
	defer k.mu.Unlock()
	g.fetching = false
}

// sources lists the linked entries to ask: those of the own zone, and after patience
// those of others, whose pieces come over the links between regions.
func (k *keeper) sources(v weightcache.Version, origin catalog.Origin, waited time.Duration) []contract.MachineID {
	own := k.target.process.Zone
	ranked := weightcache.RankEntries(v, k.target.peers.Members(link.RoleEntry), origin.Zone)
	var near, far []contract.MachineID
	for _, m := range ranked {
		switch {
		case !k.target.peers.IsLinked(m.Machine):
		case m.Zone == own:
			near = append(near, m.Machine)
		default:
			far = append(far, m.Machine)
		}
	}
	rank, of := k.rank()
	near = upgrade.OrderSources(near, rank, of)
	if waited < neighbourTime {
		return near
	}
	return append(near, far...)
}

// stage puts the pieces of a goal beside the engine, over those of any other.
func (k *keeper) stage(ctx context.Context, g *goal) {
	k.mu.Lock()
	born := k.report.Born
	done := g.isStaged(born)
	k.mu.Unlock()
	if done {
		return
	}
	for i := range g.set.Len() {
		err := k.engine.Stage(ctx, g.version.Model, i, g.set.Get(i))
		k.target.meters.counted("pieces_staged", err)
		if err != nil {
			k.log.WithError(err).WithField("piece", i).Warn("piece not staged")
			return
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, other := range k.goals {
		other.stagedAt = time.Time{}
	}
	g.stagedAt, g.stagedFor = time.Now(), born
}

// decide gives the order to load a goal when its time has come.
func (k *keeper) decide(ctx context.Context, g *goal) {
	rank, of := k.rank()
	bound := k.target.versionBound()
	k.mu.Lock()
	view := upgrade.EngineState{
		Now:         time.Now(),
		Up:          k.up,
		Busy:        k.report.Busy || !k.orderedAt.IsZero() && time.Since(k.orderedAt) < orderGrace,
		Loaded:      k.whole(),
		Desired:     g.version.Number,
		BehindSince: k.target.behindSince(g.version.Model, k.whole()),
		Rank:        rank,
		ZoneTargets: of,
		Bound:       bound,
	}
	if g.isStaged(k.report.Born) {
		view.StagedAt = g.stagedAt
	}
	step := upgrade.Decide(view)
	announce := step != upgrade.Wait && !k.announced
	if announce {
		k.announced = true
	}
	k.mu.Unlock()
	if announce {
		k.target.peers.SendHeartbeats()
	}
	if step == upgrade.Load {
		k.order(ctx, g)
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
func (k *keeper) order(ctx context.Context, g *goal) {
	entry := k.log.WithField("version", g.version.String())
	for i := range g.set.Len() {
		if err := k.check(ctx, g.set, g.version.Model, i); err != nil {
			entry.WithError(err).WithField("piece", i).Warn("staged piece not checked")
			return
		}
	}
	err := k.engine.Load(ctx, g.version.Model, g.version.Number)
	k.target.meters.counted("orders", err)
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
		k.target.meters.spoilt()
		k.log.WithError(err).WithField("piece", i).Warn("staged piece spoilt")
		if err := k.engine.Stage(ctx, model, i, set.Get(i)); err != nil {
			return err
		}
	}
	return errors.Newf("piece %d does not stay whole", i)
}
