package gate

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// mechanism names a part of the policy that the package's tests can switch off.
type mechanism uint32

const (
	offRecords mechanism = 1 << iota
	offTombstones
	offOneAttempt
	offDeadline
	offPinned
	offEndDigest
	offStale
	offZoneOut
	offLeaving
	offReturnQueue
	offVouch
	offLinger
	offLimit
	offDetach
	offPause
)

// Gate is the way to the back end of one target.
type Gate struct {
	cfg      Config
	rng      *rand.Rand
	started  time.Time
	now      time.Time
	settings Settings
	limiter  *coldstart.Limiter
	store    *answers.Store

	attempts   map[contract.AttemptID]*attempt
	queue      []*attempt
	queueBytes int
	weights    contract.Digest
	// activated is when the target last ordered a version into service: an
	// older report does not know of it.
	activated time.Time
	// drainUntil holds back new work while the version is about to change.
	drainUntil time.Time
	// pausedUntil holds back new work after a pause of the process.
	pausedUntil time.Time
	leaving     bool
	// meanRun is the mean time that units ran, 0 before the first one.
	meanRun time.Duration
	senders senders
	loadSeq uint64
	effects []Effect
	off     mechanism
}

// attempt is one that is queued, runs or lingers.
type attempt struct {
	from     contract.MachineID
	start    contract.Start
	deadline time.Time
	// record is nil while the attempt is queued.
	record  *answers.Record
	started time.Time
	// detached is when the attempt's stream broke, 0 while one is there.
	detached time.Time
	stopping bool
	// ended tells that the answer is closed and, since endedAt, the unit lingers.
	ended       bool
	endedAt     time.Time
	lingerUntil time.Time
}

func (a *attempt) id() contract.AttemptID { return a.start.Attempt }

// New returns the gate of a process that starts now. Nothing is accepted before
// the first Configured event.
func New(now time.Time, cfg Config, limits coldstart.Settings, rng *rand.Rand) *Gate {
	return &Gate{
		cfg: cfg, rng: rng, started: now, now: now,
		limiter:  coldstart.New(now, limits),
		store:    answers.New(cfg.Answers),
		attempts: map[contract.AttemptID]*attempt{},
		senders:  senders{},
	}
}

// Step takes one event. The effects are valid until the next Step. A time
// before that of an earlier event counts as the earlier time.
func (g *Gate) Step(now time.Time, e Event) []Effect {
	g.effects = g.effects[:0]
	g.advance(now)
	g.step(e)
	g.admit()
	return g.effects
}

// advance takes the time of a step and notes a pause of the process.
func (g *Gate) advance(now time.Time) {
	if now.Before(g.now) {
		g.emit(Ignored{Cause: string(coldstart.CauseClockWentBack)})
		return
	}
	paused := g.cfg.PauseThreshold > 0 && now.Sub(g.now) > g.cfg.PauseThreshold && g.off&offPause == 0
	g.now = now
	if paused {
		g.emit(Ignored{Cause: causePaused})
		g.pausedUntil = now.Add(g.cfg.PauseGrace)
		g.returnQueue(contract.ReasonSettingsNotReady)
	}
}

func (g *Gate) step(e Event) {
	switch e := e.(type) {
	case Arrived:
		g.arrived(e)
	case Disconnected:
		g.gone(e.Attempt)
	case Resumed:
		g.resumed(e.Attempt)
	case Cancelled:
		g.cancelled(e.Attempt)
	case Queried:
		g.queried(e.Query)
	case FirstToken:
		g.limit(coldstart.FirstTokenReceived(e))
	case Ended:
		g.ended(e)
	case Released:
		g.released(e.Attempt)
	case Reported:
		g.reported(e.Report)
	default:
		g.stepState(e)
	}
}

