package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/roster"
)

// paceRules says what the entries of a simulated fleet learn of paces, and how they choose.
type paceRules struct {
	name string
	// answers has answers carry the pace. Without it the service is not paced.
	answers bool
	// candidates is how many targets at each distance a choice compares; 0 leaves the rule of the pool.
	candidates int
	// heartbeats has the process beside an engine report its pace to the entries that it is linked to,
	// with what the engine's report lags behind; relayed has these pass it on.
	heartbeats, relayed bool
	reportLag           time.Duration
	// asked has an entry ask the processes beside all engines before each choice, exact has it know the pace.
	asked, exact bool
	// probed has it also ask all targets for their load.
	probed bool
	// utilization is the load as a share of what the engines bear at the usual pace, between burstFrom and burstUntil
	// times burst; 0 stands for paceUtilization and no burst.
	utilization, burst float64
}

const (
	paceZones, paceEntries, paceEngines = 3, 67, 40
	paceUtilization                     = 0.7
	paceObjective                       = 400 * time.Millisecond
	// pollInterval is the time between two polls of an engine's report, beatInterval that between two heartbeats
	// of the process beside it, relayInterval that between two heartbeats of entries with many links.
	pollInterval, beatInterval, relayInterval = 200 * time.Millisecond, 250 * time.Millisecond, time.Second
	// linkedEntries is to how many entries a target process is linked, linkedNear how many of them are of its zone.
	linkedEntries, linkedNear = 9, 6
	slowShare, slowFactor     = 0.15, 2.5
	correctionSample          = 100 * time.Millisecond
	slowPeriod                = 600 * time.Millisecond
	engineQueue               = 24
	burstFrom, burstUntil     = 4 * time.Second, 10 * time.Second
)

func pacedService() *catalog.Service {
	return &catalog.Service{Name: "m", Engine: &catalog.Engine{Slots: 12, StepTime: 9270 * time.Microsecond, PrefillRate: 20700, Stride: 5,
		PromptTokens: 941, AnswerTokens: 50, PrefillChunk: 2048, MemoryTokens: 317000}}
}

// pacedEngine is an engine that works slowly at times. Its requests take turns at reading prompts. Times of
// work are those that it would take at the usual pace.
type pacedEngine struct {
	id roster.TargetID
	// slowFrom lists when the slow periods begin, in order; workAt holds the work done until then.
	slowFrom   []time.Time
	workAt     []time.Duration
	slots      workTimes
	readerFree time.Duration
	ends       []time.Time
}

// workTimes is a heap of the times of work at which slots become free.
type workTimes []time.Duration

func (e workTimes) Len() int           { return len(e) }
func (e workTimes) Less(i, j int) bool { return e[i] < e[j] }
func (e workTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *workTimes) Push(x any)        { *e = append(*e, x.(time.Duration)) }
func (e *workTimes) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func newPacedEngine(rng *rand.Rand, id roster.TargetID, d time.Duration) *pacedEngine {
	e := &pacedEngine{id: id, slots: make(workTimes, pacedService().Engine.Slots)}
	meanGap := float64(slowPeriod) * (1 - slowShare) / slowShare
	at, work := start, time.Duration(0)
	for at.Before(start.Add(d + time.Minute)) {
		gap := time.Duration(rng.ExpFloat64() * meanGap)
		at, work = at.Add(gap), work+gap
		e.slowFrom, e.workAt = append(e.slowFrom, at), append(e.workAt, work)
		at, work = at.Add(slowPeriod), work+time.Duration(float64(slowPeriod)/slowFactor)
	}
	return e
}

// period returns the index of the last slow period that began at t or before; -1 if none has.
func (e *pacedEngine) period(t time.Time) int {
	i, found := slices.BinarySearchFunc(e.slowFrom, t, time.Time.Compare)
	if found {
		return i
	}
	return i - 1
}

func (e *pacedEngine) paceAt(t time.Time) float64 {
	if i := e.period(t); i >= 0 && t.Sub(e.slowFrom[i]) < slowPeriod {
		return usualPace * slowFactor
	}
	return usualPace
}

// workUntil returns the work that is done until t, timeOf the time at which work is done.
func (e *pacedEngine) workUntil(t time.Time) time.Duration {
	i := e.period(t)
	if i < 0 {
		return t.Sub(start)
	}
	since := t.Sub(e.slowFrom[i])
	slow := min(since, slowPeriod)
	return e.workAt[i] + time.Duration(float64(slow)/slowFactor) + since - slow
}

