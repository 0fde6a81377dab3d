package fleet

import (
	"math/rand/v2"
	"testing"
	"time"
)

// unansweredWait is how long an engine may be out of use after it has loaded sound weights.
const unansweredWait = 8 * time.Second

// Guards against answers from unsound weights while nothing is known of them (WHOLE, inc2): an engine stands
// still, accepts an order with bad pieces late, and the process beside it is replaced or stands still too
// before it has proved the weights.
func TestUnprovedWeightsServeNothingWithoutProcess(t *testing.T) {
	t.Parallel()
	const seed, engineCount = 7, 2
	program := buildProgram(t)
	for name, fault := range map[string]func(p *play, i int){
		"replaced": (*play).killTargetAfterLateOrder,
		"frozen":   (*play).freezeTargetAfterLateOrder,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newProcessFleet(t, program, engineCount)
			p := &play{f: f, rand: rand.New(rand.NewPCG(seed, 0))}
			p.run(fault)
			failOnUnsoundAnswers(t, f.engines)
		})
	}
}

// Guards against answers without any sound piece (WHOLE, inc2): an engine starts again as an order arrives, and
// entries hear of the new start from the target list when it has loaded, before its process reports again.
func TestEngineThatIsListedAfterItsLoadServesNothingUnproved(t *testing.T) {
	t.Parallel()
	const engineCount = 4
	f := newProcessFleet(t, buildProgram(t), engineCount)
	p := &play{f: f}
	p.run(func(p *play, i int) {
		e := p.engine(i)
		e.setHooks(takeCallTime, takeCallTime, func(n, _ int) {
			if n == 1 {
				e.restart(false)
				e.unlistFor(loadTime + 50*time.Millisecond)
			}
		})
	})
	failOnUnsoundAnswers(t, f.engines)
}

// Guards against an engine that stays out of use until the next version because the order to load its sound
// weights got no answer.
func TestEngineServesAfterUnansweredOrder(t *testing.T) {
	t.Parallel()
	f := newProcessFleet(t, buildProgram(t), 1)
	e := f.engines[0]
	e.setHooks(nil, nil, func(n, _ int) {
		if n == 1 {
			e.stall(2 * time.Second)
		}
	})
	version := f.announce()
	f.eventually("the engine holds the version", func() bool { return e.heldVersion() == version })
	for end := time.Now().Add(unansweredWait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if e.servesSoundly(version) {
			return
		}
	}
	t.Errorf("no requests are sent to the engine %v after it has loaded sound weights", unansweredWait)
}
