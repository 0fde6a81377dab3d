package contention

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/retry"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

// fleet simulates the decisions of entries that send requests of three ranks to model engines. Callers
// that are refused return.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	events  eventHeap
	roster  *roster.Roster
	service *catalog.Service
	engines []*engine
	entries []*entry
	// load is the rate of new requests, as a multiple of the capacity of the engines.
	load float64
	// weights are how much of the load each entry gets, relative to the first.
	weights func(entry int) float64
	// poll has the entries send by load information alone, without slot shares and queue.
	poll    bool
	results [rankCount]result
	// countFrom and countUntil are when the counted callers arrive.
	countFrom, countUntil time.Time
}

const (
	rankCount = 3
	// callerTimeout is how long a caller waits for an answer; it returns once or twice.
	callerTimeout = 6 * time.Second
	maxReturns    = 2
	reportEvery   = 250 * time.Millisecond
	reportDelay   = 500 * time.Millisecond
	tickInterval  = 50 * time.Millisecond
	maxEngineWait = 24
)

// The mix and the objectives of deployment A.
var (
	rankWeights    = [rankCount]float64{145, 175, 123}
	rankObjectives = [rankCount]time.Duration{400 * time.Millisecond, 400 * time.Millisecond, 800 * time.Millisecond}
)

// result counts the callers of a rank: inTime and late were served.
type result struct{ callers, inTime, late int }

func (r result) served() float64 { return float64(r.inTime+r.late) / float64(max(r.callers, 1)) }

type event struct {
	at time.Time
	do func()
}

type eventHeap []event

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// caller is a caller with one request.
type caller struct {
	rank    int
	team    contract.TeamName
	arrived time.Time
	returns int
	counted bool
}

// attempt is a request at an engine.
type attempt struct {
	*caller
	entry  *entry
	engine *engine
}

// engine runs as many requests as it has slots, and gives free ones to the most urgent request. It reads
// one prompt after the other.
type engine struct {
	member  *roster.Member
	running int
	waiting []*attempt
	// readUntil is when it has read all prompts.
	readUntil time.Time
	isDown    bool
	// mostWaiting is the greatest number of requests that waited.
	mostWaiting int
}

// entry is an entry with the pool and the queue of its service.
type entry struct {
	id      contract.MachineID
	pool    *placement.Pool
	queue   Queue[*caller]
	returns retry.ReturnPlan
	ticking bool
	dead    bool
}

func newFleet(seed uint64, entries, engines int, load float64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1000, 0), roster: roster.New(0), load: load, weights: func(int) float64 { return 1 }}
	f.service = &catalog.Service{Name: "m", Engine: &catalog.Engine{
		Slots: 12, StepTime: 6730 * time.Microsecond, PrefillRate: 30600, Stride: 7, PromptTokens: 941, AnswerTokens: 125,
	}}
	f.countFrom = f.now.Add(time.Hour)
	for i := range engines {
		t := roster.Target{ID: roster.TargetID(fmt.Sprintf("engine-%02d", i)), Address: fmt.Sprintf("engine-%02d:1", i), Zone: f.zone(i), Slots: 12, Model: &roster.Model{Version: 1, Layers: 16}}
		f.roster.Update(f.now, t, time.Time{})
		f.engines = append(f.engines, &engine{})
	}
	for i, m := range f.roster.Members("") {
		f.engines[i].member = m
	}
	regions := map[contract.ZoneName]contract.RegionName{}
	var ids []contract.MachineID
	for i := range entries {
		ids = append(ids, contract.MachineID(fmt.Sprintf("entry-%02d", i)))
		regions[f.zone(i)] = contract.RegionName(f.zone(i))
	}
	for i, id := range ids {
		p := placement.NewPool(placement.Place{Zone: f.zone(i), Region: contract.RegionName(f.zone(i))}, regions, rand.New(rand.NewPCG(seed, uint64(i)+10)))
		p.SetService(f.service)
		p.SetMembers(f.now, f.roster.Members(""))
		p.SetEntryCount(entries)
		p.ShareSlots(id, ids)
		f.entries = append(f.entries, &entry{id: id, pool: p})
	}
	f.report()
	f.at(f.now, f.arrive)
	return f
}

