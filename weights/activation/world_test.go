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

// world runs two orderers of one engine, the second a replacement of the first,
// under lost replies, outages, pauses and restarts of the engine.
type world struct {
	rng     *rand.Rand
	queue   simulation.Queue
	log     []FenceRecord
	holders [2]*holder

	fencing  bool
	boot     int
	reports  uint64
	digest   contract.Digest
	complete map[contract.Digest]bool
	fence    contract.Fence
	// ran holds every digest that the engine ever ran.
	ran map[contract.Digest]bool
	// ordered is the highest incarnation whose order took effect.
	ordered int
	// changedBy is the incarnation that set the present digest.
	changedBy int
	broken    error
}

// holder is one orderer's process.
type holder struct {
	w           *world
	m           *StateMachine
	incarnation int
	pausedTill  time.Duration
	held        map[contract.Digest]bool
	draining    bool
	// openTill is until when an order without a reply may still take effect.
	openTill time.Duration
}

func (w *world) fail(format string, args ...any) {
	if w.broken == nil {
		w.broken = fmt.Errorf(format, args...)
	}
}

func (w *world) some(most time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(most)))
}

func (w *world) chance(share float64) bool { return w.rng.Float64() < share }

// run works through the events of a history.
func (w *world) run() error {
	const end = 90 * time.Second
	for w.broken == nil && w.queue.HasDue(end) {
		w.queue.RunNext()
	}
	return w.broken
}

// step hands an event over when the process is not paused.
func (h *holder) step(ev Event) {
	if h.w.queue.Now() < h.pausedTill {
		h.w.queue.After(h.pausedTill-h.w.queue.Now(), func() { h.step(ev) })
		return
	}
	effects := append([]Effect(nil), h.m.Step(h.w.queue.Now(), ev)...)
	for _, e := range effects {
		h.carryOut(e)
	}
	next := h.m.Next()
	if next < never/2 {
		h.w.queue.After(next-h.w.queue.Now(), func() {
			if h.m.Next() <= h.w.queue.Now() {
				h.step(Tick{})
			}
		})
	}
}

func (h *holder) carryOut(e Effect) {
	w := h.w
	switch e := e.(type) {
	case Stage:
		if !h.held[e.Version] {
			w.fail("staged %s, which is not held", e.Version)
		}
		w.queue.After(w.some(time.Second), func() {
			w.complete[e.Version] = true
			h.step(StageEnded{Version: e.Version, Result: ResultDone})
		})
	case RequestTurn:
		w.queue.After(w.some(time.Second), func() { h.step(TurnChanged{Version: e.Version, Granted: true}) })
	case Drain:
		h.draining = true
		w.queue.After(w.some(2*time.Second), func() { h.step(Drained{}) })
	case AppendFence:
		w.queue.After(w.some(100*time.Millisecond), func() { h.append() })
	case ReadFences:
		w.queue.After(w.some(100*time.Millisecond), func() { h.step(FencesRead{Records: w.log[:e.Own]}) })
	case RequestReport:
		h.askReport()
	case SendOrder:
		h.order(e)
	case Active:
		h.draining = false
		if e.Version != "" && !w.ran[e.Version] {
			w.fail("%s told active, but the engine never ran it", e.Version)
		}
	}
}

func (h *holder) append() {
	w := h.w
	if w.chance(0.1) {
		h.step(FenceAppended{})
		return
	}
	r := FenceRecord{
		Offset: contract.Offset(len(w.log) + 1), Incarnation: contract.Incarnation(h.incarnation),
		Lease: DefaultLease, Time: time.Unix(0, 0).Add(w.queue.Now()),
	}
	w.log = append(w.log, r)
	if w.chance(0.1) {
		h.step(FenceAppended{})
		return
	}
	w.queue.After(w.some(100*time.Millisecond), func() { h.step(FenceAppended{Offset: r.Offset}) })
}

func (h *holder) askReport() {
	w := h.w
	lag := w.some(time.Second)
	w.reports++
	r := Report{Boot: fmt.Sprint(w.boot), Seq: w.reports, Digest: w.digest, Fencing: w.fencing}
	w.queue.After(lag, func() {
		r.Age = lag
		h.step(ReportReceived{r})
	})
}

