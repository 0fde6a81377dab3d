package activation

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/simulation"
)

// simulatedSystem runs two orderers of one engine, of which the second replaces the
// first. Replies are lost, appends fail, orderers pause and the engine restarts.
type simulatedSystem struct {
	rng      *rand.Rand
	queue    simulation.Queue
	log      []FenceRecord
	orderers [2]*orderer

	fencing  bool
	boot     int
	reports  uint64
	digest   contract.Digest
	complete map[contract.Digest]bool
	fence    contract.Fence
	// everRun holds every digest that the engine ever ran.
	everRun map[contract.Digest]bool
	// highestOrdered is the highest incarnation whose order took effect.
	highestOrdered int
	// changedBy is the incarnation that set the present digest.
	changedBy int
	violation error
}

// orderer is one orderer's process.
type orderer struct {
	s           *simulatedSystem
	m           *StateMachine
	incarnation int
	pausedUntil time.Duration
	verified    map[contract.Digest]bool
	draining    bool
	// mayTakeEffectUntil is until when an order without a reply may still take effect.
	mayTakeEffectUntil time.Duration
}

// recordViolation records the first violated invariant.
func (s *simulatedSystem) recordViolation(format string, args ...any) {
	if s.violation == nil {
		s.violation = fmt.Errorf(format, args...)
	}
}

// randomDelay returns a random duration below limit.
func (s *simulatedSystem) randomDelay(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *simulatedSystem) chance(share float64) bool { return s.rng.Float64() < share }

// run executes the events of one history.
func (s *simulatedSystem) run() error {
	const end = 90 * time.Second
	for s.violation == nil && s.queue.HasDue(end) {
		s.queue.RunNext()
	}
	return s.violation
}

// step applies an event as soon as the process is not paused.
func (o *orderer) step(ev Event) {
	if o.s.queue.Now() < o.pausedUntil {
		o.s.queue.After(o.pausedUntil-o.s.queue.Now(), func() { o.step(ev) })
		return
	}
	effects := append([]Effect(nil), o.m.Step(o.s.queue.Now(), ev)...)
	for _, e := range effects {
		o.applyEffect(e)
	}
	next := o.m.Next()
	if next < never/2 {
		o.s.queue.After(next-o.s.queue.Now(), func() {
			if o.m.Next() <= o.s.queue.Now() {
				o.step(Tick{})
			}
		})
	}
}

func (o *orderer) applyEffect(e Effect) {
	s := o.s
	switch e := e.(type) {
	case Stage:
		if !o.verified[e.Version] {
			s.recordViolation("version %s staged before all its chunks are held", e.Version)
		}
		s.queue.After(s.randomDelay(time.Second), func() {
			s.complete[e.Version] = true
			o.step(StageEnded{Version: e.Version, Result: ResultDone})
		})
	case RequestTurn:
		s.queue.After(s.randomDelay(time.Second), func() { o.step(TurnChanged{Version: e.Version, Granted: true}) })
	case Drain:
		o.draining = true
		s.queue.After(s.randomDelay(2*time.Second), func() { o.step(Drained{}) })
	case AppendFence:
		s.queue.After(s.randomDelay(100*time.Millisecond), func() { o.appendFence() })
	case ReadFences:
		s.queue.After(s.randomDelay(100*time.Millisecond), func() { o.step(FencesRead{Records: s.log[:e.Own]}) })
	case RequestReport:
		o.requestReport()
	case SendOrder:
		o.sendOrder(e)
	case Active:
		o.draining = false
		if e.Version != "" && !s.everRun[e.Version] {
			s.recordViolation("version %s reported as active, but the engine never ran it", e.Version)
		}
	}
}

func (o *orderer) appendFence() {
	s := o.s
	if s.chance(0.1) {
		o.step(FenceAppended{})
		return
	}
	r := FenceRecord{
		Offset: contract.Offset(len(s.log) + 1), Incarnation: contract.Incarnation(o.incarnation),
		Lease: DefaultLease, Time: time.Unix(0, 0).Add(s.queue.Now()),
	}
	s.log = append(s.log, r)
	if s.chance(0.1) {
		o.step(FenceAppended{})
		return
	}
	s.queue.After(s.randomDelay(100*time.Millisecond), func() { o.step(FenceAppended{Offset: r.Offset}) })
}

func (o *orderer) requestReport() {
	s := o.s
	lag := s.randomDelay(time.Second)
	s.reports++
	r := Report{Boot: fmt.Sprint(s.boot), Seq: s.reports, Digest: s.digest, Fencing: s.fencing}
	s.queue.After(lag, func() {
		r.Age = lag
		o.step(ReportReceived{r})
	})
}