func (e *pacedEngine) timeOf(work time.Duration) time.Time {
	i, found := slices.BinarySearch(e.workAt, work)
	if !found {
		i--
	}
	if i < 0 {
		return start.Add(work)
	}
	left, slowWork := work-e.workAt[i], time.Duration(float64(slowPeriod)/slowFactor)
	slow := min(left, slowWork)
	return e.slowFrom[i].Add(time.Duration(float64(slow)*slowFactor) + left - slow)
}

func (e *pacedEngine) load(now time.Time) int {
	e.ends = slices.DeleteFunc(e.ends, func(end time.Time) bool { return !end.After(now) })
	return len(e.ends)
}

// enqueue adds a request and returns the times of its first event and its end.
func (e *pacedEngine) enqueue(rng *rand.Rand, now time.Time, size requestSize) (first, end time.Time) {
	s := pacedService().Engine
	load := float64(e.load(now))
	model := NewLatencyModel(pacedService(), 0)
	begin := max(e.workUntil(now), heap.Pop(&e.slots).(time.Duration))
	e.readerFree = max(begin, e.readerFree) + time.Duration(readTime(s, size.prompt))
	pass := model.passTimeAt(load)
	stretched := float64(pass) / float64(model.passTime)
	done := e.readerFree + time.Duration(size.answer*float64(s.StepTime)*stretched)
	heap.Push(&e.slots, done)
	end = e.timeOf(done)
	e.ends = append(e.ends, end)
	return e.timeOf(e.readerFree + pass + time.Duration(rng.Float64()*float64(pass))), end
}

// pacedFleet simulates the decisions of entries on engines that are slow at times.
type pacedFleet struct {
	rules   paceRules
	rng     *rand.Rand
	engines []*pacedEngine
	pools   []*Pool
	rosters []*roster.Roster
	// events is a heap of what happens next.
	events fleetEvents

	delays                    []time.Duration
	requests, refused, turned int
	// corrections holds the correction of the first entry every correctionSample.
	corrections []time.Duration
}

type fleetEvent struct {
	at time.Time
	do func(now time.Time)
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (f *pacedFleet) schedule(at time.Time, do func(now time.Time)) {
	heap.Push(&f.events, fleetEvent{at, do})
}

func runPacedFleet(seed uint64, rules paceRules, d time.Duration) *pacedFleet {
	rules.utilization = cmp.Or(rules.utilization, paceUtilization)
	rules.burst = cmp.Or(rules.burst, 1)
	f := &pacedFleet{rules: rules, rng: rand.New(rand.NewPCG(seed, 1))}
	zone := func(i int) contract.ZoneName { return contract.ZoneName(fmt.Sprint(i % paceZones)) }
	regions := map[contract.ZoneName]contract.RegionName{}
	for z := range paceZones {
		regions[zone(z)] = contract.RegionName("r" + zone(z))
	}
	for i := range paceEngines {
		f.engines = append(f.engines, newPacedEngine(f.rng, roster.TargetID(fmt.Sprintf("engine-%02d", i)), d))
	}
	for i := range paceEntries {
		r := roster.New(0)
		for k, e := range f.engines {
			m := engineMember(string(e.id), zone(k))
			m.Slots = len(e.slots)
			r.Update(start, m.Target, time.Time{})
		}
		p := NewPool(Place{Zone: zone(i), Region: regions[zone(i)]}, regions, rand.New(rand.NewPCG(seed, uint64(i+2))))
		p.SetService(pacedService())
		p.SetMembers(start, r.Members(""))
		p.SetEntryCount(paceEntries)
		if rules.candidates > 0 {
			p.pacedCandidates = rules.candidates
		}
		f.pools, f.rosters = append(f.pools, p), append(f.rosters, r)
	}
	for k := range f.engines {
		f.startReports(k)
	}
	interval := NewLatencyModel(pacedService(), 0).interval
	mean := float64(interval) / paceEngines / rules.utilization
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		f.requests++
		f.place(now, now, f.rng.IntN(paceEntries), Requirements{PromptTokens: f.promptSize(), AnswerTokens: 50})
		gap := f.rng.ExpFloat64() * mean
		if since := now.Sub(start); since >= burstFrom && since < burstUntil {
			gap /= rules.burst
		}
		f.schedule(now.Add(time.Duration(gap)), arrive)
	}
	f.schedule(start, arrive)
	var sample func(now time.Time)
	sample = func(now time.Time) {
		f.corrections = append(f.corrections, f.pools[0].correction.valueAt(now))
		f.schedule(now.Add(correctionSample), sample)
	}
	f.schedule(start, sample)
	for len(f.events) > 0 && f.events[0].at.Before(start.Add(d)) {
		e := heap.Pop(&f.events).(fleetEvent)
		e.do(e.at)
	}
	return f
}

