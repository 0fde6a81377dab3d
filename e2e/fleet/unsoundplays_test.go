package fleet

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// callTime is the time that an engine takes to store or to read a piece in plays.
	callTime = 5 * time.Millisecond
	// freezeTime is for how long a process stands still, longer than a bad piece is excused.
	freezeTime = 4 * time.Second
	// lateOrderTime is the time from an order to its acceptance that lets pieces turn bad meanwhile.
	lateOrderTime = excusedBadTime + 400*time.Millisecond
	// playTimeout limits a play; tailTime is how long answers are counted after its last load.
	playTimeout, tailTime = 15 * time.Second, 3 * time.Second
)

// play is one play of a fault: a version or two are announced while the fault goes on.
type play struct {
	f    *processFleet
	rand *rand.Rand
	next sync.Once

	mu      sync.Mutex
	isEnded bool
	wg      sync.WaitGroup
}

// faults lists the ways to unsound weights. Each has an engine, or the process beside it, fail while a
// version is staged and loaded.
var faults = map[string]func(p *play, i int){
	"1-freeze":                   (*play).freezeTarget,
	"2-late-order":               (*play).delayOrder,
	"2b-stalled-engine":          (*play).stallAtOrder,
	"3-unanswered-order":         (*play).holdOrderUntilNextIsStaged,
	"4-late-write":               (*play).holdWriteUntilNextIsVerified,
	"5-kill":                     (*play).killTarget,
	"5b-late-order-kill":         (*play).killTargetAfterLateOrder,
	"6-restart":                  (*play).restartEngine,
	"7-two-versions":             (*play).nameTwoVersions,
	"8-all":                      (*play).doAny,
	"9-late-order-freeze":        (*play).freezeTargetAfterLateOrder,
	"11-stall-two-versions":      (*play).stallWithTwoVersions,
	"10-order-of-killed-process": (*play).holdOrderOfKilledTarget,
}

// begin calls a function in a goroutine, unless the play has ended.
func (p *play) begin(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.isEnded {
		p.wg.Go(f)
	}
}

// end waits for all functions that the play has begun.
func (p *play) end() {
	p.mu.Lock()
	p.isEnded = true
	p.mu.Unlock()
	p.wg.Wait()
}

func (p *play) engine(i int) *stagingEngine { return p.f.engines[i] }

// takeCallTime takes the time of a call.
func takeCallTime(int, int) { time.Sleep(callTime) }

// announceNext announces one more version soon, once in a play.
func (p *play) announceNext() {
	p.next.Do(func() {
		p.begin(func() {
			time.Sleep(300 * time.Millisecond)
			p.f.announce()
		})
	})
}

// indexes returns some pieces.
func (p *play) indexes() []int { return p.rand.Perm(stagingPieces)[:1+p.rand.IntN(3)] }

func spoilAll(e *stagingEngine, indexes []int) {
	for _, i := range indexes {
		e.spoil(i)
	}
}

// atCall returns hooks that call f at one of the calls that stage, verify and prove a version.
func (p *play) atCall(calls int, f func()) (onPut, onGet func(n, index int)) {
	at := 1 + p.rand.IntN(calls)
	onPut = func(n, _ int) {
		time.Sleep(callTime)
		if n == at {
			p.begin(f)
		}
	}
	onGet = func(n, _ int) {
		time.Sleep(callTime)
		if n == at-stagingPieces {
			p.begin(f)
		}
	}
	return onPut, onGet
}

func (p *play) freezeTarget(i int) {
	e, target, indexes := p.engine(i), p.f.targets[i], p.indexes()
	onPut, onGet := p.atCall(3*stagingPieces, func() {
		time.AfterFunc(100*time.Millisecond, func() { spoilAll(e, indexes) })
		target.freeze(freezeTime)
	})
	e.setHooks(onPut, onGet, nil)
}

// spoilWhenRead returns a hook that has pieces turn bad once they have been read at the n-th call.
func (p *play) spoilWhenRead(e *stagingEngine) func(n, index int) {
	at, indexes := 1+p.rand.IntN(stagingPieces), p.indexes()
	return func(n, index int) {
		time.Sleep(callTime)
		if n == at {
			spoilAll(e, append(indexes, index))
		}
	}
}

func (p *play) delayOrder(i int) {
	e, delay := p.engine(i), 1500*time.Millisecond+time.Duration(p.rand.IntN(2500))*time.Millisecond
	e.setHooks(takeCallTime, p.spoilWhenRead(e), func(n, _ int) {
		if n == 1 {
			time.Sleep(delay)
		}
	})
}

