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
	// ErrInvalid marks a claim without a key, a request or a service.
	ErrInvalidClaim = errors.New("claims: invalid claim")
	// ErrDuplicate marks a request that has claimed before.
	ErrDuplicate = errors.New("claims: request has claimed before")
	// ErrNotHolder marks a result of a request that was not decided Run.
	ErrNotHolder = errors.New("claims: request does not run")
)

// Config holds the times and bounds of a Machine.
type Config struct {
	// StartWithin is how long after its claim was handed to the log a holder may
	// send attempts. It is shorter than ProbeAfter.
	StartTimeout time.Duration
	// ProbeAfter is how long a holder without an outcome is left alone.
	ProbeDelay time.Duration
	// ProbeEvery is the least time between two probes for one key.
	ProbeInterval time.Duration
	// AgeMargin is added to the age of a claim that targets must vouch for.
	AgeMargin time.Duration
	// DecideWithin bounds the wait of a call for the log.
	LogTimeout time.Duration
	// WaitFor bounds the wait of a call for another request's outcome.
	HolderTimeout time.Duration
	// MaxKeys bounds the keys held; above it new keys are refused.
	MaxKeys int
	// MaxBodyBytes bounds the body of a result that goes into the log. Longer ones
	// are fetched from the target while it keeps them.
	MaxBodyBytes int
	Ledger       ledger.Config
	Batcher      batcher.Config
}

// call is one Claim that is not decided.
type call struct {
	claim contract.Claim
	key   ledger.Key
	body  ledger.BodyHash
	began time.Time
	// queued tells that an item of the call is with the batcher; claimedAt is
	// when it was handed over.
	queued    bool
	claimedAt time.Time
	// contended is when the call first met another holder.
	contended time.Time
	// fetched tells that the targets were asked for a body that is not in the log.
	fetched bool
	// answer is the last probe's, about the request winner.
	answer *probeAnswer
	wake   time.Time
}

type probeAnswer struct {
	winner contract.RequestID
	state  ProbeState
}

// run is a request that was decided Run and whose outcome is not in the log.
type run struct {
	key    ledger.Key
	body   ledger.BodyHash
	result *Result
}

// Stats counts what the machine did beside the verdicts.
type Stats struct {
	Probes, Takeovers, Released, Superseded, TooLate, IncompleteHistory uint64
}

// Machine is not safe for concurrent use.
type Machine struct {
	config  Config
	rng     *rand.Rand
	ledger  *ledger.Ledger
	batcher *batcher.Batcher
	// ready tells that the stream was read up to its end once.
	ready bool

	calls  map[contract.RequestID]*call
	byKey  map[ledger.Key][]contract.RequestID
	runs   map[contract.RequestID]*run
	probes map[ledger.Key]*probe
	timers timers

	// logTime was the log's clock at the local time logSeen or earlier.
	logTime, logSeen time.Time
	// sent holds the first sending of each batch that was not read back.
	sent []sending

	effects []Effect
	stats   Stats
	off     mechanism
}

// probe is the last probe for a key.
type probe struct {
	winner contract.RequestID
	asked  time.Time
	open   bool
}

// sending is when a batch was first sent.
type sending struct {
	seq uint64
	at  time.Time
}

// mechanism names parts that tests switch off to show that they are needed.
type mechanism uint16

const (
	waitForRecord mechanism = 1 << iota
	bodyCheck
	vouching
	graceBeforeProbe
	releaseAbandoned
	startBound
	ageBound
	keyAge
	distrustShort
)

// NewMachine returns a machine that expects the stream's record after the given
// offset next. Trimmed tells that records before it were lost.
func NewMachine(config Config, rng *rand.Rand, after contract.Offset) *Machine {
	m := &Machine{
		config:  config,
		rng:     rng,
		batcher: batcher.New(config.Batcher, rng),
		calls:   map[contract.RequestID]*call{},
		byKey:   map[ledger.Key][]contract.RequestID{},
		runs:    map[contract.RequestID]*run{},
		probes:  map[ledger.Key]*probe{},
	}
	m.Restart(after)
	return m
}

