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

// simulatedZone rolls a version out over the members of one zone. Statuses are delayed
// or lost, and members fail to change or turn cold.
type simulatedZone struct {
	rng     *rand.Rand
	queue   simulation.Queue
	targets []*target
	plan    Plan
	load    int
	// onlyRollout reports whether members leave service only for the roll-out.
	onlyRollout bool
	// maxOut is how many members may be out of service for the roll-out at once.
	maxOut    int
	violation error
	// failedChanges counts the members that left service for the roll-out and failed
	// to change.
	failedChanges int
}

type target struct {
	zone *simulatedZone
	name contract.MachineID
	m    *StateMachine
	Status
	changing bool
	// alwaysFails makes every change of the target fail.
	alwaysFails bool
}

const unitsPerTarget = 10

// randomDelay returns a random duration below limit.
func (z *simulatedZone) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(z.rng.Int64N(int64(limit)))
}

// recordViolation records the first violated invariant.
func (z *simulatedZone) recordViolation(format string, args ...any) {
	if z.violation == nil {
		z.violation = fmt.Errorf(format, args...)
	}
}

// checkInvariants checks how many members are out of service for the roll-out, whether
// the remaining ones can serve the load, and how many failed to change.
func (z *simulatedZone) checkInvariants() {
	out, serving := 0, 0
	for _, t := range z.targets {
		if t.changing {
			out++
		}
		if t.Serving {
			serving++
		}
	}
	if out > z.maxOut {
		z.recordViolation("%d of %d members out of service at once, want at most %d", out, len(z.targets), z.maxOut)
	}
	if out > 0 && z.onlyRollout && serving*unitsPerTarget < z.load {
		z.recordViolation("%d members serve, want enough for the load of %d units", serving, z.load)
	}
	if z.failedChanges > z.plan.MaxFailures+z.maxOut {
		z.recordViolation("%d members failed to change, want at most MaxFailures = %d plus %d out at once", z.failedChanges, z.plan.MaxFailures, z.maxOut)
	}
}

func (t *target) step(ev Event) {
	for _, e := range append([]Effect(nil), t.m.Step(t.zone.queue.Now(), ev)...) {
		switch e := e.(type) {
		case RequestStatus:
			t.requestStatus(e.To)
		case Grant:
			t.changeTo(e.Version)
		}
	}
	if next := t.m.Next(); next < never {
		t.zone.queue.After(next-t.zone.queue.Now(), func() {
			if t.m.Next() <= t.zone.queue.Now() {
				t.step(Tick{})
			}
		})
	}
}

// requestStatus delivers the status of a member after random delays of the request and
// of the reply. One request in ten is lost.
func (t *target) requestStatus(to contract.MachineID) {
	z := t.zone
	for _, other := range z.targets {
		if other.name != to || z.rng.Float64() < 0.1 {
			continue
		}
		z.queue.After(z.randomDelay(2*time.Second), func() {
			status := other.Status
			status.Running = z.loadPerTarget()
			z.queue.After(z.randomDelay(2*time.Second), func() {
				t.Running = z.loadPerTarget()
				t.step(SelfStatus{t.Status})
				t.step(StatusReceived{From: other.name, Status: status})
			})
		})
	}
}

// loadPerTarget returns the load of each member that serves.
func (z *simulatedZone) loadPerTarget() int {
	serving := 0
	for _, t := range z.targets {
		if t.Serving {
			serving++
		}
	}
	return (z.load + serving - 1) / max(serving, 1)
}

// changeTo takes the target out of service for a random time and then changes its
// version, or fails to.
func (t *target) changeTo(version contract.Digest) {
	z := t.zone
	served := t.Serving
	t.changing = served
	t.Serving = false
	z.checkInvariants()
	t.step(SelfStatus{t.Status})
	z.queue.After(time.Second+z.randomDelay(20*time.Second), func() {
		if t.alwaysFails {
			if served {
				z.failedChanges++
			}
			t.Failed = version
		} else {
			t.Active = version
		}
		t.Serving, t.changing = true, false
		t.step(SelfStatus{t.Status})
		t.step(ReadyToChange{Version: version})
		z.checkInvariants()
	})
}