// await waits until released is closed, or a time has passed.
func await(released <-chan struct{}, limit time.Duration) {
	select {
	case <-released:
	case <-time.After(limit):
	}
}

// releaseAtCall returns a hook that closes released at the given call, which then lasts longer: what waits
// for released goes on while that call is under way.
func releaseAtCall(at int, released chan struct{}) func(n, index int) {
	return func(n, _ int) {
		time.Sleep(callTime)
		if n == at {
			close(released)
			time.Sleep(4 * callTime)
		}
	}
}

func (p *play) holdOrderUntilNextIsStaged(i int) {
	released, at := make(chan struct{}), stagingPieces+1+p.rand.IntN(stagingPieces-1)
	p.engine(i).setHooks(releaseAtCall(at, released), takeCallTime, func(n, _ int) {
		if n == 1 {
			p.announceNext()
			await(released, 6*time.Second)
		}
	})
}

func (p *play) holdWriteUntilNextIsVerified(i int) {
	released, at := make(chan struct{}), 1+p.rand.IntN(stagingPieces)
	p.engine(i).setHooks(func(n, _ int) {
		time.Sleep(callTime)
		if n == at {
			p.announceNext()
			await(released, 8*time.Second)
		}
	}, takeCallTime, func(n, _ int) {
		if n == 1 {
			close(released)
			time.Sleep(10 * callTime)
		}
	})
}

func (p *play) killTarget(i int) {
	target, isNext := p.f.targets[i], p.rand.IntN(2) == 0
	onPut, onGet := p.atCall(3*stagingPieces, func() {
		if isNext {
			p.announceNext()
		}
		target.restart()
	})
	p.engine(i).setHooks(onPut, onGet, nil)
}

// stallAtOrder has pieces turn bad before the first order while the engine stands still.
func (p *play) stallAtOrder(i int) {
	e, stall := p.engine(i), 1500*time.Millisecond+time.Duration(p.rand.IntN(2500))*time.Millisecond
	e.setHooks(takeCallTime, p.spoilWhenRead(e), func(n, _ int) {
		if n == 1 {
			e.stall(stall)
		}
	})
}

// atLateOrder has pieces turn bad while the engine stands still for longer than that is excused,
// and calls f within some 100 ms of its acceptance.
func (p *play) atLateOrder(i int, f func()) {
	e, indexes, early := p.engine(i), p.indexes(), time.Duration(p.rand.IntN(500))*time.Millisecond
	e.setHooks(takeCallTime, takeCallTime, func(n, _ int) {
		if n == 1 {
			spoilAll(e, indexes)
			e.stall(lateOrderTime)
			p.begin(func() {
				time.Sleep(lateOrderTime + 200*time.Millisecond - early)
				f()
			})
		}
	})
}

func (p *play) killTargetAfterLateOrder(i int) { p.atLateOrder(i, p.f.targets[i].restart) }
func (p *play) freezeTargetAfterLateOrder(i int) {
	p.atLateOrder(i, func() { p.f.targets[i].freeze(8 * time.Second) })
}

// holdOrderOfKilledTarget has the order of a killed process accepted while its successor stages the
// next version.
func (p *play) holdOrderOfKilledTarget(i int) {
	released, at, target := make(chan struct{}), stagingPieces+1+p.rand.IntN(stagingPieces-1), p.f.targets[i]
	p.engine(i).setHooks(releaseAtCall(at, released), takeCallTime, func(n, _ int) {
		if n == 1 {
			p.announceNext()
			p.begin(target.restart)
			await(released, 8*time.Second)
		}
	})
}

func (p *play) restartEngine(i int) {
	e, keepsStaged := p.engine(i), p.rand.IntN(2) == 0
	if p.rand.IntN(2) == 0 {
		onPut, onGet := p.atCall(3*stagingPieces, func() { e.restart(keepsStaged) })
		e.setHooks(onPut, onGet, nil)
		return
	}
	p.restartEngineAtOrder(i, keepsStaged)
}

// restartEngineAtOrder has the engine start again when an order arrives, which it accepts then.
func (p *play) restartEngineAtOrder(i int, keepsStaged bool) {
	e := p.engine(i)
	e.setHooks(takeCallTime, takeCallTime, func(n, _ int) {
		if n <= 2 {
			e.restart(keepsStaged)
		}
	})
}

