package gate

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/answers"
	"mimosastand.example/mimosastand/machine/target/coldstart"
)

// mechanism identifies a part of the policy that the package's tests can disable.
type mechanism uint32

const (
	offRecords mechanism = 1 << iota
	offTombstones
	offSingleAttempt
	offDeadline
	offPinning
	offEndDigest
	offStaleSettings
	offZoneEvacuated
	offLeaving
	offRefuseQueued
	offRecordCheck
	offLingering
	offLimit
	offRunDetached
	offPause
)

// Gate controls access to the back end of one target.
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
	// activatedAt is when the target last activated a version. The digest of a report
	// that was taken earlier is out of date.
	activatedAt time.Time
	// drainUntil is until when new work is refused because the version is about to change.
	drainUntil time.Time
	// pauseGraceUntil is until when new work is refused after a pause of the process.
	pauseGraceUntil time.Time
	leaving         bool
	// meanRunTime is the mean running time of units; 0 before the first one has completed.
	meanRunTime time.Duration
	senders     senders
	loadSeq     uint64
	effects     []Effect
	disabled    mechanism
}

// attempt is an attempt that is queued, running or lingering.
type attempt struct {
	from     contract.MachineID
	start    contract.Start
	deadline time.Time
	// record is nil while the attempt is queued.
	record  *answers.Record
	started time.Time
	// detachedAt is when the attempt's stream broke; zero while a stream is open.
	detachedAt time.Time
	stopping   bool
	// ended is set when the answer is closed. The unit lingers from endedAt on.
	ended       bool
	endedAt     time.Time
	lingerUntil time.Time
}

func (a *attempt) id() contract.AttemptID { return a.start.Attempt }

// New returns the gate of a process that starts now. It accepts no attempt before the
// first Configured event.
func New(now time.Time, cfg Config, limits coldstart.Settings, rng *rand.Rand) *Gate {
	return &Gate{
		cfg: cfg, rng: rng, started: now, now: now,
		limiter:  coldstart.New(now, limits),
		store:    answers.New(cfg.Answers),
		attempts: map[contract.AttemptID]*attempt{},
		senders:  senders{},
	}
}

// Step applies one event and returns its effects, which are valid until the next Step. A
// time before that of an earlier event counts as the earlier time.
func (g *Gate) Step(now time.Time, e Event) []Effect {
	g.effects = g.effects[:0]
	g.advanceClock(now)
	g.handleEvent(e)
	g.admit()
	return g.effects
}

// advanceClock sets the time of a step. After a pause of the process it refuses queued
// attempts and starts the pause grace.
func (g *Gate) advanceClock(now time.Time) {
	if now.Before(g.now) {
		g.emit(Ignored{Cause: string(coldstart.CauseClockWentBack)})
		return
	}
	paused := g.cfg.PauseThreshold > 0 && now.Sub(g.now) > g.cfg.PauseThreshold && g.disabled&offPause == 0
	g.now = now
	if paused {
		g.emit(Ignored{Cause: causePaused})
		g.pauseGraceUntil = now.Add(g.cfg.PauseGrace)
		g.refuseAllQueued(contract.ReasonSettingsNotReady)
	}
}

func (g *Gate) handleEvent(e Event) {
	switch e := e.(type) {
	case Arrived:
		g.handleArrived(e)
	case Disconnected:
		g.handleDisconnected(e.Attempt)
	case Resumed:
		g.handleResumed(e.Attempt)
	case Cancelled:
		g.handleCancelled(e.Attempt)
	case Queried:
		g.handleQueried(e.Query)
	case FirstToken:
		g.stepLimiter(coldstart.FirstTokenReceived(e))
	case Ended:
		g.handleEnded(e)
	case Released:
		g.handleReleased(e.Attempt)
	case Reported:
		g.handleReported(e.Report)
	default:
		g.handleStateEvent(e)
	}
}