// simulate runs one roll-out and returns the first violated invariant, or nil.
func simulate(seed uint64, disabled mechanism) error {
	z := &simulatedZone{rng: rand.New(rand.NewPCG(seed, 3))}
	n := 2 + z.rng.IntN(12)
	z.plan = Plan{Version: "v2", MinReady: z.rng.Float64() * 0.95, MaxFailures: z.rng.IntN(3)}
	z.load = z.rng.IntN(n * unitsPerTarget * 6 / 10)
	for i := range n {
		z.plan.Members = append(z.plan.Members, contract.MachineID(fmt.Sprintf("t%d", i)))
	}
	z.maxOut = maxMembersOut(n, z.plan.MinReady)
	alwaysFails := z.rng.Float64() < 0.3
	z.onlyRollout = z.rng.Float64() < 0.5
	for _, name := range z.plan.Members {
		t := &target{zone: z, name: name, m: New(Config{Self: name}), alwaysFails: alwaysFails}
		t.m.disabled = disabled
		t.Status = Status{Active: "v1", Serving: z.onlyRollout || z.rng.Float64() < 0.9, Limit: unitsPerTarget, Running: (z.load + n - 1) / n}
		z.targets = append(z.targets, t)
		z.queue.After(z.randomDelay(10*time.Second), func() { t.start() })
	}
	return z.run()
}

// maxMembersOut returns how many of n members may be out of service at once.
func maxMembersOut(n int, minReady float64) int {
	k := 1
	for k < n && float64(n-k-1) >= minReady*float64(n) {
		k++
	}
	return k
}

func (t *target) start() {
	t.step(Plan(t.zone.plan))
	t.step(SelfStatus{t.Status})
	t.step(ReadyToChange{Version: t.zone.plan.Version})
	if !t.zone.onlyRollout && t.zone.rng.Float64() < 0.1 {
		t.zone.queue.After(t.zone.randomDelay(30*time.Second), t.turnCold)
	}
}

// turnCold takes the target out of service for 5 s for a reason other than the roll-out.
func (t *target) turnCold() {
	if t.changing {
		return
	}
	t.Serving = false
	t.step(SelfStatus{t.Status})
	t.zone.queue.After(5*time.Second, func() {
		t.Serving = t.Serving || !t.changing
		t.step(SelfStatus{t.Status})
	})
}

func (z *simulatedZone) run() error {
	const end = 10 * time.Minute
	for z.violation == nil && z.queue.Now() < end && z.queue.RunNext() {
	}
	if z.violation == nil && z.failedChanges == 0 && z.load == 0 {
		z.checkComplete()
	}
	return z.violation
}

// checkComplete checks that every member runs the planned version.
func (z *simulatedZone) checkComplete() {
	for _, t := range z.targets {
		if t.Active != z.plan.Version {
			z.recordViolation("target %s still runs version %s at the end of the roll-out", t.name, t.Active)
		}
	}
}

func TestRolloutKeepsCapacityWithDelayedStatus(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(rapid.Uint64().Draw(t, "seed"), 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDisabledMechanismViolatesInvariant checks that each rule is needed: with the rule
// disabled, some roll-out violates an invariant.
func TestDisabledMechanismViolatesInvariant(t *testing.T) {
	const runs = 300
	for name, disabled := range map[string]mechanism{
		"members change in order":                       mechOrder,
		"MinReady limits how many members are out":      mechMinReady,
		"the live load limits how many members are out": mechLoad,
		"stops after too many failures":                 mechFailures,
	} {
		t.Run(name, func(t *testing.T) {
			if err := simulation.CheckMechanismNeeded(runs, disabled, simulate); err != nil {
				t.Fatal(err)
			}
		})
	}
}