func (p *play) nameTwoVersions(i int) {
	if i == 0 {
		wait := time.Second + time.Duration(p.rand.IntN(2000))*time.Millisecond
		p.begin(func() {
			time.Sleep(wait)
			p.announceNext()
		})
	}
	e := p.engine(i)
	e.setHooks(takeCallTime, takeCallTime, nil)
	if p.rand.IntN(10) < 3 {
		indexes, wait := p.indexes(), time.Duration(p.rand.IntN(4000))*time.Millisecond
		p.begin(func() {
			time.Sleep(wait)
			spoilAll(e, indexes)
		})
	}
}

// stallWithTwoVersions has the engine stand still while one of two versions is staged or ordered.
func (p *play) stallWithTwoVersions(i int) {
	p.nameTwoVersions(i)
	e, stall := p.engine(i), time.Second+time.Duration(p.rand.IntN(3000))*time.Millisecond
	onPut, onGet := p.atCall(3*stagingPieces, func() { e.stall(stall) })
	e.setHooks(onPut, onGet, nil)
}

func (p *play) doAny(i int) {
	p.nameTwoVersions(i)
	switch p.rand.IntN(3) {
	case 0:
		p.freezeTarget(i)
	case 1:
		p.killTarget(i)
	}
}

// run plays a fault at all engines and waits until they hold the newest version.
func (p *play) run(fault func(p *play, i int)) {
	for i := range p.f.engines {
		fault(p, i)
	}
	p.f.announce()
	for end := time.Now().Add(playTimeout); time.Now().Before(end) && !p.isOver(); time.Sleep(10 * time.Millisecond) {
		continue
	}
	p.end()
	time.Sleep(tailTime)
}

// isOver reports whether all engines hold the newest version.
func (p *play) isOver() bool {
	for _, e := range p.f.engines {
		if e.heldVersion() != p.f.version.Load() {
			return false
		}
	}
	return true
}

// Plays ways to unsound weights (WHOLE, inc2) on a program and reports the answers made with such weights:
// docs/incidents/inc2-whole-plays.md says how. It is no test of the product and runs only if asked for.
func TestPlayUnsoundWeights(t *testing.T) {
	program, names := os.Getenv("PLAY_PROGRAM"), os.Getenv("PLAY_FAULTS")
	if program == "" || names == "" {
		t.Skip("PLAY_PROGRAM and PLAY_FAULTS are not set")
	}
	seed, _ := strconv.ParseUint(os.Getenv("PLAY_SEED"), 10, 64)
	limit, err := time.ParseDuration(os.Getenv("PLAY_TIME"))
	if err != nil {
		t.Fatal(err)
	}
	engines, _ := strconv.Atoi(os.Getenv("PLAY_ENGINES"))
	for _, name := range strings.Split(names, ",") {
		t.Run(name, func(t *testing.T) { playFault(t, program, name, engines, seed, limit) })
	}
}

// playFault plays a fault for a time. It fails if a load of unsound pieces served.
func playFault(t *testing.T, program, name string, engines int, seed uint64, limit time.Duration) {
	fault, ok := faults[name]
	if !ok {
		t.Fatalf("unknown fault %q", name)
	}
	f := newProcessFleet(t, program, engines)
	random := rand.New(rand.NewPCG(seed, 0))
	plays, broken, unfinished := 0, 0, 0
	for end := time.Now().Add(limit); time.Now().Before(end); plays++ {
		p := &play{f: f, rand: random}
		before := f.unsoundLoadsThatServed()
		p.run(fault)
		if !p.isOver() {
			unfinished++
		}
		if after := f.unsoundLoadsThatServed(); after > before {
			broken++
		}
	}
	result := f.unsoundResult()
	t.Logf("RESULT %s seed=%d engines=%d plays=%d broken=%d unfinished=%d %s answers=%d callers=%s",
		name, seed, engines, plays, broken, unfinished, result, f.servedCount(), f.statusCounts())
	failOnUnsoundAnswers(t, f.engines)
}

// unsoundResult returns the sums over all loads of unsound pieces.
func (f *processFleet) unsoundResult() string {
	loads, answered, total, most := 0, 0, 0, 0
	for _, e := range f.engines {
		for _, l := range e.unsoundLoads() {
			loads, total, most = loads+1, total+l.answers, max(most, l.answers)
			if l.answers > 0 {
				answered++
			}
		}
	}
	return fmt.Sprintf("unsound_loads=%d unsound_loads_answered=%d unsound_answers=%d most_of_one_load=%d", loads, answered, total, most)
}
