package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/roster"
)

// fleetLoad simulates the entries of a fleet that place requests on its engines, and know the load
// of these from reports.
type fleetLoad struct {
	rng     *rand.Rand
	zones   int
	roster  *roster.Roster
	engines []*fleetEngine
	pools   []*Pool
	// mean is the mean time between two requests to the fleet.
	mean      time.Duration
	objective time.Duration
	service   *catalog.Service
	// perfect has a dispatcher that knows all loads place each request at the engine with the
	// least, in place of the entries.
	perfect bool
	// skew is how many times as many requests as the others the first entry gets.
	skew int

	requests, refused, rejected, late int
}

// fleetEngine runs requests in order of arrival and turns them away when too many wait.
type fleetEngine struct {
	simulatedEngine
	member *roster.Member
	ends   []time.Time
	// history holds the load at the last reports, the newest last.
	history []int
}

const (
	// loadReportInterval is the time between two reports of an engine's load, which reach the
	// entries one interval later.
	loadReportInterval = 250 * time.Millisecond
	// maxQueued is how many requests may wait at an engine.
	maxQueued = 2
)

func newFleetLoad(seed uint64, service *catalog.Service, zones, entries, engines int, utilization float64) *fleetLoad {
	f := &fleetLoad{rng: rand.New(rand.NewPCG(seed, 1)), zones: zones, roster: roster.New(0), objective: 400 * time.Millisecond, skew: 1, service: service}
	regions := map[contract.ZoneName]contract.RegionName{}
	for z := range zones {
		regions[f.zone(z)] = contract.RegionName("r" + f.zone(z))
	}
	model := NewLatencyModel(service, 0)
	f.objective = max(f.objective, 2*model.FirstEventDelay(0))
	for i := range engines {
		m := engineMember(fmt.Sprintf("engine-%03d", i), f.zone(i))
		f.roster.Update(start, m.Target, time.Time{})
		f.engines = append(f.engines, &fleetEngine{simulatedEngine: simulatedEngine{slots: model.slots, service: model.RequestDuration()}})
	}
	for i, m := range f.roster.Members("") {
		f.engines[i].member = m
	}
	for i := range entries {
		home := Place{Zone: f.zone(i), Region: contract.RegionName("r" + f.zone(i))}
		p := NewPool(home, regions, rand.New(rand.NewPCG(seed, uint64(i+2))))
		p.SetService(service)
		p.SetMembers(start, f.roster.Members(""))
		p.SetEntryCount(entries)
		f.pools = append(f.pools, p)
	}
	f.mean = time.Duration(float64(model.CompletionInterval()) / float64(engines) / utilization)
	return f
}

func (f *fleetLoad) zone(i int) contract.ZoneName { return contract.ZoneName(fmt.Sprint(i % f.zones)) }

// fill has each engine run a share of its slots at the start, and the entries know of it.
func (f *fleetLoad) fill(share float64) {
	for _, e := range f.engines {
		for range int(share * float64(e.slots)) {
			end := start.Add(time.Duration(f.rng.Int64N(int64(e.service))))
			heap.Push(&e.running, end)
			e.ends = append(e.ends, end)
		}
	}
	f.report(start)
	f.report(start)
}

// run plays the load for some time.
func (f *fleetLoad) run(d time.Duration) {
	now, nextReport := start, start
	type ended struct {
		at   time.Time
		pool *Pool
		id   roster.TargetID
	}
	var running []ended
	for now.Before(start.Add(d)) {
		now = now.Add(time.Duration(f.rng.ExpFloat64() * float64(f.mean)))
		for ; !nextReport.After(now); nextReport = nextReport.Add(loadReportInterval) {
			f.report(nextReport)
		}
		kept := running[:0]
		for _, r := range running {
			if r.at.After(now) {
				kept = append(kept, r)
				continue
			}
			r.pool.Ended(r.id)
		}
		running = kept
		f.requests++
		p := f.pools[max(f.rng.IntN(len(f.pools)+f.skew-1)-f.skew+1, 0)]
		c, outcome := f.pick(now, p)
		if outcome != Placed {
			f.refused++
			continue
		}
		p.Sent(now, c.ID)
		e := f.engineOf(c.ID)
		if e.load(now) >= e.slots+maxQueued {
			f.rejected++
			p.Refused(now, c.ID)
			p.Ended(c.ID)
			continue
		}
		begin, end := e.enqueue(now)
		if begin.Sub(now) > f.objective-NewLatencyModel(f.service, 0).FirstEventDelay(0) {
			f.late++
		}
		e.ends = append(e.ends, end)
		running = append(running, ended{end, p, c.ID})
	}
}