func (g *Gate) stepState(e Event) {
	switch e := e.(type) {
	case Activated:
		g.activate(e.Weights)
	case Configured:
		g.configured(e.Settings)
	case SenderSeen:
		g.senders.heard(e.Machine, g.now)
	case Leave:
		g.leave()
	case Drain:
		g.drainUntil = g.now.Add(g.cfg.DrainTimeout)
		g.returnQueue(contract.ReasonNoWeights)
	case Reopen:
		g.drainUntil = zeroTime
	case HandOver:
		g.handOver()
	case Tick:
		g.tick()
	}
}

func (g *Gate) emit(e Effect) {
	g.effects = append(g.effects, e)
}

// limit passes an event to the limiter. When the back end turns cold, what is
// queued goes back; when it only bears less, what is too much for the queue does.
func (g *Gate) limit(e coldstart.Event) {
	result := g.limiter.Step(g.now, e)
	if result.IgnoredCause != "" {
		g.emit(Ignored{Cause: string(result.IgnoredCause)})
	}
	if result.FallCause == "" {
		return
	}
	g.emit(LimitFell{Cause: result.FallCause})
	if result.FallCause != coldstart.CauseReportLowerLimit {
		g.returnQueue(contract.ReasonColdStart)
		return
	}
	for len(g.queue) > g.queueBound() {
		g.dropQueued(g.queue[len(g.queue)-1], g.fullReason())
	}
}

func (g *Gate) configured(s Settings) {
	if s.Offset < g.settings.Offset {
		g.emit(Ignored{Cause: causeOldSettings})
		return
	}
	g.settings = s
	g.limit(coldstart.SettingsChanged{Settings: s.Limits})
	if s.ZoneEvacuated && g.off&offZoneOut == 0 {
		g.returnQueue(contract.ReasonZoneOut)
	}
}

func (g *Gate) leave() {
	g.leaving = true
	if g.off&offLeaving == 0 {
		g.returnQueue(contract.ReasonTargetLeaving)
	}
}

// handOver ends the streams that another target can resume.
func (g *Gate) handOver() {
	reason := contract.ReasonTargetLeaving
	if !g.leaving {
		reason = contract.ReasonWeightsChanged
	}
	if !g.cfg.Model || !g.leaving && !g.draining() {
		return
	}
	for _, a := range g.matching(func(a *attempt) bool { return a.start.Idempotent }) {
		g.stop(a, reason)
	}
}

func (g *Gate) tick() {
	g.limit(coldstart.Tick{})
	g.store.Expire(g.now)
	g.senders.expire(g.now, g.cfg.SenderTimeout)
	g.returnIf(contract.ReasonDeadline, g.late)
	for _, a := range g.matching(g.due) {
		if a.ended {
			g.forget(a)
			continue
		}
		g.stop(a, contract.ReasonCallerGone)
	}
}

// due reports whether the linger time or the resume grace of a unit is over.
func (g *Gate) due(a *attempt) bool {
	if a.ended {
		return !a.lingerUntil.IsZero() && !a.lingerUntil.After(g.now)
	}
	return !a.stopping && !a.detached.IsZero() && g.now.Sub(a.detached) >= g.cfg.ResumeGrace
}

func (g *Gate) late(a *attempt) bool {
	return !a.deadline.After(g.now) && g.off&offDeadline == 0
}

// Idle reports whether nothing is queued and nothing runs towards a caller.
func (g *Gate) Idle() bool {
	if len(g.queue) > 0 {
		return false
	}
	for _, a := range g.attempts {
		if !a.ended {
			return false
		}
	}
	return true
}

// Answers returns the store of answers. Its frames may be appended and read
// between steps.
func (g *Gate) Answers() *answers.Store { return g.store }

// Ready reports whether the gate would accept work if it had room.
func (g *Gate) Ready() bool {
	return g.open() && g.limiter.Limit() > 0
}

// open reports whether nothing but room keeps the target from taking work.
func (g *Gate) open() bool {
	closed := g.leaving || g.settings.ZoneEvacuated || g.draining() || g.now.Before(g.pausedUntil)
	return !closed && g.settings.Ready && g.hasWeights()
}