// Restart begins to read the stream anew after an offset, because the records
// before it are past the log's retention.
func (m *Machine) Restart(after contract.Offset) {
	m.ledger = ledger.New(m.config.Ledger, after)
	m.ready = false
}

// Applied returns the offset of the last record read.
func (m *Machine) Applied() contract.Offset { return m.ledger.Applied() }

// IsReady reports whether the stream was read up to its end once.
func (m *Machine) IsReady() bool { return m.ready }

// Idle reports whether nothing waits for the log.
func (m *Machine) IsIdle() bool { return m.batcher.IsIdle() }

// IsWaiting reports whether a call waits for what the stream will show.
func (m *Machine) IsWaiting() bool { return len(m.calls) > 0 || !m.batcher.IsIdle() }

// Stats returns the counts so far, of the machine and of its parts.
func (m *Machine) Stats() (Stats, ledger.Stats, batcher.Stats) {
	return m.stats, m.ledger.Stats(), m.batcher.Stats()
}

// SetWriters tells how many entry processes append to the stream.
func (m *Machine) SetWriterCount(n int) { m.batcher.SetWriterCount(n) }

// Claim begins to decide for a request. It fails with ErrInvalid or ErrDuplicate.
func (m *Machine) Claim(now time.Time, claim contract.Claim) error {
	if claim.Key == "" || claim.Request == "" || claim.Service == "" {
		return ErrInvalidClaim
	}
	if m.calls[claim.Request] != nil || m.runs[claim.Request] != nil {
		return ErrDuplicate
	}
	c := &call{claim: claim, key: ledger.KeyOf(claim), body: ledger.BodyHashOf(claim), began: now}
	m.calls[claim.Request] = c
	m.byKey[c.key] = append(m.byKey[c.key], claim.Request)
	m.evaluate(now, c)
	return nil
}

// GiveUp decides for a request whose caller does not wait any longer.
func (m *Machine) GiveUp(now time.Time, request contract.RequestID) {
	if c := m.calls[request]; c != nil {
		m.decideByKnowledge(now, c)
	}
}

// Resolve records how a request that was decided Run ended. It fails with
// ErrNotHolder for any other request.
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
	m.batcher.Add(ledger.Item{Kind: ledger.KindOutcome, Key: r.key, Request: request, BodyHash: r.body, Result: &result})
	m.evaluateKey(now, r.key)
	return nil
}

// Tick acts on the timers that are due.
func (m *Machine) Tick(now time.Time) {
	for {
		request, ok := m.timers.due(now)
		if !ok {
			return
		}
		c := m.calls[request]
		if c != nil && !c.wake.IsZero() && !c.wake.After(now) {
			c.wake = time.Time{}
			m.evaluate(now, c)
		}
	}
}

// Wake returns when Tick should be called; ok is false if only an event can
// change anything.
func (m *Machine) NextWake() (at time.Time, ok bool) {
	at, ok = m.timers.first()
	if next, due := m.batcher.NextWake(); due && (!ok || next.Before(at)) {
		return next, true
	}
	return at, ok
}

// Ready returns the effects since the last call.
func (m *Machine) TakeEffects(now time.Time) []Effect {
	if b := m.batcher.Next(now); b != nil {
		if len(m.sent) == 0 || m.sent[len(m.sent)-1].seq != b.Seq {
			m.sent = append(m.sent, sending{seq: b.Seq, at: now})
		}
		m.effects = append(m.effects, Append{Batch: b})
	}
	effects := m.effects
	m.effects = nil
	return effects
}

// sleep wakes the call at a time.
func (m *Machine) sleep(c *call, at time.Time) {
	if c.wake.IsZero() || at.Before(c.wake) {
		c.wake = at
		m.timers.add(at, c.claim.Request)
	}
}

// decide ends a call.
func (m *Machine) decide(c *call, d Decision) {
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
