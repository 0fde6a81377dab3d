package activation

import (
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Config holds the parameters of a StateMachine. Durations and MaxAttempts take their
// defaults if they are not positive.
type Config struct {
	Incarnation contract.Incarnation
	// Lease is how long the right to order the engine lasts.
	Lease time.Duration
	// OrderTimeout limits the time from sending an order to its effect.
	OrderTimeout time.Duration
	// RetryDelay is the first delay after a failure; it doubles up to MaxRetryDelay.
	RetryDelay, MaxRetryDelay time.Duration
	// ReportInterval is the interval of requests for reports while one is awaited.
	ReportInterval time.Duration
	// MaxAttempts is how many failures to stage or order a deployment count as a failed
	// change.
	MaxAttempts int
}

// DefaultLease is the length of a lease if Config sets none.
const DefaultLease = 15 * time.Second

const (
	defaultOrderLife      = 5 * time.Second
	defaultRetry          = 250 * time.Millisecond
	defaultMaxRetry       = 10 * time.Second
	defaultReportInterval = 200 * time.Millisecond
	defaultMaxTries       = 5

	// driftShare is by what share the rates of two clocks may differ at most.
	driftShare = 0.01

	never = time.Duration(1<<63 - 1)
)

func (c Config) withDefaults() Config {
	for _, f := range []struct {
		field *time.Duration
		def   time.Duration
	}{
		{&c.Lease, DefaultLease}, {&c.OrderTimeout, defaultOrderLife}, {&c.RetryDelay, defaultRetry},
		{&c.MaxRetryDelay, defaultMaxRetry}, {&c.ReportInterval, defaultReportInterval},
	} {
		if *f.field <= 0 {
			*f.field = f.def
		}
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = defaultMaxTries
	}
	return c
}

// mechanism is a set of the mechanisms that tests can disable.
type mechanism uint16

const (
	mechComplete mechanism = 1 << iota
	mechConfirm
	mechLeaseWait
	mechLeaseCheck
	mechIncarnation
	mechResolve
	mechUnknownFencing
	mechDrain
)

// phase is how far the change to the desired version has come.
type phase uint8

const (
	phaseIdle phase = iota
	phaseFetching
	phaseStaging
	phaseFencing
	phaseAppending
	phaseReading
	phaseLeaseWait
	phaseAwaitingTurn
	phaseDraining
	phaseOrdering
	phaseResolving
	phaseConfirming
	phaseActive
	phaseSuperseded
)

// StateMachine orders one target's engine. It is not safe for concurrent use.
type StateMachine struct {
	cfg      Config
	rng      *rand.Rand
	disabled mechanism

	now      time.Duration
	phase    phase
	desired  Deployment
	verified map[contract.Digest]bool
	granted  contract.Digest
	drained  bool
	// staged is the version that the engine received completely in its present boot.
	staged contract.Digest

	engine engineView
	lease  lease
	order  order
	// attempts counts failures of staging and of orders, failures all consecutive
	// failures.
	attempts     int
	retryAt      time.Duration
	nextReportAt time.Duration
	failures     int
	effects      []Effect
}

// engineView is what is known from the engine's reports.
type engineView struct {
	known   bool
	boot    string
	seq     uint64
	digest  contract.Digest
	fencing bool
	// at is when the newest report was made.
	at time.Duration
	// emitted is the digest of the last Active effect, hasEmitted whether it is still
	// current; a reboot with a closed gate clears hasEmitted.
	emitted    contract.Digest
	hasEmitted bool
}

// New returns a StateMachine that has no report of its engine yet.
func New(cfg Config, rng *rand.Rand) *StateMachine {
	return &StateMachine{
		cfg: cfg.withDefaults(), rng: rng, verified: make(map[contract.Digest]bool),
		retryAt: never, nextReportAt: 0,
	}
}

// Step applies one event at the time now, which must not go backwards, and
// returns the effects. The slice is valid until the next call.
func (m *StateMachine) Step(now time.Duration, event Event) []Effect {
	m.now = max(m.now, now)
	m.effects = m.effects[:0]
	m.apply(event)
	m.advance()
	m.requestReport()
	return m.effects
}

func (m *StateMachine) apply(ev Event) {
	switch e := ev.(type) {
	case DeploymentChanged:
		m.setDeployment(e.Deployment)
	case VersionVerified:
		m.verified[e.Version] = true
	case StageEnded:
		m.handleStageEnded(e)
	case TurnChanged:
		m.handleTurnChanged(e)
	case Drained:
		m.handleDrained()
	case FenceAppended:
		m.handleFenceAppended(e)
	case FencesRead:
		m.handleFencesRead(e)
	case ReportReceived:
		m.handleReport(e.Report)
	case OrderEnded:
		m.handleOrderEnded(e)
	case Tick:
	}
}

func (m *StateMachine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *StateMachine) note(kind NoteKind) { m.emit(Note{Kind: kind}) }

func (m *StateMachine) isEnabled(mech mechanism) bool { return m.disabled&mech == 0 }

// setDeployment replaces the desired deployment. A pending order is resolved first.
func (m *StateMachine) setDeployment(d Deployment) {
	if sameDeployment(d, m.desired) {
		return
	}
	m.desired = d
	m.attempts, m.failures, m.retryAt = 0, 0, never
	m.granted = ""
	if m.hasPendingOrder() || m.phase == phaseSuperseded {
		return
	}
	m.reopen()
	m.phase = phaseIdle
}

func sameDeployment(a, b Deployment) bool {
	if a.Version != b.Version || a.Role != b.Role || len(a.Adapters) != len(b.Adapters) {
		return false
	}
	for i := range a.Adapters {
		if a.Adapters[i] != b.Adapters[i] {
			return false
		}
	}
	return true
}

// reopen opens the gate for the version that the engine runs, if the gate was closed or
// closing.
func (m *StateMachine) reopen() {
	if m.drained || m.phase == phaseDraining {
		m.drained = false
		m.emitActive(m.engine.digest)
	}
}

func (m *StateMachine) emitActive(d contract.Digest) {
	m.engine.emitted, m.engine.hasEmitted = d, true
	m.emit(Active{Version: d})
}

// recordFailure delays the next attempt. The failure that reaches MaxAttempts is
// reported to the roll-out.
func (m *StateMachine) recordFailure(reason NoteKind) {
	m.note(reason)
	m.attempts++
	if m.attempts == m.cfg.MaxAttempts {
		m.emit(Failed{Version: m.desired.Version, Reason: reason})
	}
	m.backOff()
}

// backOff delays the next attempt exponentially, with jitter.
func (m *StateMachine) backOff() {
	const maxShift = 8
	d := min(m.cfg.RetryDelay<<min(m.failures, maxShift), m.cfg.MaxRetryDelay)
	m.failures++
	m.retryAt = m.now + d + time.Duration(m.rng.Float64()*float64(d)/2)
}

// ifAfter returns t, or never if t is not after now.
func ifAfter(t, now time.Duration) time.Duration {
	if t > now {
		return t
	}
	return never
}

// Next returns when to call Step with a Tick.
func (m *StateMachine) Next() time.Duration {
	next := min(m.retryAt, m.nextReportAt)
	if m.phase == phaseLeaseWait {
		next = min(next, ifAfter(m.lease.formerExpiresAt, m.now), ifAfter(m.order.mayTakeEffectUntil, m.now))
	}
	return max(next, m.now+time.Millisecond)
}
