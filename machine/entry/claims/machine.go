package claims

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/claims/batcher"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

var (
	// ErrInvalidClaim marks a claim without a key, a request or a service.
	ErrInvalidClaim = errors.New("claims: claim without a key, a request or a service")
	// ErrDuplicate marks a claim of a request that is already waiting for a decision or
	// running.
	ErrDuplicate = errors.New("claims: request is already waiting for a decision or running")
	// ErrNotHolder marks a result of a request that was not decided Run, or that already
	// has a result.
	ErrNotHolder = errors.New("claims: request was not decided to run or already has a result")
)

// Config holds the time limits and bounds of a Machine.
type Config struct {
	// StartTimeout is how long a holder may send attempts after its claim was queued for
	// the log. It is shorter than ProbeDelay.
	StartTimeout time.Duration
	// ProbeDelay is how long a holder without an outcome is not probed.
	ProbeDelay time.Duration
	// ProbeInterval is the shortest time between two probes for one key.
	ProbeInterval time.Duration
	// AgeMargin is added to the age of a claim that is sent with a probe.
	AgeMargin time.Duration
	// LogTimeout bounds how long a call waits for the log.
	LogTimeout time.Duration
	// HolderTimeout bounds how long a call waits for the outcome of another request.
	HolderTimeout time.Duration
	// MaxKeys bounds the number of keys held. Above it, claims of free keys are refused.
	MaxKeys int
	// MaxBodyBytes bounds the body of a result that is written to the log. Longer bodies
	// are fetched from the target as long as it retains them.
	MaxBodyBytes int
	Ledger       ledger.Config
	Batcher      batcher.Config
}

// call is a claim that is not decided yet.
type call struct {
	claim     contract.Claim
	key       ledger.Key
	bodyHash  ledger.BodyHash
	startedAt time.Time
	// queued is set from when an item of the call is added to the batcher until the item
	// is read back. queuedAt is the time at which the item was added.
	queued   bool
	queuedAt time.Time
	// contendedSince is when the call first found the key held by another request.
	contendedSince time.Time
	// bodyRequested is set once the targets were asked for a body that is not in the log.
	bodyRequested bool
	// lastAnswer is the result of the last probe.
	lastAnswer *holderAnswer
	wakeAt     time.Time
}

// holderAnswer is the result of a probe for the request that held the key.
type holderAnswer struct {
	holder contract.RequestID
	state  ProbeState
}

// run is a request that was decided Run and whose outcome is not in the log yet.
type run struct {
	key      ledger.Key
	bodyHash ledger.BodyHash
	result   *Result
}

// Stats counts the events of a Machine other than verdicts.
type Stats struct {
	Probes, Takeovers, Released, Superseded, TooLate, IncompleteHistory uint64
}

// Machine decides which requests run. It is not safe for concurrent use.
type Machine struct {
	config  Config
	rng     *rand.Rand
	ledger  *ledger.Ledger
	batcher *batcher.Batcher
	// ready is set once the stream has been read up to its end.
	ready bool

	calls      map[contract.RequestID]*call
	byKey      map[ledger.Key][]contract.RequestID
	runs       map[contract.RequestID]*run
	lastProbes map[ledger.Key]*keyProbe
	timers     timers

	// logTime is the newest known time of the log's clock. The log's clock showed at most
	// logTime at the local time logTimeLocal.
	logTime, logTimeLocal time.Time
	// firstSends lists the first send of each batch that has not been read back.
	firstSends []firstSend

	effects  []Effect
	stats    Stats
	disabled mechanism
}

// keyProbe is the last probe for a key.
type keyProbe struct {
	holder    contract.RequestID
	startedAt time.Time
	inFlight  bool
}

// firstSend is the time at which a batch was first sent.
type firstSend struct {
	seq uint64
	at  time.Time
}

// mechanism is a bit set of the parts that tests can switch off.
type mechanism uint16

const (
	waitForRecord mechanism = 1 << iota
	bodyCheck
	requireAllAnswers
	graceBeforeProbe
	releaseAbandoned
	startLimit
	claimAgeBound
	keyExpiry
	distrustIncompleteHistory
)

// NewMachine returns a machine whose next record must be the one after the given offset.
// If that offset is above 0, the records up to it count as lost.
func NewMachine(config Config, rng *rand.Rand, after contract.Offset) *Machine {
	m := &Machine{
		config:     config,
		rng:        rng,
		batcher:    batcher.New(config.Batcher, rng),
		calls:      map[contract.RequestID]*call{},
		byKey:      map[ledger.Key][]contract.RequestID{},
		runs:       map[contract.RequestID]*run{},
		lastProbes: map[ledger.Key]*keyProbe{},
	}
	m.Restart(after)
	return m
}