// order sends an order unless the process pauses and wakes past its time.
func (h *holder) order(o SendOrder) {
	w := h.w
	if w.queue.Now() < h.openTill {
		w.fail("ordered again while the order before may take effect")
	}
	if w.chance(0.3) {
		h.pausedTill = w.queue.Now() + w.some(40*time.Second)
	}
	w.queue.After(max(h.pausedTill-w.queue.Now(), 0), func() {
		if w.queue.Now() > o.NotAfter {
			h.step(OrderEnded{ID: o.ID, Result: ResultExpired})
			return
		}
		sent := w.queue.Now()
		w.queue.After(w.some(o.Timeout), func() { h.effect(o, sent) })
	})
}

func (h *holder) effect(o SendOrder, sent time.Duration) {
	w := h.w
	lost := w.chance(0.2)
	answer := func(r Result) {
		if lost {
			r = ResultUncertain
		}
		h.step(OrderEnded{ID: o.ID, Result: r})
	}
	switch {
	case lost && w.chance(0.5):
		h.openTill = sent + o.Timeout
	case w.chance(0.1):
		// The engine says done, but its load fails.
	case w.fencing && o.Fence < w.fence:
		answer(ResultFenced)
		return
	case !w.complete[o.Version]:
		answer(ResultIncomplete)
		return
	default:
		h.takeEffect(o)
	}
	answer(ResultDone)
}

func (h *holder) takeEffect(o SendOrder) {
	w := h.w
	if h.incarnation < w.ordered {
		w.fail("order of incarnation %d took effect after one of %d", h.incarnation, w.ordered)
	}
	if w.digest != "" && w.digest != o.Version && w.changedBy == h.incarnation && !h.draining {
		w.fail("order changed the version under running work")
	}
	w.ordered = h.incarnation
	w.fence = o.Fence
	w.digest = o.Version
	w.changedBy = h.incarnation
	w.ran[o.Version] = true
}

func (w *world) restartEngine() {
	w.boot++
	w.digest = ""
	if w.fencing {
		// The engine forgets the numbers that it has seen.
		w.fence, w.ordered = 0, 0
	}
	w.complete = map[contract.Digest]bool{}
}

// simulate runs one history and returns the first promise that it broke.
func simulate(seed uint64, off mechanism) error {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)), digest: "v0",
		complete: map[contract.Digest]bool{}, ran: map[contract.Digest]bool{"v0": true},
	}
	w.fencing = w.chance(0.3)
	for i := range w.holders {
		h := &holder{w: w, incarnation: i + 1, held: map[contract.Digest]bool{}}
		h.m = New(Config{Incarnation: contract.Incarnation(i + 1)}, rand.New(rand.NewPCG(seed, uint64(i))))
		h.m.off = off
		w.holders[i] = h
		w.queue.After(time.Duration(i)*w.some(20*time.Second), func() { h.start() })
	}
	if w.chance(0.3) {
		w.queue.After(w.some(60*time.Second), w.restartEngine)
	}
	return w.run()
}

// start wants versions one after the other.
func (h *holder) start() {
	w := h.w
	for i, v := range []contract.Digest{"v1", "v2"} {
		w.queue.After(time.Duration(i)*w.some(40*time.Second), func() {
			h.step(DeploymentChanged{Deployment{Version: v}})
			w.queue.After(w.some(3*time.Second), func() {
				h.held[v] = true
				h.step(VersionVerified{Version: v})
			})
		})
	}
}

func TestPromisesUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		if err := simulate(seed, 0); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMechanismsMatter shows that each mechanism carries a promise: without it
// some history breaks one.
func TestMechanismsMatter(t *testing.T) {
	const histories = 600
	for name, off := range map[string]mechanism{
		"stage only what is whole":        mechWhole,
		"drain before the order":          mechDrain,
		"wait for the former lease":       mechLeaseWait,
		"check the lease at the order":    mechLeaseCheck,
		"unknown fencing counts as none":  mechLearn,
		"stand down for later processes":  mechIncarnation,
		"confirm by the engine's report":  mechConfirm,
		"resolve lost replies by reports": mechResolve,
	} {
		t.Run(name, func(t *testing.T) {
			if err := simulation.CheckMechanismNeeded(histories, off, simulate); err != nil {
				t.Fatal(err)
			}
		})
	}
}
