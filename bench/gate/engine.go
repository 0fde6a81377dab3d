package gate

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// Properties of the engine that is modelled.
const (
	warmLimit  = 16
	coldLimit  = 2
	coldStart  = 3 * time.Second
	unitTime   = 400 * time.Millisecond
	firstToken = 40 * time.Millisecond
	// coldFactor stretches the first token of a cold engine.
	coldFactor = 10
	reportLag  = time.Second
)

// breakage is what a cold engine does with more work than it bears.
type breakage uint8

const (
	// refuses answers 503 to what is too much.
	refuses breakage = iota
	// fallsOver takes it, breaks all answers and restarts.
	fallsOver
)

// coldEngine is a model engine that turns cold, in virtual time.
type coldEngine struct {
	kind    breakage
	rng     *rand.Rand
	warm    bool
	coldAt  time.Time
	boot    int
	running map[int]bool
	history []coldstart.Report
	times   []time.Time
	seq     uint64
	// above counts the units that came above what the engine bore.
	above int
	falls int
}

func newColdEngine(kind breakage, seed uint64, now time.Time) *coldEngine {
	e := &coldEngine{kind: kind, rng: rand.New(rand.NewPCG(seed, seed)), warm: true, running: map[int]bool{}}
	e.observe(now)
	return e
}

func (e *coldEngine) limit() int {
	if e.warm {
		return warmLimit
	}
	return coldLimit
}

// turnCold loses the warmth, with a restart also the boot and all work.
func (e *coldEngine) turnCold(now time.Time, restart bool) (broken []int) {
	e.warm, e.coldAt = false, now
	if restart {
		e.boot++
		for id := range e.running {
			broken = append(broken, id)
		}
		clear(e.running)
		e.history, e.times = nil, nil
	}
	e.observe(now)
	return broken
}

func (e *coldEngine) refresh(now time.Time) {
	if !e.warm && now.Sub(e.coldAt) >= coldStart {
		e.warm = true
		e.observe(now)
	}
}

// start takes a unit. A unit above the limit is refused, or brings the engine
// down with all its work.
func (e *coldEngine) start(now time.Time, id int) (accepted bool, broken []int) {
	e.refresh(now)
	if len(e.running) < e.limit() {
		e.running[id] = true
		e.observe(now)
		return true, nil
	}
	e.above++
	if e.kind == refuses {
		return false, nil
	}
	e.falls++
	e.running[id] = true
	return true, e.turnCold(now, true)
}

func (e *coldEngine) end(now time.Time, id int) {
	delete(e.running, id)
	e.observe(now)
}

// unit returns the times to the first token and to the end of a unit.
func (e *coldEngine) unit() (first, whole time.Duration) {
	first = firstToken
	if !e.warm {
		first *= coldFactor
	}
	spread := 0.75 + e.rng.Float64()/2
	return first, first + time.Duration(float64(unitTime)*spread)
}

func (e *coldEngine) observe(now time.Time) {
	e.history = append(e.history, coldstart.Report{
		Boot: string(rune('a' + e.boot%26)), Digest: digest, Warm: e.warm, Running: len(e.running), Limit: e.limit(),
	})
	e.times = append(e.times, now)
}

// report returns the newest report that is as old as the lag.
func (e *coldEngine) report(now time.Time) coldstart.Report {
	e.refresh(now)
	for len(e.times) > 1 && !e.times[1].After(now.Add(-reportLag)) {
		e.history, e.times = e.history[1:], e.times[1:]
	}
	e.seq++
	r := e.history[0]
	r.Seq, r.Age = e.seq, min(reportLag, now.Sub(e.times[0]))
	return r
}
