package entry

import (
	"math/rand/v2"
	"sync"
	"time"

	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// executor executes the effects of the state machine. It must not block.
type executor interface {
	execute(e dispatch.Effect)
}

// eventLoop serializes the events of the state machine and runs its timer.
type eventLoop struct {
	mu           sync.Mutex
	stateMachine *dispatch.StateMachine
	executor     executor
	effects      []dispatch.Effect
	timer        *time.Timer
	idle         chan struct{}
}

func newEventLoop(cfg dispatch.Config, ex executor) *eventLoop {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	l := &eventLoop{
		stateMachine: dispatch.New(cfg, rng),
		executor:     ex,
		idle:         make(chan struct{}, 1),
	}
	l.timer = time.AfterFunc(time.Hour, l.tick)
	return l
}

func (l *eventLoop) tick() {
	l.step(dispatch.Tick{})
}

// step passes an event to the state machine, executes the resulting effects and sets the
// timer.
func (l *eventLoop) step(ev dispatch.Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.effects = l.stateMachine.Step(now, ev, l.effects[:0])
	for i, e := range l.effects {
		l.executor.execute(e)
		l.effects[i] = nil
	}
	if at, ok := l.stateMachine.Wake(); ok {
		l.timer.Reset(max(0, at.Sub(now)))
	}
	if l.stateMachine.OpenRequests() == 0 {
		l.signalIdle()
	}
}

// signalIdle signals that no request is open, unless a signal is pending already.
func (l *eventLoop) signalIdle() {
	select {
	case l.idle <- struct{}{}:
	default:
	}
}

// openRequests returns the number of unfinished requests.
func (l *eventLoop) openRequests() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stateMachine.OpenRequests()
}

// requestCounts returns the number of unfinished requests, and how many of them are
// queued for a target.
func (l *eventLoop) requestCounts() (open, queued int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stateMachine.OpenRequests(), l.stateMachine.QueuedRequests()
}

func (l *eventLoop) isReady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stateMachine.Ready()
}

func (l *eventLoop) stopTimer() {
	l.timer.Stop()
}
