package gate

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/simulation"
	"mimosastand.example/mimosastand/machine/target/coldstart"
	"mimosastand.example/mimosastand/machine/target/gate"
)

const (
	digest = contract.Digest("d")
	// warmUp is when the measurement begins, coldAt when the engine turns cold,
	// both after the start; horizon is when the run ends.
	warmUp  = 20 * time.Second
	coldAt  = 30 * time.Second
	horizon = 90 * time.Second
	// load is the share of the warm engine's rate that is offered.
	load       = 0.8
	pollEvery  = 250 * time.Millisecond
	rateWindow = 2 * time.Second
	// fullRate is the share of the rate before that counts as full again.
	fullRate    = 0.8
	remaining   = 5 * time.Second
	slowStart   = 5 * time.Second
	staleAfter  = 3 * time.Second
	epochSecond = 1_000_000
)

// policy names how the target bounds the work.
type policy uint8

const (
	gated policy = iota
	fixed
)

func (p policy) String() string { return [...]string{"gate", "fixed limit"}[p] }

func (p policy) settings() coldstart.Settings {
	if p == fixed {
		return coldstart.Settings{WarmLimit: warmLimit, ColdLimit: warmLimit}
	}
	return coldstart.Settings{WarmLimit: warmLimit, ColdLimit: coldLimit, SlowStart: slowStart, ReportsLoad: true, StaleAfter: staleAfter}
}

// result is what one run showed.
type result struct {
	sent, above, falls        int
	arrived, answered, broken int
	notRun                    int
	regained                  time.Duration
}

// run is one run in virtual time.
type run struct {
	g      *gate.Gate
	e      *coldEngine
	rng    *rand.Rand
	queue  simulation.Queue
	start  time.Time
	next   int
	done   []time.Time
	result result
}

func simulate(p policy, kind breakage, restart bool, seed uint64) result {
	start := time.Unix(epochSecond, 0)
	cfg := gate.DefaultConfig
	cfg.Service, cfg.Model = "s", true
	r := &run{
		g:   gate.New(start, cfg, p.settings(), rand.New(rand.NewPCG(seed, 1))),
		e:   newColdEngine(kind, seed, start),
		rng: rand.New(rand.NewPCG(seed, 2)), start: start,
	}
	r.step(gate.Configured{Settings: gate.Settings{Ready: true, Limits: p.settings()}})
	r.step(gate.Activated{Weights: digest})
	r.after(pollEvery, r.poll)
	r.after(warmUp/4, r.arrive)
	r.after(coldAt, func(now time.Time) { r.broke(r.e.turnCold(now, restart)) })
	r.play(horizon)
	r.result.above, r.result.falls = r.e.above, r.e.falls
	r.result.regained = r.regained()
	return r.result
}

// play runs events until one is due at the time end or later, which still runs.
func (r *run) play(end time.Duration) {
	for r.queue.Now() < end && r.queue.RunNext() {
	}
}

func (r *run) now() time.Time { return r.start.Add(r.queue.Now()) }

func (r *run) after(d time.Duration, what func(now time.Time)) {
	r.queue.After(d, func() { what(r.now()) })
}

func (r *run) poll(now time.Time) {
	r.step(gate.Reported{Report: r.e.report(now)})
	r.step(gate.Tick{})
	r.after(pollEvery, r.poll)
}

// arrive offers one attempt and draws the time of the next one.
func (r *run) arrive(now time.Time) {
	r.next++
	if now.Sub(r.start) >= coldAt {
		r.result.arrived++
	}
	id := contract.AttemptID{Request: contract.RequestID(fmt.Sprint(r.next)), N: 1}
	r.step(gate.Arrived{From: "e", Start: contract.Start{
		Attempt: id, Service: "s", Remaining: remaining, Weights: digest, Idempotent: true,
	}})
	rate := load * warmLimit / (unitTime + firstToken).Seconds()
	r.after(time.Duration(r.rng.ExpFloat64()/rate*float64(time.Second)), r.arrive)
}

