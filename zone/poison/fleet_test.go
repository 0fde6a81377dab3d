package poison_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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
	served  bool
	whole   string
	refused bool
	// repeats is how often the caller may still send the request again.
	repeats int
}

// attempt is one sending of a request to an engine.
type attempt struct {
	*request
	entry  *fleetEntry
	engine *fleetEngine
	sentAt time.Time
	proven bool
	probe  bool
}

// attemptTimes are the bounds of the times of an attempt: from its sending until the engine begins,
// from then until the end, and until the crash that it may cause.
type attemptTimes struct{ begin, length, crash [2]time.Duration }

var modelTimes = attemptTimes{
	begin:  [2]time.Duration{250 * time.Millisecond, 350 * time.Millisecond},
	length: [2]time.Duration{150 * time.Millisecond, 2 * time.Second},
	crash:  [2]time.Duration{40 * time.Millisecond, 100 * time.Millisecond},
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
	// badWholes are the requests that come again and again, one of them each time, if the bad
	// requests are not all different.
	badWholes []string
	// times are those of attempts, badPerSecond the rate of bad requests.
	times        attemptTimes
	badPerSecond float64
	// soundRepeats is how often the caller of a sound request sends it again after it was not
	// served.
	soundRepeats int
	// plain is set if requests have no prompts.
	plain bool
	// soundFrom is when sound requests begin.
	soundFrom, badFrom time.Duration
	soundPerSecond     float64
	results            results
}

// results is what a simulation measures.
type results struct {
	crashes    []time.Time
	badSent    []time.Time
	badServed  []time.Time
	probes     []time.Time
	refusedBad []time.Time
	// soundRefuse counts the refusals of sound requests, soundRefused the requests themselves: a
	// caller that comes again at once is refused several times.
	soundRefuse, soundRefused int
	// crashesBy and sentBy are the crashes and the sendings of each of badWholes.
	crashesBy, sentBy map[string][]time.Time
	givenUp           int
	sound             []*request
}

func newFleet(seed uint64, entries int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 7)), now: startTime, soundPerSecond: soundPerSecond, badPerSecond: badPerSecond, times: modelTimes}
	f.results.crashesBy, f.results.sentBy = map[string][]time.Time{}, map[string][]time.Time{}
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
	f.setEngines(engineCount)
	return f
}

func (f *fleet) setEngines(n int) {
	f.engines = nil
	for i := range n {
		f.engines = append(f.engines, &fleetEngine{id: i, up: true, running: map[*attempt]bool{}})
	}
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
	r := f.newRequest([]string{f.firstPart(), f.class(), fmt.Sprintf("tool-%d", f.rng.IntN(20))}, nil)
	f.results.sound = append(f.results.sound, r)
	f.arrive(r)
}

func (f *fleet) arriveBad() {
	f.after(f.arrivalInterval(f.badPerSecond), f.arriveBad)
	r := f.newRequest(f.newBad(f))
	if n := len(f.badWholes); n > 0 {
		r.setWhole(f.badWholes[f.rng.IntN(n)])
	}
	f.arrive(r)
}

func (f *fleet) newRequest(ids, bad []string) *request {
	own := fmt.Sprintf("own-%d", f.rng.Uint64())
	ids = append(ids, own)
	if f.plain {
		ids = nil
	}
	r := &request{parts: poison.NewRequest(service, ids), bad: bad, arrived: f.now, repeats: f.soundRepeats}
	r.setWhole(own)
	return r
}

// setWhole has the request be the one with a body.
func (r *request) setWhole(body string) {
	r.whole = body
	r.parts.Whole = poison.WholeOf(service, poison.Identity{Body: []byte(body)})
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
			peer.tracker.ApplyReports(f.now, e.name, observations, verdicts)
		})
	}
}
