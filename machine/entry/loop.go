package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// executor carries out effects. It must not block.
type executor interface {
	execute(e dispatch.Effect)
}

// loop serializes the events of the state machine and its timer.
type loop struct {
	mu       sync.Mutex
	machine  *dispatch.StateMachine
	executor executor
	effects  []dispatch.Effect
	timer    *time.Timer
	idle     chan struct{}
}

func newLoop(cfg dispatch.Config, ex executor) *loop {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l := &loop{
		machine:  dispatch.New(cfg, rng),
		executor: ex,
		idle:     make(chan struct{}, 1),
	}
	l.timer = time.AfterFunc(time.Hour, l.tick)
	return l
}

func (l *loop) tick() {
	l.step(dispatch.Tick{})
}

// step passes an event to the machine and carries out its effects.
func (l *loop) step(ev dispatch.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.effects = l.machine.Step(now, ev, l.effects[:0])
	for i, e := range l.effects {
		l.executor.execute(e)
		l.effects[i] = nil
	}
	if at, ok := l.machine.Wake(); ok {
		l.timer.Reset(max(0, at.Sub(now)))
	}
	if l.machine.OpenRequests() == 0 {
		l.signalIdle()
	}
}

func (l *loop) signalIdle() {
	select {
	case l.idle <- struct{}{}:
	default:
	}
}

// open is the number of unfinished requests.
func (l *loop) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.OpenRequests()
}

// load is the number of unfinished requests, and of those that wait for room.
func (l *loop) load() (open, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.OpenRequests(), l.machine.QueuedRequests()
}

func (l *loop) ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.machine.Ready()
}

func (l *loop) stop() {
	l.timer.Stop()
}
