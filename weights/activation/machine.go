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

// DefaultLease is the length of a lease if Config names none.
const DefaultLease = 15 * time.Second

const (
	defaultOrderLife      = 5 * time.Second
	defaultRetry          = 250 * time.Millisecond
	defaultMaxRetry       = 10 * time.Second
	defaultReportInterval = 200 * time.Millisecond
	defaultMaxTries       = 5

	// driftShare bounds by how much two clocks may run apart, as a share.
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

// mechanism names one mechanism that tests can switch off.
type mechanism uint16

const (
	mechWhole mechanism = 1 << iota
	mechConfirm
	mechLeaseWait
	mechLeaseCheck
	mechIncarnation
	mechResolve
	mechLearn
	mechDrain
)

// phase is how far the wanted version has come.
type phase uint8

const (
	phaseIdle phase = iota
	phaseHolding
	phaseStaging
	phaseFencing
	phaseAppending
	phaseReading
	phaseLeaseWait
	phaseTurn
	phaseDraining
	phaseOrdering
	phaseResolving
	phaseConfirming
	phaseActive
	phaseSuperseded
)

// StateMachine orders one target's engine. It is not safe for concurrent use.
type StateMachine struct {
	cfg Config
	rng *rand.Rand
	off mechanism

	now     time.Duration
	phase   phase
	want    Deployment
	held    map[contract.Digest]bool
	granted contract.Digest
	drained bool
	// staged is the version that the engine took whole in its present boot.
	staged contract.Digest

	engine engineView
	lease  lease
	order  order
	// tries counts failed orders, strikes all failures in a row.
	tries   int
	retryAt time.Duration
	askAt   time.Duration
	strikes int
	effects []Effect
}

// engineView is what the engine's reports told.
type engineView struct {
	known   bool
	boot    string
	seq     uint64
	digest  contract.Digest
	fencing bool
	// at is when the newest report was made.
	at time.Duration
	// told is the digest of the last Active effect; toldAny that there was one.
	told    contract.Digest
	toldAny bool
}

// New returns a StateMachine that has no report of its engine yet.
func New(cfg Config, rng *rand.Rand) *StateMachine {
	return &StateMachine{
		cfg: cfg.withDefaults(), rng: rng, held: make(map[contract.Digest]bool),
		retryAt: never, askAt: 0,
	}
}

// Step applies one event at the time now, which must not go backwards, and
// returns the effects. The slice is valid until the next call.
func (m *StateMachine) Step(now time.Duration, ev Event) []Effect {
	m.now = max(m.now, now)
	m.effects = m.effects[:0]
	m.apply(ev)
	m.advance()
	m.poll()
	return m.effects
}

func (m *StateMachine) apply(ev Event) {
	switch e := ev.(type) {
	case DeploymentChanged:
		m.wanted(e.Deployment)
	case VersionVerified:
		m.held[e.Version] = true
	case StageEnded:
		m.stageEnded(e)
	case TurnChanged:
		m.turn(e)
	case Drained:
		m.drainEnded()
	case FenceAppended:
		m.fenceAppended(e)
	case FencesRead:
		m.fencesRead(e)
	case ReportReceived:
		m.reportReceived(e.Report)
	case OrderEnded:
		m.orderEnded(e)
	case Tick:
	}
}

func (m *StateMachine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *StateMachine) note(kind NoteKind) { m.emit(Note{Kind: kind}) }

func (m *StateMachine) on(x mechanism) bool { return m.off&x == 0 }

// wanted takes a new deployment. An order under way is resolved first.
func (m *StateMachine) wanted(d Deployment) {
	if sameDeployment(d, m.want) {
		return
	}
	m.want = d
	m.tries, m.strikes, m.retryAt = 0, 0, never
	m.granted = ""
	if m.ordering() || m.phase == phaseSuperseded {
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

// reopen opens the gate again for what the engine runs, if it was closed.
func (m *StateMachine) reopen() {
	if m.drained || m.phase == phaseDraining {
		m.drained = false
		m.tellActive(m.engine.digest)
	}
}

func (m *StateMachine) tellActive(d contract.Digest) {
	m.engine.told, m.engine.toldAny = d, true
	m.emit(Active{Version: d})
}

// fail waits before the next try; too many failures in a row are told.
func (m *StateMachine) fail(reason NoteKind) {
	m.note(reason)
	m.tries++
	if m.tries == m.cfg.MaxAttempts {
		m.emit(Failed{Version: m.want.Version, Reason: reason})
	}
	m.backOff()
}

func (m *StateMachine) backOff() {
	const maxShift = 8
	d := min(m.cfg.RetryDelay<<min(m.strikes, maxShift), m.cfg.MaxRetryDelay)
	m.strikes++
	m.retryAt = m.now + d + time.Duration(m.rng.Float64()*float64(d)/2)
}

// later returns t, or never if t is not after now.
func later(t, now time.Duration) time.Duration {
	if t > now {
		return t
	}
	return never
}

// Next returns when to call Step with a Tick, or a time that never comes.
func (m *StateMachine) Next() time.Duration {
	next := min(m.retryAt, m.askAt)
	if m.phase == phaseLeaseWait {
		next = min(next, later(m.lease.waitTill, m.now), later(m.order.openTill, m.now))
	}
	return max(next, m.now+time.Millisecond)
}
