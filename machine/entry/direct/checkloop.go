package direct

import (
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// checkInterval is the time between two looks at the attempts under way: whether a target is
// silent, whether a request has become known to crash targets, and whether the weights of a target
// that has not begun are too old by now.
const checkInterval = 50 * time.Millisecond

// minCheckInterval is the least time between two looks. They are closer together than checkInterval
// while the hedge of an attempt is due sooner: the objectives of plain services are little longer.
const minCheckInterval = 5 * time.Millisecond

// checkLoop has the requests under way look at their attempts when there may be something to see.
// It is one loop for all of them: a timer of each request would wake the process as often as all
// requests together, for attempts that mostly go on.
type checkLoop struct {
	fleet *fleetState

	mu        sync.Mutex
	pairs     map[*attemptPair]bool
	isRunning bool
	// added has an element when a request has been added whose hedge is due some time.
	added chan struct{}
}

func newCheckLoop(fleet *fleetState) *checkLoop {
	return &checkLoop{fleet: fleet, pairs: map[*attemptPair]bool{}, added: make(chan struct{}, 1)}
}

// watch has a request look at its attempts from now on, until unwatch.
func (l *checkLoop) watch(p *attemptPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pairs[p] = true
	if !l.isRunning {
		l.isRunning = true
		// A standstill before the loop runs counts, too.
		l.fleet.standstills.Restart()
		go l.run()
	}
	if p.hedgeDue.Load() == 0 {
		return
	}
	select {
	case l.added <- struct{}{}:
	default:
	}
}

func (l *checkLoop) unwatch(p *attemptPair) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pairs, p)
}

// run looks at the requests every checkInterval, and sooner if a hedge is due, until there are none.
func (l *checkLoop) run() {
	timer := time.NewTimer(checkInterval)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-l.added:
		}
		next, ok := l.signalDue()
		if !ok {
			return
		}
		timer.Reset(next)
	}
}

// signalDue signals the requests that are to look at their attempts, and returns the time until it is to
// be called again. It reports false, and the loop ends, if there are no requests.
func (l *checkLoop) signalDue() (next time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.pairs) == 0 {
		l.isRunning = false
		return 0, false
	}
	l.fleet.standstills.Observe()
	basis := l.fleet.checkBasis()
	next = checkInterval
	for p := range l.pairs {
		wait, due := p.untilHedge(basis.runTime)
		next = min(next, max(wait, minCheckInterval))
		if !due && !p.mayNeedCheck(basis) {
			continue
		}
		select {
		case p.checks <- struct{}{}:
		default:
		}
	}
	return next, true
}

// checkBasis is what decides which requests look at their attempts.
type checkBasis struct {
	// runTime is for how long the process has run.
	runTime time.Duration
	// knowsCrashCauses is set if any request or part of a prompt is known to crash targets.
	knowsCrashCauses bool
	// oldestBeginning holds, for each service, the oldest version of the weights on which an
	// attempt may still begin; 0 for any.
	oldestBeginning map[contract.ServiceName]int64
}

func (fs *fleetState) checkBasis() checkBasis {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	basis := checkBasis{
		runTime:          fs.runClock.Advance(time.Now()),
		knowsCrashCauses: fs.poison.HasVerdicts(),
		oldestBeginning:  map[contract.ServiceName]int64{},
	}
	for name := range fs.pools {
		basis.oldestBeginning[name] = fs.oldestBeginning(name)
	}
	return basis
}

// mayNeedCheck reports whether there may be something to see at the current attempt. It is called
// by another goroutine than that of the request.
func (p *attemptPair) mayNeedCheck(basis checkBasis) bool {
	x := p.watched.Load()
	silence := basis.runTime - time.Duration(x.lastActivityRunTime.Load())
	oldest := basis.oldestBeginning[p.call.service]
	hedge := p.watchedHedge.Load()
	return basis.knowsCrashCauses || silence > x.minSilence() || x.choice.Version < oldest || hedge != nil && hedge.choice.Version < oldest
}
