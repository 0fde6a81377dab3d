package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/simulation"
)

// world rolls a version out over the members of one zone, with answers that lag,
// members that fail to change and members that turn cold.
type world struct {
	rng     *rand.Rand
	queue   simulation.Queue
	targets []*target
	plan    Plan
	load    int
	// calm tells that no member is out of service but for the roll-out.
	calm    bool
	allowed int
	broken  error
	// failed counts the members that served, left for the roll-out and failed.
	failed int
}

type target struct {
	w    *world
	name contract.MachineID
	m    *StateMachine
	Status
	changing bool
	// faulty makes the target fail to change.
	faulty bool
}

const unitsPerTarget = 10

func (w *world) some(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

// check counts the members that are out of service for the roll-out.
func (w *world) check() {
	out, serving := 0, 0
	for _, t := range w.targets {
		if t.changing {
			out++
		}
		if t.Serving {
			serving++
		}
	}
	if out > w.allowed {
		w.fail("%d of %d out at once, %d allowed", out, len(w.targets), w.allowed)
	}
	if out > 0 && w.calm && serving*unitsPerTarget < w.load {
		w.fail("%d serve, too few for the load of %d", serving, w.load)
	}
	if w.failed > w.plan.MaxFailures+w.allowed {
		w.fail("%d failed, %d allowed before it stops, %d at once", w.failed, w.plan.MaxFailures, w.allowed)
	}
}

func (t *target) step(ev Event) {
	for _, e := range append([]Effect(nil), t.m.Step(t.w.queue.Now(), ev)...) {
		switch e := e.(type) {
		case RequestStatus:
			t.ask(e.To)
		case Grant:
			t.change(e.Version)
		}
	}
	if next := t.m.Next(); next < never {
		t.w.queue.After(next-t.w.queue.Now(), func() {
			if t.m.Next() <= t.w.queue.Now() {
				t.step(Tick{})
			}
		})
	}
}

// ask lets the question and the answer travel for a while; some are lost.
func (t *target) ask(to contract.MachineID) {
	w := t.w
	for _, o := range w.targets {
		if o.name != to || w.rng.Float64() < 0.1 {
			continue
		}
		w.queue.After(w.some(2*time.Second), func() {
			told := o.Status
			told.Running = w.share()
			w.queue.After(w.some(2*time.Second), func() {
				t.Running = w.share()
				t.step(SelfStatus{t.Status})
				t.step(StatusReceived{From: o.name, Status: told})
			})
		})
	}
}

// share is the load of each member that serves.
func (w *world) share() int {
	serving := 0
	for _, t := range w.targets {
		if t.Serving {
			serving++
		}
	}
	return (w.load + serving - 1) / max(serving, 1)
}

func (t *target) change(v contract.Digest) {
	w := t.w
	served := t.Serving
	t.changing = served
	t.Serving = false
	w.check()
	t.step(SelfStatus{t.Status})
	w.queue.After(time.Second+w.some(20*time.Second), func() {
		if t.faulty {
			if served {
				w.failed++
			}
			t.Failed = v
		} else {
			t.Active = v
		}
		t.Serving, t.changing = true, false
		t.step(SelfStatus{t.Status})
		t.step(ReadyToChange{Version: v})
		w.check()
	})
}

// simulate runs one roll-out and returns the first promise that it broke.
func simulate(seed uint64, off mechanism) error {
	w := &world{rng: rand.New(rand.NewPCG(seed, 3))}
	n := 2 + w.rng.IntN(12)
	w.plan = Plan{Version: "v2", MinReady: w.rng.Float64() * 0.95, MaxFailures: w.rng.IntN(3)}
	w.load = w.rng.IntN(n * unitsPerTarget * 6 / 10)
	for i := range n {
		w.plan.Members = append(w.plan.Members, contract.MachineID(fmt.Sprintf("t%d", i)))
	}
	w.allowed = allowedOut(n, w.plan.MinReady)
	broken := w.rng.Float64() < 0.3
	w.calm = w.rng.Float64() < 0.5
	for _, name := range w.plan.Members {
		t := &target{w: w, name: name, m: New(Config{Self: name}), faulty: broken}
		t.m.off = off
		t.Status = Status{Active: "v1", Serving: w.calm || w.rng.Float64() < 0.9, Limit: unitsPerTarget, Running: (w.load + n - 1) / n}
		w.targets = append(w.targets, t)
		w.queue.After(w.some(10*time.Second), func() { t.begin() })
	}
	return w.run()
}

func allowedOut(n int, minReady float64) int {
	k := 1
	for k < n && float64(n-k-1) >= minReady*float64(n) {
		k++
	}
	return k
}

func (t *target) begin() {
	t.step(Plan(t.w.plan))
	t.step(SelfStatus{t.Status})
	t.step(ReadyToChange{Version: t.w.plan.Version})
	if !t.w.calm && t.w.rng.Float64() < 0.1 {
		t.w.queue.After(t.w.some(30*time.Second), t.turnCold)
	}
}

// turnCold takes a target out without the roll-out's doing.
func (t *target) turnCold() {
	if t.changing {
		return
	}
	t.Serving = false
	t.step(SelfStatus{t.Status})
	t.w.queue.After(5*time.Second, func() {
		t.Serving = t.Serving || !t.changing
		t.step(SelfStatus{t.Status})
	})
}

func (w *world) run() error {
	const end = 10 * time.Minute
	for w.broken == nil && w.queue.Now() < end && w.queue.RunNext() {
	}
	if w.broken == nil && w.failed == 0 && w.load == 0 {
		w.checkComplete()
	}
	return w.broken
}

// checkComplete tells whether a roll-out without failures came to its end.
func (w *world) checkComplete() {
	for _, t := range w.targets {
		if t.Active != w.plan.Version {
			w.fail("%s still runs %s", t.name, t.Active)
		}
	}
}

func TestCapacityUnderLag(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(rapid.Uint64().Draw(t, "seed"), 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsMatter shows that each mechanism carries a promise: without it
// some roll-out breaks one.
func TestMechanismsMatter(t *testing.T) {
	const runs = 300
	for name, off := range map[string]mechanism{
		"members take turns":           mechOrder,
		"MinReady bounds who is out":   mechMinReady,
		"the live load bounds as well": mechLoad,
		"stop after failures":          mechFailures,
	} {
		t.Run(name, func(t *testing.T) {
			if err := simulation.CheckMechanismNeeded(runs, off, simulate); err != nil {
				t.Fatal(err)
			}
		})
	}
}
