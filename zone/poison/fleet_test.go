package poison_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/poison"
)

const (
	service        = contract.ServiceName("model")
	soundPerSecond = 180
	badPerSecond   = 6
	firstParts     = 60
	classes        = 3
	engineCount    = 24
	heartbeatTime  = 250 * time.Millisecond
	restartTime    = 3 * time.Second
	maxAttempts    = 2
)

// startTime is when each simulation begins.
var startTime = time.Unix(1_700_000_000, 0)

// event is something that happens in a simulation.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// eventQueue is a heap of events.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// fleetEntry is an entry of the simulated fleet.
type fleetEntry struct {
	name        contract.MachineID
	tracker     *poison.Tracker
	shares      placement.EntryShares
	started     bool
	isolated    bool
	pausedUntil time.Time
}

// fleetEngine is an engine of the simulated fleet. born counts its incarnations.
type fleetEngine struct {
	id      int
	born    int
	up      bool
	running map[*attempt]bool
}

func (e *fleetEngine) crashKey() uint64 { return uint64(e.id)<<32 | uint64(e.born) }

// request is a request of a caller; bad lists its parts that crash engines now or at times.
type request struct {
	parts   poison.Request
	bad     []string
	arrived time.Time
	sent    int
	begun   bool
}

// attempt is one sending of a request to an engine.
type attempt struct {
	*request
	entry  *fleetEntry
	engine *fleetEngine
	sentAt time.Time
	proven bool
}

// fleet is a simulated fleet: entries, engines, and callers.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	queue   eventQueue
	seq     int
	begun   bool
	entries []*fleetEntry
	engines []*fleetEngine
	// isBad reports whether a part crashes engines now; crashesAll whether everything does.
	isBad      func(part string, at time.Duration) bool
	crashesAll func(at time.Duration) bool
	// newBad returns the IDs of the parts of a bad request, except the last, and the bad ones
	// among them.
	newBad func(f *fleet) (ids, bad []string)
	// soundFrom is when sound requests begin.
	soundFrom, badFrom time.Duration
	soundPerSecond     float64
	results            results
}

// results is what a simulation measures.
type results struct {
	crashes     []time.Time
	badSent     []time.Time
	badServed   []time.Time
	probes      []time.Time
	refusedBad  []time.Time
	soundRefuse int
	sound       []*request
}

func newFleet(seed uint64, entries int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), now: startTime, soundPerSecond: soundPerSecond}
	f.isBad = func(string, time.Duration) bool { return true }
	f.crashesAll = func(time.Duration) bool { return false }
	f.newBad = func(f *fleet) ([]string, []string) {
		return []string{f.firstPart(), f.class(), "bad"}, []string{"bad"}
	}
	var names []contract.MachineID
	for i := range entries {
		names = append(names, contract.MachineID(fmt.Sprintf("entry-%d", i)))
	}
	for _, name := range names {
		f.entries = append(f.entries, &fleetEntry{
			name: name, started: true, tracker: poison.NewTracker(rand.New(rand.NewPCG(f.rng.Uint64(), 1))),
			shares: placement.EntryShares{Self: name, Entries: names, ShareCount: entries + 1, StartedAt: startTime},
		})
	}
	for i := range engineCount {
		f.engines = append(f.engines, &fleetEngine{id: i, up: true, running: map[*attempt]bool{}})
	}
	return f
}

func (f *fleet) elapsed() time.Duration { return f.now.Sub(startTime) }

func (f *fleet) firstPart() string { return fmt.Sprintf("first-%d", f.rng.IntN(firstParts)) }

func (f *fleet) class() string { return fmt.Sprintf("class-%d", f.rng.IntN(classes)) }

// between draws a time.
func (f *fleet) between(low, high time.Duration) time.Duration {
	return low + time.Duration(f.rng.Int64N(int64(high-low)))
}

// after has something happen.
func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
}

// at has something happen at a time since the start.
func (f *fleet) at(at time.Duration, do func()) { f.after(at-f.elapsed(), do) }