// order sends an order unless the process pauses and resumes after NotAfter.
func (o *orderer) sendOrder(order SendOrder) {
	s := o.s
	if s.queue.Now() < o.mayTakeEffectUntil {
		s.recordViolation("order sent while the previous order may still take effect")
	}
	if s.chance(0.3) {
		o.pausedUntil = s.queue.Now() + s.randomDelay(40*time.Second)
	}
	s.queue.After(max(o.pausedUntil-s.queue.Now(), 0), func() {
		if s.queue.Now() > order.NotAfter {
			o.step(OrderEnded{ID: order.ID, Result: ResultExpired})
			return
		}
		sent := s.queue.Now()
		s.queue.After(s.randomDelay(order.Timeout), func() { o.executeOrder(order, sent) })
	})
}

func (o *orderer) executeOrder(order SendOrder, sent time.Duration) {
	s := o.s
	lost := s.chance(0.2)
	answer := func(r Result) {
		if lost {
			r = ResultUncertain
		}
		o.step(OrderEnded{ID: order.ID, Result: r})
	}
	switch {
	case lost && s.chance(0.5):
		o.mayTakeEffectUntil = sent + order.Timeout
	case s.chance(0.1):
		// The engine says done, but its load fails.
	case s.fencing && order.Fence < s.fence:
		answer(ResultFenced)
		return
	case !s.complete[order.Version]:
		answer(ResultIncomplete)
		return
	default:
		o.changeVersion(order)
	}
	answer(ResultDone)
}

func (o *orderer) changeVersion(order SendOrder) {
	s := o.s
	if o.incarnation < s.highestOrdered {
		s.recordViolation("order of incarnation %d took effect after an order of incarnation %d", o.incarnation, s.highestOrdered)
	}
	if s.digest != "" && s.digest != order.Version && s.changedBy == o.incarnation && !o.draining {
		s.recordViolation("order changed the version while the gate was not draining")
	}
	s.highestOrdered = o.incarnation
	s.fence = order.Fence
	s.digest = order.Version
	s.changedBy = o.incarnation
	s.everRun[order.Version] = true
}

func (s *simulatedSystem) restartEngine() {
	s.boot++
	s.digest = ""
	if s.fencing {
		// The engine loses the fencing numbers that it has seen.
		s.fence, s.highestOrdered = 0, 0
	}
	s.complete = map[contract.Digest]bool{}
}

// simulate runs one history and returns the first violated invariant, or nil.
func simulate(seed uint64, off mechanism) error {
	s := &simulatedSystem{
		rng: rand.New(rand.NewPCG(seed, 7)), digest: "v0",
		complete: map[contract.Digest]bool{}, everRun: map[contract.Digest]bool{"v0": true},
	}
	s.fencing = s.chance(0.3)
	for i := range s.orderers {
		o := &orderer{s: s, incarnation: i + 1, verified: map[contract.Digest]bool{}}
		o.m = New(Config{Incarnation: contract.Incarnation(i + 1)}, rand.New(rand.NewPCG(seed, uint64(i))))
		o.m.disabled = off
		s.orderers[i] = o
		s.queue.After(time.Duration(i)*s.randomDelay(20*time.Second), func() { o.start() })
	}
	if s.chance(0.3) {
		s.queue.After(s.randomDelay(60*time.Second), s.restartEngine)
	}
	return s.run()
}

// start makes two versions the desired one, one after the other.
func (o *orderer) start() {
	s := o.s
	for i, v := range []contract.Digest{"v1", "v2"} {
		s.queue.After(time.Duration(i)*s.randomDelay(40*time.Second), func() {
			o.step(DeploymentChanged{Deployment{Version: v}})
			s.queue.After(s.randomDelay(3*time.Second), func() {
				o.verified[v] = true
				o.step(VersionVerified{Version: v})
			})
		})
	}
}

func TestInvariantsHoldUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := simulate(seed, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestDisabledMechanismViolatesInvariant checks that each mechanism is needed: with it
// disabled, some history violates an invariant.
func TestDisabledMechanismViolatesInvariant(t *testing.T) {
	const runs = 600
	for name, off := range map[string]mechanism{
		"stage only complete versions":    mechComplete,
		"drain before the order":          mechDrain,
		"wait for the former lease":       mechLeaseWait,
		"check the lease at the order":    mechLeaseCheck,
		"treat unknown fencing as none":   mechUnknownFencing,
		"stand down for a later process":  mechIncarnation,
		"confirm by the engine's report":  mechConfirm,
		"resolve lost replies by reports": mechResolve,
	} {
		t.Run(name, func(t *testing.T) {
			if err := simulation.CheckMechanismNeeded(runs, off, simulate); err != nil {
				t.Fatal(err)
			}
		})
	}
}