// Restart restarts the replay after the given offset, because the records up to it are
// past the log's retention.
func (m *Machine) Restart(after contract.Offset) {
	m.ledger = ledger.New(m.config.Ledger, after)
	m.ready = false
}

// Applied returns the offset of the last record applied.
func (m *Machine) Applied() contract.Offset { return m.ledger.Applied() }

// IsReady reports whether the stream has been read up to its end.
func (m *Machine) IsReady() bool { return m.ready }

// IsIdle reports whether no item waits for the log.
func (m *Machine) IsIdle() bool { return m.batcher.IsIdle() }

// IsWaiting reports whether a call or a queued item waits for records of the stream.
func (m *Machine) IsWaiting() bool { return len(m.calls) > 0 || !m.batcher.IsIdle() }

// Stats returns the counts so far of the machine, its ledger and its batcher.
func (m *Machine) Stats() (Stats, ledger.Stats, batcher.Stats) {
	return m.stats, m.ledger.Stats(), m.batcher.Stats()
}

// SetWriterCount sets the number of entry processes that append to the stream.
func (m *Machine) SetWriterCount(n int) { m.batcher.SetWriterCount(n) }

// Claim starts the decision about a request. It returns ErrInvalidClaim or ErrDuplicate
// if the claim cannot be decided.
func (m *Machine) Claim(now time.Time, claim contract.Claim) error {
	if claim.Key == "" || claim.Request == "" || claim.Service == "" {
		return ErrInvalidClaim
	}
	if m.calls[claim.Request] != nil || m.runs[claim.Request] != nil {
		return ErrDuplicate
	}
	c := &call{claim: claim, key: ledger.KeyOf(claim), bodyHash: ledger.BodyHashOf(claim), startedAt: now}
	m.calls[claim.Request] = c
	m.byKey[c.key] = append(m.byKey[c.key], claim.Request)
	m.evaluate(now, c)
	return nil
}

// GiveUp decides at once about a request whose caller has stopped waiting.
func (m *Machine) GiveUp(now time.Time, request contract.RequestID) {
	if c := m.calls[request]; c != nil {
		m.decideFromLedger(now, c)
	}
}

// Resolve records how a request that was decided Run ended. It returns ErrNotHolder for
// any other request, and for a second result.
func (m *Machine) Resolve(now time.Time, request contract.RequestID, result Result) error {
	r := m.runs[request]
	if r == nil || r.result != nil {
		return ErrNotHolder
	}
	if len(result.Body) > m.config.MaxBodyBytes {
		result.Body = nil
		result.BodyOmitted = true
	}
	r.result = &result
	m.batcher.Add(ledger.Item{Kind: ledger.KindOutcome, Key: r.key, Request: request, BodyHash: r.bodyHash, Result: &result})
	m.evaluateKey(now, r.key)
	return nil
}

// Tick evaluates the calls whose timers are due.
func (m *Machine) Tick(now time.Time) {
	for {
		request, ok := m.timers.popDue(now)
		if !ok {
			return
		}
		c := m.calls[request]
		if c != nil && !c.wakeAt.IsZero() && !c.wakeAt.After(now) {
			c.wakeAt = time.Time{}
			m.evaluate(now, c)
		}
	}
}

// NextWake returns when Tick should be called; ok is false if nothing changes without
// another input.
func (m *Machine) NextWake() (at time.Time, ok bool) {
	at, ok = m.timers.nextTime()
	if next, due := m.batcher.NextWake(); due && (!ok || next.Before(at)) {
		return next, true
	}
	return at, ok
}

// TakeEffects returns the effects since the last call.
func (m *Machine) TakeEffects(now time.Time) []Effect {
	if b := m.batcher.Next(now); b != nil {
		if len(m.firstSends) == 0 || m.firstSends[len(m.firstSends)-1].seq != b.Seq {
			m.firstSends = append(m.firstSends, firstSend{seq: b.Seq, at: now})
		}
		m.effects = append(m.effects, Append{Batch: b})
	}
	effects := m.effects
	m.effects = nil
	return effects
}

// wakeCallAt sets a timer that evaluates the call at the given time.
func (m *Machine) wakeCallAt(c *call, at time.Time) {
	if c.wakeAt.IsZero() || at.Before(c.wakeAt) {
		c.wakeAt = at
		m.timers.add(at, c.claim.Request)
	}
}

// decideCall removes a call and reports its decision.
func (m *Machine) decideCall(c *call, d Decision) {
	request := c.claim.Request
	delete(m.calls, request)
	rest := m.byKey[c.key][:0]
	for _, other := range m.byKey[c.key] {
		if other != request {
			rest = append(rest, other)
		}
	}
	m.byKey[c.key] = rest
	if len(rest) == 0 {
		delete(m.byKey, c.key)
	}
	if d.Verdict != Run && c.queued {
		m.batcher.Withdraw(request)
	}
	m.effects = append(m.effects, Decided{Request: request, Decision: d})
}