func (r *run) step(e gate.Event) {
	for _, effect := range slices.Clone(r.g.Step(r.now(), e)) {
		switch effect := effect.(type) {
		case gate.Run:
			r.send(effect.Start.Attempt)
		case gate.Refuse:
			if r.queue.Now() >= coldAt {
				r.result.notRun++
			}
		}
	}
}

// send gives a unit to the engine.
func (r *run) send(id contract.AttemptID) {
	var unit int
	_, _ = fmt.Sscan(string(id.Request), &unit)
	if r.queue.Now() >= coldAt {
		r.result.sent++
	}
	accepted, broken := r.e.start(r.now(), unit)
	if !accepted {
		r.after(0, func(time.Time) {
			r.result.notRun++
			r.step(gate.Ended{Attempt: id, Outcome: contract.OutcomeNotRun, Reason: contract.ReasonColdStart, Fault: gate.FaultOverloaded})
		})
		return
	}
	r.broke(broken)
	first, whole := r.e.unit()
	r.after(first, func(time.Time) {
		if r.e.running[unit] {
			r.step(gate.FirstToken{Attempt: id})
		}
	})
	r.after(whole, func(now time.Time) { r.finish(now, unit, id) })
}

func (r *run) finish(now time.Time, unit int, id contract.AttemptID) {
	if !r.e.running[unit] {
		return
	}
	r.e.end(now, unit)
	r.done = append(r.done, now)
	if now.Sub(r.start) >= coldAt {
		r.result.answered++
	}
	r.step(gate.Ended{Attempt: id, Outcome: contract.OutcomeDone, Weights: digest})
}

// broke ends the units that went down with the engine.
func (r *run) broke(units []int) {
	slices.Sort(units)
	for _, unit := range units {
		id := contract.AttemptID{Request: contract.RequestID(fmt.Sprint(unit)), N: 1}
		r.result.broken++
		r.after(time.Millisecond, func(time.Time) {
			r.step(gate.Ended{Attempt: id, Reason: contract.ReasonTruncatedAnswer, Fault: gate.FaultConnection})
		})
	}
}

// regained returns how long after the engine turned cold the rate was that of
// before for good; 0 if it never was.
func (r *run) regained() time.Duration {
	before := rateAt(r.done, r.start.Add(coldAt))
	end := r.now()
	last := end
	for at := end; at.After(r.start.Add(coldAt)); at = at.Add(-rateWindow / 4) {
		if rateAt(r.done, at) < fullRate*before {
			break
		}
		last = at
	}
	if last.Equal(end) {
		return 0
	}
	return last.Sub(r.start.Add(coldAt))
}

// rateAt returns the units that ended a second in the window before at.
func rateAt(done []time.Time, at time.Time) float64 {
	n := 0
	for _, t := range done {
		if t.After(at.Add(-rateWindow)) && !t.After(at) {
			n++
		}
	}
	return float64(n) / rateWindow.Seconds()
}

// reportColdStart prints the runs side by side.
func reportColdStart(w io.Writer, seed uint64) {
	fmt.Fprintf(w, "an engine turns cold without warning (bears %d warm, %d cold, cold start %s, reports lag %s), %.0f%% load, %s after it\n",
		warmLimit, coldLimit, coldStart, reportLag, load*100, horizon-coldAt)
	fmt.Fprintf(w, "%-28s %-12s %8s %8s %9s %8s %8s %8s %9s\n",
		"engine", "policy", "arrived", "answered", "not run", "broken", "above", "restarts", "regained")
	for _, s := range []struct {
		name    string
		kind    breakage
		restart bool
	}{
		{"restarts, refuses too much", refuses, true}, {"only cold, refuses too much", refuses, false},
		{"restarts, falls over", fallsOver, true}, {"only cold, falls over", fallsOver, false},
	} {
		for _, p := range []policy{fixed, gated} {
			res := simulate(p, s.kind, s.restart, seed)
			fmt.Fprintf(w, "%-28s %-12s %8d %8d %9d %8d %8d %8d %9s\n", s.name, p,
				res.arrived, res.answered, res.notRun, res.broken, res.above, res.falls, regainedText(res.regained))
		}
	}
}

func regainedText(d time.Duration) string {
	if d == 0 {
		return "never"
	}
	return d.Round(100 * time.Millisecond).String()
}
