package hedging_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"mimosastand.example/mimosastand/internal/simulation"
	"mimosastand.example/mimosastand/machine/entry/hedging"
)

// Load and targets of deployment B: slow periods of 0.6 s in which work takes 2.5 times as long, 15 % of
// the time. simUtilization is the share of the slots that requests would use without slow periods.
const (
	simTargets, simEntries, simSlots = 40, 67, 12
	simUtilization                   = 0.8
	simDuration                      = 60 * time.Second
	simObjective                     = 400 * time.Millisecond
	simSlowFactor, simSlowShare      = 2.5, 0.15
	simSlowTime                      = 600 * time.Millisecond
	simStep                          = 9.27
	simRetry                         = 50 * time.Millisecond
	// simLoadAge is the time between two reports of the targets' load to the entries.
	simLoadAge = 400 * time.Millisecond
)

// simTarget works slowly from each even time in changes to the next. reported is its load as the entries
// know it.
type simTarget struct {
	changes           []time.Duration
	waiting           []*simAttempt
	running, reported int
}

// finish returns when work that starts at a time is done.
func (s *simTarget) finish(start, work time.Duration) time.Duration {
	i, found := slices.BinarySearch(s.changes, start)
	if found {
		i++
	}
	for ; ; i++ {
		factor := 1.0
		if i%2 == 1 {
			factor = simSlowFactor
		}
		left := time.Duration(float64(work) * factor)
		if i >= len(s.changes) || start+left <= s.changes[i] {
			return start + left
		}
		work -= time.Duration(float64(s.changes[i]-start) / factor)
		start = s.changes[i]
	}
}

type simAttempt struct {
	target             *simTarget
	first, rest        time.Duration
	isRunning, isEnded bool
	begun              func()
}

// simDelay says after which time without a first event a hedge is due.
type simDelay func(*hedging.Tracker, time.Time, hedging.Attempt) time.Duration

// fleetSimulation plays a minute of requests. Entries choose the less loaded of two targets by reports, and
// know nothing of slow periods. A cancelled attempt frees its slot at once.
type fleetSimulation struct {
	simulation.Queue
	rng              *rand.Rand
	targets          []*simTarget
	trackers         []*hedging.Tracker
	extraWork        float64
	delay            simDelay
	times            []time.Duration
	requests, hedges int
	prompts, reread  float64
}

func (s *fleetSimulation) clock() time.Time { return time.Unix(0, 0).Add(s.Now()) }

// pick chooses a target; other is the one that has the request already.
func (s *fleetSimulation) pick(other *simTarget) *simTarget {
	var best *simTarget
	for drawn := 0; drawn < 2; {
		t := s.targets[s.rng.IntN(simTargets)]
		if t == other {
			continue
		}
		drawn++
		if best == nil || t.reported < best.reported {
			best = t
		}
	}
	if other != nil && best.reported >= simSlots {
		return nil
	}
	return best
}

func (s *fleetSimulation) send(a *simAttempt) {
	a.target.reported++
	a.target.waiting = append(a.target.waiting, a)
	s.fill(a.target)
}

// fill starts waiting attempts while slots are free.
func (s *fleetSimulation) fill(t *simTarget) {
	for t.running < simSlots && len(t.waiting) > 0 {
		a := t.waiting[0]
		t.waiting = t.waiting[1:]
		t.running++
		a.isRunning = true
		s.After(t.finish(s.Now(), a.first)-s.Now(), func() {
			if a.isEnded {
				return
			}
			a.begun()
			s.After(t.finish(s.Now(), a.rest)-s.Now(), func() { s.end(a) })
		})
	}
}

// end ends an attempt, whether it is complete or cancelled.
func (s *fleetSimulation) end(a *simAttempt) {
	if a.isEnded {
		return
	}
	a.isEnded = true
	if a.isRunning {
		a.target.running--
		s.fill(a.target)
		return
	}
	a.target.waiting = slices.DeleteFunc(a.target.waiting, func(b *simAttempt) bool { return b == a })
}

func (s *fleetSimulation) request() {
	prompt := 300 + s.rng.ExpFloat64()*550
	predicted := time.Duration((70 + prompt/20.7) * float64(time.Millisecond))
	work := predicted + time.Duration((s.rng.Float64()-0.5)*46*float64(time.Millisecond))
	rest := time.Duration(min(s.rng.ExpFloat64(), 4) * 125 * simStep * float64(time.Millisecond))
	tracker, start := s.trackers[s.rng.IntN(simEntries)], s.Now()
	a := hedging.Attempt{Predicted: predicted, Objective: simObjective, PromptTokens: prompt}
	s.requests++
	s.prompts += prompt
	tracker.RecordRequest(s.clock(), prompt)
	var pair [2]*simAttempt
	isBegun := false
	launch := func(i int, t *simTarget) {
		pair[i] = &simAttempt{target: t, first: work, rest: rest, begun: func() {
			isBegun = true
			if other := pair[1-i]; other != nil {
				s.end(other)
			}
			tracker.RecordFirstEvent(s.clock(), s.Now()-start)
			s.times = append(s.times, s.Now()-start)
		}}
		s.send(pair[i])
	}
	launch(0, s.pick(nil))
	var look func()
	look = func() {
		if isBegun {
			return
		}
		refusal := tracker.Check(s.clock(), a, s.Now()-start, false)
		if refusal == hedging.Allowed && predicted <= tracker.Remaining(s.clock(), a, s.Now()-start) {
			if t := s.pick(pair[0].target); t != nil && tracker.TryAcquire(s.clock()) {
				s.hedges++
				s.reread += prompt
				launch(1, t)
				return
			}
		}
		if !refusal.IsFinal() {
			s.After(simRetry, look)
		}
	}
	if s.extraWork > 0 {
		s.After(s.delay(tracker, s.clock(), a), look)
	}
}