// atEntry has an entry do something, as soon as it is not paused.
func (f *fleet) atEntry(d time.Duration, e *fleetEntry, do func()) {
	f.after(d, func() {
		if f.now.Before(e.pausedUntil) {
			f.atEntry(e.pausedUntil.Sub(f.now), e, do)
			return
		}
		do()
	})
}

// run plays the fleet until a time since the start.
func (f *fleet) run(until time.Duration) {
	if !f.begun {
		f.begun = true
		f.start()
	}
	for f.queue.Len() > 0 && f.queue[0].at.Sub(startTime) < until {
		next := heap.Pop(&f.queue).(event)
		f.now = next.at
		next.do()
	}
}

// start has the callers and the heartbeats begin.
func (f *fleet) start() {
	f.at(f.soundFrom, f.arriveSound)
	if f.newBad != nil {
		f.at(f.badFrom, f.arriveBad)
	}
	for _, e := range f.entries {
		f.after(f.between(0, heartbeatTime), func() { f.heartbeat(e) })
	}
}

// arrivalInterval draws the time to the next request.
func (f *fleet) arrivalInterval(perSecond float64) time.Duration {
	return time.Duration(f.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (f *fleet) arriveSound() {
	f.after(f.arrivalInterval(f.soundPerSecond), f.arriveSound)
	ids := []string{f.firstPart(), f.class(), fmt.Sprintf("tool-%d", f.rng.IntN(20))}
	r := f.newRequest(ids, nil)
	f.results.sound = append(f.results.sound, r)
	f.arrive(r)
}

func (f *fleet) arriveBad() {
	f.after(f.arrivalInterval(badPerSecond), f.arriveBad)
	f.arrive(f.newRequest(f.newBad(f)))
}

func (f *fleet) newRequest(ids, bad []string) *request {
	ids = append(ids, fmt.Sprintf("own-%d", f.rng.Uint64()))
	return &request{parts: poison.NewRequest(service, ids), bad: bad, arrived: f.now}
}

// arrive has a request arrive at an entry that has started.
func (f *fleet) arrive(r *request) {
	e := f.entries[f.rng.IntN(len(f.entries))]
	for !e.started {
		e = f.entries[f.rng.IntN(len(f.entries))]
	}
	f.atEntry(0, e, func() { f.send(e, r) })
}

// send has an entry send a request to an engine, unless it refuses it.
func (f *fleet) send(e *fleetEntry, r *request) {
	engine := f.engines[f.rng.IntN(len(f.engines))]
	for range 5 * len(f.engines) {
		if engine.up {
			break
		}
		engine = f.engines[f.rng.IntN(len(f.engines))]
	}
	if !engine.up {
		return
	}
	decision, _ := e.tracker.Check(f.now, r.parts, e.shares.IsTurn)
	f.count(r, decision)
	if decision == poison.Refused {
		return
	}
	r.sent++
	a := &attempt{request: r, entry: e, engine: engine, sentAt: f.now}
	engine.running[a] = true
	f.after(f.between(250*time.Millisecond, 350*time.Millisecond), func() { f.begin(a) })
}

func (f *fleet) count(r *request, d poison.Decision) {
	switch {
	case d == poison.Refused && len(r.bad) == 0:
		f.results.soundRefuse++
	case d == poison.Refused:
		f.results.refusedBad = append(f.results.refusedBad, f.now)
	case len(r.bad) > 0:
		f.results.badSent = append(f.results.badSent, f.now)
	}
	if d == poison.Probe {
		f.results.probes = append(f.results.probes, f.now)
	}
}

// begin has an engine write the first event of an answer.
func (f *fleet) begin(a *attempt) {
	if !a.engine.running[a] {
		return
	}
	a.begun = a.begun || a.sent == 1
	if f.crashesEngine(a) {
		born := a.engine.born
		f.after(f.between(40*time.Millisecond, 100*time.Millisecond), func() {
			if a.engine.born == born {
				f.crash(a.engine)
			}
		})
	}
	length := f.between(150*time.Millisecond, 2*time.Second)
	f.after(min(length, poison.ProvenAfter), func() { f.prove(a) })
	f.after(length, func() { delete(a.engine.running, a) })
}

func (f *fleet) crashesEngine(a *attempt) bool {
	if f.crashesAll(f.elapsed()) {
		return true
	}
	for _, p := range a.bad {
		if f.isBad(p, f.elapsed()) {
			return true
		}
	}
	return false
}

func (f *fleet) prove(a *attempt) {
	if !a.engine.running[a] {
		return
	}
	a.proven = true
	if len(a.bad) > 0 {
		f.results.badServed = append(f.results.badServed, f.now)
	}
	f.atEntry(0, a.entry, func() { a.entry.tracker.Proven(f.now, a.parts, a.sentAt) })
}

// crash ends an engine, which starts again later. Its attempts break off.
func (f *fleet) crash(engine *fleetEngine) {
	if !engine.up {
		return
	}
	f.results.crashes = append(f.results.crashes, f.now)
	key := engine.crashKey()
	var broken []*attempt
	for a := range engine.running {
		broken = append(broken, a)
	}
	sortAttempts(broken)
	engine.up, engine.running = false, map[*attempt]bool{}
	engine.born++
	f.after(restartTime, func() { engine.up = true })
	for _, a := range broken {
		if !a.proven {
			f.atEntry(0, a.entry, func() { f.breakOff(a, key) })
		}
	}
}

// breakOff has an entry notice that an unproven attempt has broken off, and later that its
// engine has ended.
func (f *fleet) breakOff(a *attempt, crash uint64) {
	o := poison.Observation{Crash: crash, Request: a.parts, SentAt: a.sentAt, BrokenAt: f.now}
	f.atEntry(f.between(50*time.Millisecond, 500*time.Millisecond), a.entry, func() { a.entry.tracker.Observe(f.now, o) })
	if a.sent < maxAttempts && a.entry.tracker.MayRetry(a.parts) {
		f.atEntry(10*time.Millisecond, a.entry, func() { f.send(a.entry, a.request) })
	}
}

// heartbeat has an entry report to all others that it is linked with.
func (f *fleet) heartbeat(e *fleetEntry) {
	f.atEntry(heartbeatTime, e, func() { f.heartbeat(e) })
	if !e.started || e.isolated {
		return
	}
	observations, verdicts := e.tracker.Reports(f.now)
	for _, peer := range f.entries {
		if peer == e || peer.isolated || !peer.started || len(observations)+len(verdicts) == 0 {
			continue
		}
		f.atEntry(f.between(2*time.Millisecond, 30*time.Millisecond), peer, func() {
			peer.tracker.ApplyReports(f.now, observations, verdicts)
		})
	}
}

// since counts the times after a time.
func since(list []time.Time, from time.Time) int {
	n := 0
	for _, at := range list {
		if at.After(from) {
			n++
		}
	}
	return n
}

// begunShare returns the share of the sound requests that arrived between two times whose
// first attempt began.
func (r *results) begunShare(from, to time.Time) float64 {
	all, begun := 0, 0
	for _, s := range r.sound {
		if s.arrived.Before(from) || s.arrived.After(to) {
			continue
		}
		all++
		if s.begun {
			begun++
		}
	}
	if all == 0 {
		return 1
	}
	return float64(begun) / float64(all)
}

// logRow prints what was measured.
func logRow(t *testing.T, name string, entries int, r *results, late int, share float64) {
	t.Helper()
	t.Logf("%-34s entries=%2d crashes=%3d bad_sent=%3d late=%d probes=%d bad_refused=%3d sound_refused=%d begun=%.3f",
		name, entries, len(r.crashes), len(r.badSent), late, len(r.probes), len(r.refusedBad), r.soundRefuse, share)
}