func (f *fleet) zone(i int) contract.ZoneName { return contract.ZoneName(fmt.Sprint(i % 3)) }

// capacity is the number of requests that the engines serve in a second.
func (f *fleet) capacity() float64 {
	return float64(len(f.engines)) / placement.NewLatencyModel(f.service, 0).CompletionInterval().Seconds()
}

func (f *fleet) at(t time.Time, do func()) { heap.Push(&f.events, event{t, do}) }

func (f *fleet) run(d time.Duration) {
	end := f.now.Add(d)
	for len(f.events) > 0 && f.events[0].at.Before(end) {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

// report has the entries learn of the loads that the engines have now, reportDelay later.
func (f *fleet) report() {
	at := f.now
	for _, e := range f.engines {
		load := e.running + len(e.waiting)
		status := roster.Status{Version: 1, Ready: !e.isDown, Load: load, HasLoad: true, Changing: e.isDown}
		f.at(at.Add(reportDelay), func() {
			f.roster.ApplyRelayed(roster.ReportKeyOf(e.member.Address, e.member.Born), at, status)
		})
	}
	f.at(at.Add(reportDelay), func() {
		for _, e := range f.entries {
			f.dispatch(e)
		}
	})
	f.at(at.Add(reportEvery), f.report)
}

// arrive has a new caller arrive, and the next one later.
func (f *fleet) arrive() {
	f.at(f.now.Add(time.Duration(f.rng.ExpFloat64()/(f.load*f.capacity())*float64(time.Second))), f.arrive)
	pick, rank := f.rng.Float64()*(rankWeights[0]+rankWeights[1]+rankWeights[2]), 0
	for ; rank < rankCount-1 && pick >= rankWeights[rank]; rank++ {
		pick -= rankWeights[rank]
	}
	c := &caller{rank: rank, arrived: f.now, counted: !f.now.Before(f.countFrom) && f.now.Before(f.countUntil)}
	c.team = contract.TeamName(fmt.Sprint("t", f.rng.IntN(3)))
	if c.counted {
		f.results[rank].callers++
	}
	f.call(c)
}

// drawEntry returns the entry that a caller reaches. No weight is greater than maxWeight.
func (f *fleet) drawEntry() *entry {
	const maxWeight = 3
	for {
		i := f.rng.IntN(len(f.entries))
		if !f.entries[i].dead && f.rng.Float64()*maxWeight < f.weights(i) {
			return f.entries[i]
		}
	}
}

// call has a caller reach an entry.
func (f *fleet) call(c *caller) {
	e := f.drawEntry()
	r := Request{Rank: c.rank, Team: c.team, Late: c.returns > 0, Class: fmt.Sprint(c.rank, c.returns > 0)}
	if r.Late {
		r.StartBy = f.now.Add(c.timeLeft(f.now) / 4)
	} else {
		r.StartBy = c.arrived.Add(rankObjectives[c.rank] - e.pool.SlotDelay())
	}
	if f.poll {
		f.pollPlace(e, c, f.now.Add(rankObjectives[c.rank]/8))
		return
	}
	w, verdict, displaced := e.queue.Arrive(f.now, r, c, f.rateOf(e), f.placeAt(e))
	for _, d := range displaced {
		f.refuse(e, d.Value)
	}
	switch verdict {
	case Refused:
		f.refuse(e, c)
	case Queued:
		f.at(r.StartBy, func() {
			if e.queue.Remove(w) {
				f.refuse(e, c)
			}
		})
		f.tick(e)
	}
}

// pollPlace places a request as entries do for services that are not ranked.
func (f *fleet) pollPlace(e *entry, c *caller, until time.Time) {
	switch {
	case f.place(e, c, 0) == Started:
	case f.now.After(until):
		f.refuse(e, c)
	default:
		f.at(f.now.Add(8*time.Millisecond), func() { f.pollPlace(e, c, until) })
	}
}

func (f *fleet) tick(e *entry) {
	if e.ticking {
		return
	}
	e.ticking = true
	f.at(f.now.Add(tickInterval), func() {
		e.ticking = false
		f.dispatch(e)
		if e.queue.Len() > 0 {
			f.tick(e)
		}
	})
}

func (c *caller) timeLeft(now time.Time) time.Duration { return c.arrived.Add(callerTimeout).Sub(now) }

func (f *fleet) dispatch(e *entry) { e.queue.Dispatch(f.now, f.rateOf(e), f.placeAt(e)) }

func (f *fleet) rateOf(e *entry) func() float64 {
	return func() float64 { return e.pool.SlotRate(f.now, placement.Requirements{}) }
}

func (f *fleet) placeAt(e *entry) func(*Waiting[*caller], int) Outcome {
	return func(w *Waiting[*caller], spare int) Outcome { return f.place(e, w.Value, spare) }
}

// place sends a request to an engine if one has room.
func (f *fleet) place(e *entry, c *caller, spare int) Outcome {
	limit := c.timeLeft(f.now)
	if c.returns == 0 || f.poll {
		limit = min(limit, c.arrived.Add(rankObjectives[c.rank]).Sub(f.now))
	}
	choice, refusal := e.pool.Pick(f.now, placement.Requirements{Spare: spare}, limit)
	if refusal != placement.Placed {
		return NoRoom
	}
	e.pool.Sent(f.now, choice.ID)
	i := slices.IndexFunc(f.engines, func(n *engine) bool { return n.member.ID == choice.ID })
	f.send(&attempt{caller: c, entry: e, engine: f.engines[i]})
	return Started
}

// send has an attempt reach its engine, which runs it, lets it wait or refuses it.
func (f *fleet) send(a *attempt) {
	e := a.engine
	switch {
	case e.isDown, len(e.waiting) >= maxEngineWait:
		a.entry.pool.Refused(f.now, e.member.ID)
		a.entry.pool.Ended(e.member.ID)
		f.refuse(a.entry, a.caller)
	case e.running >= f.service.Engine.Slots:
		e.waiting = append(e.waiting, a)
		e.mostWaiting = max(e.mostWaiting, len(e.waiting))
		slices.SortStableFunc(e.waiting, func(x, y *attempt) int { return x.rank - y.rank })
	default:
		f.start(a)
	}
}

// start runs a request on a free slot: the engine reads its prompt, and writes an event at the end of
// each pass.
func (f *fleet) start(a *attempt) {
	e := a.engine
	e.running++
	duration := placement.NewLatencyModel(f.service, 0).RequestDuration()
	prefill := duration / time.Duration(f.service.Engine.Slots) / 3
	if e.readUntil.Before(f.now) {
		e.readUntil = f.now
	}
	e.readUntil = e.readUntil.Add(prefill)
	first := e.readUntil.Add(time.Duration(float64(f.service.Engine.StepTime) * 7 * (1 + f.rng.Float64())))
	end := first.Add(time.Duration(float64(duration) * (0.35 + f.rng.Float64())))
	if a.counted {
		if first.Sub(a.arrived) <= rankObjectives[a.rank] {
			f.results[a.rank].inTime++
		} else {
			f.results[a.rank].late++
		}
	}
	f.at(end, func() {
		e.running--
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			f.start(next)
		}
		a.entry.pool.Ended(e.member.ID)
		a.entry.queue.RecordEnd(f.now)
		if !a.entry.dead {
			f.dispatch(a.entry)
		}
	})
}

// refuse refuses a caller, which returns when it is told to, if it may.
func (f *fleet) refuse(e *entry, c *caller) {
	r := Request{Rank: c.rank, Team: c.team}
	rate := e.pool.SlotRate(f.now, placement.Requirements{})
	after := e.returns.RetryAfter(f.now, c.rank, e.queue.PredictWait(f.now, r, rate), e.queue.LateRate(f.now, rate), c.timeLeft(f.now)/3, f.rng.Float64())
	if c.returns >= maxReturns {
		return
	}
	c.returns++
	f.at(f.now.Add(after), func() { f.call(c) })
}