// simulate plays a minute with each of some seeds, and returns the sums, with the times to the first
// event in order of size.
func simulate(seeds int, extraWork float64, delay simDelay) *fleetSimulation {
	sum := &fleetSimulation{}
	for seed := range seeds {
		s := play(uint64(seed), extraWork, delay)
		sum.times = append(sum.times, s.times...)
		sum.requests, sum.hedges = sum.requests+s.requests, sum.hedges+s.hedges
		sum.prompts, sum.reread = sum.prompts+s.prompts, sum.reread+s.reread
	}
	slices.Sort(sum.times)
	return sum
}

// play plays a minute.
func play(seed uint64, extraWork float64, delay simDelay) *fleetSimulation {
	s := &fleetSimulation{rng: rand.New(rand.NewPCG(seed, 2)), extraWork: extraWork, delay: delay}
	for range simTargets {
		t := &simTarget{}
		normal := float64(simSlowTime) * (1 - simSlowShare) / simSlowShare
		for at := time.Duration(0); at < 2*simDuration; at += simSlowTime {
			at += time.Duration(s.rng.ExpFloat64() * normal)
			t.changes = append(t.changes, at, at+simSlowTime)
		}
		s.targets = append(s.targets, t)
	}
	for range simEntries {
		s.trackers = append(s.trackers, hedging.NewTracker(s.clock(), extraWork))
	}
	rate := simUtilization * simTargets * simSlots / (0.111 + 0.98*0.125*simStep)
	for at := time.Duration(0); at < simDuration; at += time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second)) {
		s.After(at, s.request)
	}
	for at := time.Duration(0); at < simDuration; at += simLoadAge {
		s.After(at, func() {
			for _, t := range s.targets {
				t.reported = t.running + len(t.waiting)
			}
		})
	}
	for s.RunNext() {
	}
	return s
}

func (s *fleetSimulation) quantile(q float64) time.Duration {
	return s.times[int(math.Ceil(q*float64(len(s.times))))-1]
}

// late returns the share of the requests that missed the objective.
func (s *fleetSimulation) late() float64 {
	i, _ := slices.BinarySearch(s.times, simObjective)
	return 1 - float64(i)/float64(len(s.times))
}

// extra returns the extra attempts as a share of the requests.
func (s *fleetSimulation) extra() float64 { return float64(s.hedges) / float64(s.requests) }

// Guards against hedges that cost work and do not shorten the slowest answers, or that exceed their share.
// With -v it prints the table of the design note.
func TestHedgesShortenSlowAnswers(t *testing.T) {
	decided := func(tr *hedging.Tracker, now time.Time, a hedging.Attempt) time.Duration { return tr.Delay(now, a) }
	predicted := func(_ *hedging.Tracker, _ time.Time, a hedging.Attempt) time.Duration { return a.Predicted * 3 / 2 }
	at := func(share float64) simDelay {
		return func(*hedging.Tracker, time.Time, hedging.Attempt) time.Duration {
			return time.Duration(share * float64(simObjective))
		}
	}
	seeds, ways := 2, []struct {
		name      string
		extraWork float64
		delay     simDelay
	}{{"off", 0, decided}, {"0.1", 0.1, decided}}
	if testing.Verbose() {
		seeds = 5
		ways = append(ways, []struct {
			name      string
			extraWork float64
			delay     simDelay
		}{
			{"0.05", 0.05, decided}, {"0.2", 0.2, decided}, {"prediction x 1.5, 0.1", 0.1, predicted}, {"1/4 of the objective, 0.1", 0.1, at(0.25)},
			{"1/2 of the objective, 0.1", 0.1, at(0.5)}, {"3/4 of the objective, 0.1", 0.1, at(0.75)}, {"tied, 0.1", 0.1, at(0)}, {"tied, 1", 1, at(0)},
		}...)
	}
	results := map[string]*fleetSimulation{}
	for _, w := range ways {
		s := simulate(seeds, w.extraWork, w.delay)
		results[w.name] = s
		t.Logf("| %s | %d | %d | %d | %.3f | %.3f | %.3f |", w.name, s.quantile(0.5).Milliseconds(), s.quantile(0.99).Milliseconds(),
			s.quantile(0.999).Milliseconds(), s.late(), s.extra(), s.reread/s.prompts)
	}
	off, on := results["off"], results["0.1"]
	if on.quantile(0.99) > off.quantile(0.99)*9/10 || on.late() > off.late()*0.8 || on.extra() > 0.1 {
		t.Errorf("p99 %v, share late %.4f with hedges, %v, %.4f without; extra attempts %.3f; want p99 down by a tenth, late by a fifth, extra at most 0.1",
			on.quantile(0.99), on.late(), off.quantile(0.99), off.late(), on.extra())
	}
}
