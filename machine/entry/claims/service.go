package claims

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/machine/entry/claims/batcher"
	"mimosastand.example/mimosastand/machine/entry/claims/ledger"
)

// ErrHeld means that an outcome is not in the log yet; it is appended later.
var ErrOutcomePending = errors.New("claims: outcome is held until the log takes it")

const (
	// Stream is the stream of claims at the size of one ledger for all entries.
	Stream = "claims"

	pollWait  = 10 * time.Second
	readRetry = 200 * time.Millisecond
	// idleRead is the least time between two reads while no call waits.
	idleRead     = 100 * time.Millisecond
	probeTimeout = 3 * time.Second
	reportEvery  = time.Second
	// beyond is an offset after every record; a read there tells the oldest one.
	beyond = contract.Offset(1) << 62
)

// DefaultConfig returns the times and bounds of an entry process. The writer
// names one run of the process, such as its machine and incarnation.
func DefaultConfig(writer string) Config {
	return Config{
		StartTimeout:  10 * time.Second,
		ProbeDelay:    12 * time.Second,
		ProbeInterval: 2 * time.Second,
		AgeMargin:     2 * time.Second,
		LogTimeout:    3 * time.Second,
		HolderTimeout: 5 * time.Second,
		MaxKeys:       50_000,
		MaxBodyBytes:  1 << 10,
		Ledger:        ledger.Config{Window: time.Hour, MaxResultBytes: 8 << 20},
		Batcher: batcher.Config{
			Writer:           writer,
			MaxAppendRate:    200,
			MaxInterval:      time.Second,
			MaxBytes:         256 << 10,
			MaxPendingClaims: 4096,
		},
	}
}

// Options holds what a Service needs beside its log and prober.
type Options struct {
	Config Config
	Stream string
	Logger log.Interface
	Scope  tally.Scope
	// Seed seeds the jitter.
	Seed uint64
}

// Service joins a Machine to the log. It implements Claimer and is safe for
// concurrent use. Run must be running for calls to be decided.
type Service struct {
	log    durable.Log
	prober Prober
	opts   Options
	poke   chan struct{}
	// hurry tells the reader that a call waits.
	hurry chan struct{}
	// ended is closed when Run returns.
	ended chan struct{}

	mu       sync.Mutex
	machine  *Machine
	decided  map[contract.RequestID]chan Decision
	recorded map[contract.RequestID]chan struct{}
	// ctx is Run's; tasks are started under it.
	ctx     context.Context
	stopped bool
	tasks   sync.WaitGroup
}

var _ Claimer = (*Service)(nil)

// NewService returns a service that has not read the stream yet.
func NewService(log durable.Log, prober Prober, opts Options) *Service {
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	return &Service{
		log:      log,
		prober:   prober,
		opts:     opts,
		poke:     make(chan struct{}, 1),
		hurry:    make(chan struct{}, 1),
		ended:    make(chan struct{}),
		machine:  NewMachine(opts.Config, rng, 0),
		decided:  map[contract.RequestID]chan Decision{},
		recorded: map[contract.RequestID]chan struct{}{},
	}
}

// Ready reports whether the stream was read up to its end once.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsReady()
}

// Idle reports whether nothing waits for the log, so that the process may stop.
func (s *Service) IsIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsIdle()
}

// Items returns how many claims, takeovers and outcomes were appended.
func (s *Service) AppendedItems() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, b := s.machine.Stats()
	return b.Items
}

// SetWriters tells how many entry processes share the log's append rate.
func (s *Service) SetWriterCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetWriterCount(n)
}

// Claim implements Claimer.
func (s *Service) Claim(ctx context.Context, claim contract.Claim) (Decision, error) {
	decided := make(chan Decision, 1)
	err := s.step(func(now time.Time) error {
		err := s.machine.Claim(now, claim)
		if err == nil {
			s.decided[claim.Request] = decided
		}
		return err
	})
	if err != nil {
		return Decision{}, err
	}
	var d Decision
	select {
	case d = <-decided:
	case <-ctx.Done():
		d = s.giveUp(claim.Request, decided)
	case <-s.ended:
		d = s.giveUp(claim.Request, decided)
	}
	s.opts.Scope.Tagged(map[string]string{"verdict": d.Verdict.String()}).Counter("verdicts").Inc(1)
	return d, nil
}

func (s *Service) giveUp(request contract.RequestID, decided <-chan Decision) Decision {
	_ = s.step(func(now time.Time) error {
		s.machine.GiveUp(now, request)
		return nil
	})
	return <-decided
}

// Resolve implements Claimer. It fails with ErrNotHolder, and with ErrHeld if
// ctx ends before the outcome is in the log.
func (s *Service) Resolve(ctx context.Context, claim contract.Claim, result Result) error {
	recorded := make(chan struct{})
	err := s.step(func(now time.Time) error {
		err := s.machine.Resolve(now, claim.Request, result)
		if err == nil {
			s.recorded[claim.Request] = recorded
		}
		return err
	})
	if err != nil {
		return err
	}
	select {
	case <-recorded:
		return nil
	case <-ctx.Done():
		return ErrOutcomePending
	case <-s.ended:
		return ErrOutcomePending
	}
}

// step runs one input of the machine and carries out its effects.
func (s *Service) step(input func(now time.Time) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	err := input(now)
	for _, eff := range s.machine.TakeEffects(now) {
		s.carryOut(eff)
	}
	signal(s.poke)
	if s.machine.IsWaiting() {
		signal(s.hurry)
	}
	return err
}

// signal wakes the receiver of a channel of capacity 1.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (s *Service) carryOut(eff Effect) {
	switch eff := eff.(type) {
	case Decided:
		s.decided[eff.Request] <- eff.Decision
		delete(s.decided, eff.Request)
	case Recorded:
		if ch := s.recorded[eff.Request]; ch != nil {
			close(ch)
			delete(s.recorded, eff.Request)
		}
	case Append:
		s.start(func(ctx context.Context) { s.append(ctx, eff.Batch) })
	case Probe:
		s.start(func(ctx context.Context) { s.probe(ctx, eff) })
	}
}