// pick chooses the target of a request that arrives at an entry.
func (f *fleetLoad) pick(now time.Time, p *Pool) (Choice, Refusal) {
	if !f.perfect {
		return p.Pick(now, Requirements{}, f.objective)
	}
	best := slices.MinFunc(f.engines, func(a, b *fleetEngine) int { return cmp.Compare(a.load(now), b.load(now)) })
	if best.load(now) >= best.slots+maxQueued {
		return Choice{}, Full
	}
	return Choice{ID: best.member.ID}, Placed
}

// served returns the share of the requests that begin in time.
func (f *fleetLoad) served() float64 {
	return float64(f.requests-f.refused-f.rejected-f.late) / float64(f.requests)
}

func (f *fleetLoad) engineOf(id roster.TargetID) *fleetEngine {
	for _, e := range f.engines {
		if e.member.ID == id {
			return e
		}
	}
	return nil
}

// load returns the number of requests that run or wait.
func (e *fleetEngine) load(now time.Time) int {
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	e.ends = kept
	return len(kept)
}

// report has the entries learn of the loads one interval ago.
func (f *fleetLoad) report(now time.Time) {
	for _, e := range f.engines {
		e.history = append(e.history, e.load(now))
		if len(e.history) < 2 {
			continue
		}
		load := e.history[len(e.history)-2]
		f.roster.ApplyRelayed(roster.ReportKeyOf(e.member.Address, e.member.Born), now.Add(-loadReportInterval),
			roster.Status{Version: 1, Ready: true, Load: load, HasLoad: true})
	}
}

// Guards against entries that all choose the same engines, since they know the same: with 148 of
// them engines turned a fifth of the requests away although a third of their places was free, and
// more of them the more entries there were. At seven tenths of the load that the
// engines bear, at most one request in ten may find its engine full.
func TestEntriesSpreadOverEngines(t *testing.T) {
	const utilization, maxRejected = 0.7, 0.1
	for _, c := range []struct{ zones, entries, engines, skew int }{
		{3, 9, 12, 1},
		{3, 38, 45, 1},
		{5, 148, 120, 1},
		{5, 148, 120, 150},
	} {
		for seed := range uint64(3) {
			f := newFleetLoad(seed, modelService(), c.zones, c.entries, c.engines, utilization)
			f.skew = c.skew
			f.run(20 * time.Second)
			rejected := float64(f.rejected) / float64(f.requests)
			t.Logf("%d entries, %d engines, first entry %d times as busy: of %d requests %.3f refused, %.3f turned away, %.3f late", c.entries, c.engines, c.skew, f.requests,
				float64(f.refused)/float64(f.requests), rejected, float64(f.late)/float64(f.requests))
			if rejected > maxRejected {
				t.Errorf("%d entries: engines turned %.3f of the requests away, want at most %.3f", c.entries, rejected, maxRejected)
			}
		}
	}
}

// drawnFleet is a deployment that a seed draws.
type drawnFleet struct {
	zones, entries, engines int
	service                 *catalog.Service
}

func drawFleet(seed uint64) drawnFleet {
	rng := rand.New(rand.NewPCG(seed, 2))
	between := func(low, high int) int { return low + rng.IntN(high-low+1) }
	d := drawnFleet{zones: between(1, 8), entries: between(3, 200), engines: between(3, 200)}
	d.zones = min(d.zones, d.entries, d.engines)
	d.service = &catalog.Service{Name: "m", Engine: &catalog.Engine{
		Slots: between(4, 64), StepTime: time.Duration(between(3, 40)) * time.Millisecond, PrefillRate: float64(between(10, 60)) * 1000,
		Stride: between(1, 6), PromptTokens: float64(between(300, 1500)), AnswerTokens: float64(between(50, 150)),
	}}
	return d
}

// Guards against a choice of targets that suits the sizes of a few deployments only. Each drawn one
// serves at least floor of what a dispatcher serves in time that knows all loads at any moment.
func TestDrawnFleetsServeNearlyAsMuchAsPerfectKnowledge(t *testing.T) {
	const seeds, floor, utilization = 12, 0.8, 0.8
	for seed := range uint64(seeds) {
		d := drawFleet(seed)
		var served [2]float64
		for i, perfect := range []bool{false, true} {
			f := newFleetLoad(seed, d.service, d.zones, d.entries, d.engines, utilization)
			f.perfect = perfect
			f.fill(utilization)
			f.run(time.Duration(maxDrawnRequests) * f.mean)
			served[i] = f.served()
		}
		t.Logf("seed %d: %d zones, %d entries, %d engines of %d slots, steps of %v: served %.3f, with perfect knowledge %.3f", seed, d.zones, d.entries, d.engines,
			d.service.Engine.Slots, d.service.Engine.StepTime, served[0], served[1])
		if served[0] < served[1]*floor {
			t.Errorf("seed %d: served %.3f, want at least %.1f of %.3f", seed, served[0], floor, served[1])
		}
	}
}

// maxDrawnRequests bounds the requests to a drawn deployment.
const maxDrawnRequests = 3000