func (g *Gate) handleStateEvent(e Event) {
	switch e := e.(type) {
	case Activated:
		g.handleActivated(e.Weights)
	case Configured:
		g.handleConfigured(e.Settings)
	case SenderSeen:
		g.senders.seen(e.Machine, g.now)
	case Leave:
		g.handleLeave()
	case Drain:
		g.drainUntil = g.now.Add(g.cfg.DrainTimeout)
		g.refuseAllQueued(contract.ReasonNoWeights)
	case Reopen:
		g.drainUntil = zeroTime
	case HandOver:
		g.handleHandOver()
	case Tick:
		g.handleTick()
	}
}

func (g *Gate) emit(e Effect) {
	g.effects = append(g.effects, e)
}

// stepLimiter passes an event to the limiter. When the limit falls, all queued attempts are
// refused; if it falls only because the back end reports a lower limit, just those in
// excess of the queue limit are.
func (g *Gate) stepLimiter(e coldstart.Event) {
	result := g.limiter.Step(g.now, e)
	if result.IgnoredCause != "" {
		g.emit(Ignored{Cause: string(result.IgnoredCause)})
	}
	if result.FallCause == "" {
		return
	}
	g.emit(LimitFell{Cause: result.FallCause})
	if result.FallCause != coldstart.CauseReportLowerLimit {
		g.refuseAllQueued(contract.ReasonColdStart)
		return
	}
	for len(g.queue) > g.queueLimit() {
		g.refuseQueued(g.queue[len(g.queue)-1], g.fullReason())
	}
}

func (g *Gate) handleConfigured(s Settings) {
	if s.Offset < g.settings.Offset {
		g.emit(Ignored{Cause: causeOldSettings})
		return
	}
	g.settings = s
	g.stepLimiter(coldstart.SettingsChanged{Settings: s.Limits})
	if s.ZoneEvacuated && g.disabled&offZoneEvacuated == 0 {
		g.refuseAllQueued(contract.ReasonZoneOut)
	}
}

func (g *Gate) handleLeave() {
	g.leaving = true
	if g.disabled&offLeaving == 0 {
		g.refuseAllQueued(contract.ReasonTargetLeaving)
	}
}

// handleHandOver stops the idempotent attempts of a model engine, which another target can
// resume.
func (g *Gate) handleHandOver() {
	reason := contract.ReasonTargetLeaving
	if !g.leaving {
		reason = contract.ReasonWeightsChanged
	}
	if !g.cfg.Model || !g.leaving && !g.isDraining() {
		return
	}
	for _, a := range g.matching(func(a *attempt) bool { return a.start.Idempotent }) {
		g.stop(a, reason)
	}
}

func (g *Gate) handleTick() {
	g.stepLimiter(coldstart.Tick{})
	g.store.Expire(g.now)
	g.senders.expire(g.now, g.cfg.SenderTimeout)
	g.refuseQueuedIf(contract.ReasonDeadline, g.isPastDeadline)
	for _, a := range g.matching(g.isDue) {
		if a.ended {
			g.removeUnit(a)
			continue
		}
		g.stop(a, contract.ReasonCallerGone)
	}
}

// isDue reports whether the linger time or the resume grace of a unit is over.
func (g *Gate) isDue(a *attempt) bool {
	if a.ended {
		return !a.lingerUntil.IsZero() && !a.lingerUntil.After(g.now)
	}
	return !a.stopping && !a.detachedAt.IsZero() && g.now.Sub(a.detachedAt) >= g.cfg.ResumeGrace
}

func (g *Gate) isPastDeadline(a *attempt) bool {
	return !a.deadline.After(g.now) && g.disabled&offDeadline == 0
}

// Idle reports whether no attempt is queued and every attempt that started has ended.
// Units may still linger.
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

// Answers returns the store of answers. The caller may append and read frames between
// steps.
func (g *Gate) Answers() *answers.Store { return g.store }

// Ready reports whether the gate accepts work apart from room, and the limit allows any.
func (g *Gate) Ready() bool {
	return g.isOpen() && g.limiter.Limit() > 0
}

// isOpen reports whether the gate accepts work as far as it has room.
func (g *Gate) isOpen() bool {
	closed := g.leaving || g.settings.ZoneEvacuated || g.isDraining() || g.now.Before(g.pauseGraceUntil)
	return !closed && g.settings.Ready && g.hasWeights()
}