// promptSize draws the size of a prompt: a factor of ten between small and large ones, 941 on average.
func (f *pacedFleet) promptSize() float64 { return 300 + min(f.rng.ExpFloat64()*650, 2700) }

// startReports has the process beside an engine report its load, and its pace if the rules say so.
func (f *pacedFleet) startReports(k int) {
	e := f.engines[k]
	key := roster.ReportKeyOf(string(e.id)+":1", 0)
	pollPhase := time.Duration(f.rng.Int64N(int64(pollInterval)))
	var beat func(now time.Time)
	beat = func(now time.Time) {
		polled := now.Add(-(now.Sub(start) + pollPhase) % pollInterval)
		status := roster.Status{Version: 1, Ready: true, Load: e.load(now), HasLoad: true}
		pace := e.paceAt(polled.Add(-f.rules.reportLag))
		for i := range paceEntries {
			isNear := i%paceZones == k%paceZones
			slot := (i/paceZones*7 + k) % (paceEntries / paceZones)
			linked := isNear && slot < linkedNear || !isNear && slot < (linkedEntries-linkedNear)/(paceZones-1)
			delay := time.Duration(0)
			if !linked {
				delay = time.Duration(f.rng.Int64N(int64(relayInterval)))
			}
			f.schedule(now.Add(delay+2*time.Millisecond), func(at time.Time) {
				f.rosters[i].ApplyRelayed(key, now, status)
				if f.rules.heartbeats && (linked || f.rules.relayed) {
					f.pools[i].loadOf(e.id).pace = paceReport{pace, at}
				}
			})
		}
		f.schedule(now.Add(beatInterval), beat)
	}
	f.schedule(start.Add(time.Duration(f.rng.Int64N(int64(beatInterval)))), beat)
}

// place has an entry place a request that arrived at a time, or try again as the entry does.
func (f *pacedFleet) place(now, arrived time.Time, i int, req Requirements) {
	p := f.pools[i]
	if f.rules.exact || f.rules.asked {
		for k, e := range f.engines {
			seen := now
			if f.rules.asked {
				seen = now.Add(-(now.Sub(start) + time.Duration(k)*17*time.Millisecond) % pollInterval).Add(-f.rules.reportLag)
			}
			p.loadOf(e.id).pace = paceReport{e.paceAt(seen), now}
			if f.rules.probed {
				f.rosters[i].ApplyRelayed(roster.ReportKeyOf(string(e.id)+":1", 0), now, roster.Status{Version: 1, Ready: true, Load: e.load(now), HasLoad: true})
			}
		}
	}
	limit := max(paceObjective-now.Sub(arrived), 0)
	c, outcome := p.Pick(now, req, limit)
	if outcome != Placed {
		const tryInterval, waitDivisor = 8 * time.Millisecond, 8
		if now.Sub(arrived) > paceObjective/waitDivisor {
			f.refused++
			return
		}
		f.schedule(now.Add(tryInterval), func(at time.Time) { f.place(at, arrived, i, req) })
		return
	}
	p.SentSized(now, c.ID, req)
	e := f.engines[slices.IndexFunc(f.engines, func(e *pacedEngine) bool { return e.id == c.ID })]
	if e.load(now) >= len(e.slots)+engineQueue {
		f.turned++
		p.Refused(now, c.ID)
		p.Ended(c.ID)
		req.Tried = append(req.Tried, c.ID)
		f.place(now, arrived, i, req)
		return
	}
	first, end := e.enqueue(f.rng, now, p.sizeOf(req))
	f.delays = append(f.delays, first.Sub(arrived))
	f.schedule(first, func(at time.Time) {
		if f.rules.answers {
			p.PaceAnswered(at, c.ID, e.paceAt(at))
		}
		p.LoadReported(at, c.ID, e.load(at))
		p.Answered(at, c.ID, at.Sub(now))
		p.PredictionObserved(at, c, at.Sub(now))
	})
	f.schedule(end, func(time.Time) { p.Ended(c.ID) })
}

// quantile returns the delay of the first event that a share of the answers does not exceed.
func (f *pacedFleet) quantile(share float64) time.Duration {
	slices.Sort(f.delays)
	return f.delays[int(share*float64(len(f.delays)-1))]
}

// lateShare returns the share of all requests that are late or refused.
func (f *pacedFleet) lateShare() float64 {
	late := f.refused
	for _, d := range f.delays {
		if d > paceObjective {
			late++
		}
	}
	return float64(late) / float64(f.requests)
}
