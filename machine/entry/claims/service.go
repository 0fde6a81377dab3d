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

// ErrOutcomePending means that an outcome is not in the log yet. It is appended later.
var ErrOutcomePending = errors.New("claims: outcome is not in the log yet and is appended later")

const (
	// Stream is the name of the stream of claims. All entries append to this one stream,
	// and each entry replays all of it.
	Stream = "claims"

	longPollTimeout = 10 * time.Second
	readRetryDelay  = 200 * time.Millisecond
	// idleReadInterval is the shortest time between two reads while no call waits.
	idleReadInterval = 100 * time.Millisecond
	probeTimeout     = 3 * time.Second
	metricsInterval  = time.Second
	// beyondNewest is an offset after every record. A read there returns no records, but
	// reports the oldest one that the log retains.
	beyondNewest = contract.Offset(1) << 62
)

// DefaultConfig returns the configuration of an entry process. writer identifies one run
// of the process, for example by its machine and incarnation.
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

// Options holds the settings of a Service other than its log and prober.
type Options struct {
	Config Config
	Stream string
	Logger log.Interface
	Scope  tally.Scope
	// Seed seeds the jitter.
	Seed uint64
}

// Service connects a Machine to the log. It implements Claimer and is safe for concurrent
// use. Calls are decided only while Run is running.
type Service struct {
	log          durable.Log
	prober       Prober
	opts         Options
	timerChanged chan struct{}
	// callWaiting wakes the reader of the stream when a call waits.
	callWaiting chan struct{}
	// runEnded is closed when Run returns.
	runEnded chan struct{}

	mu       sync.Mutex
	machine  *Machine
	decided  map[contract.RequestID]chan Decision
	recorded map[contract.RequestID]chan struct{}
	// ctx is the context of Run. Tasks run under it.
	ctx     context.Context
	stopped bool
	tasks   sync.WaitGroup
}

var _ Claimer = (*Service)(nil)

// NewService returns a service that has not read the stream yet.
func NewService(log durable.Log, prober Prober, opts Options) *Service {
	rng := rand.New(rand.NewPCG(opts.Seed, 0))
	return &Service{
		log:          log,
		prober:       prober,
		opts:         opts,
		timerChanged: make(chan struct{}, 1),
		callWaiting:  make(chan struct{}, 1),
		runEnded:     make(chan struct{}),
		machine:      NewMachine(opts.Config, rng, 0),
		decided:      map[contract.RequestID]chan Decision{},
		recorded:     map[contract.RequestID]chan struct{}{},
	}
}

// Ready reports whether the stream has been read up to its end once.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsReady()
}

// IsIdle reports whether no item waits for the log, so that the process may stop.
func (s *Service) IsIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.machine.IsIdle()
}

// AppendedItems returns the number of claims, takeovers and outcomes that were appended.
func (s *Service) AppendedItems() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _, b := s.machine.Stats()
	return b.Items
}

// SetWriterCount sets the number of entry processes that share the log's append rate.
func (s *Service) SetWriterCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.SetWriterCount(n)
}

// Claim implements Claimer.
func (s *Service) Claim(ctx context.Context, claim contract.Claim) (Decision, error) {
	decided := make(chan Decision, 1)
	err := s.applyInput(func(now time.Time) error {
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
	case <-s.runEnded:
		d = s.giveUp(claim.Request, decided)
	}
	s.opts.Scope.Tagged(map[string]string{"verdict": d.Verdict.String()}).Counter("verdicts").Inc(1)
	return d, nil
}

func (s *Service) giveUp(request contract.RequestID, decided <-chan Decision) Decision {
	_ = s.applyInput(func(now time.Time) error {
		s.machine.GiveUp(now, request)
		return nil
	})
	return <-decided
}

// Resolve implements Claimer. It returns ErrNotHolder if the request was not decided Run,
// and ErrOutcomePending if ctx or Run ends before the outcome is in the log.
func (s *Service) Resolve(ctx context.Context, claim contract.Claim, result Result) error {
	recorded := make(chan struct{})
	err := s.applyInput(func(now time.Time) error {
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
	case <-s.runEnded:
		return ErrOutcomePending
	}
}

// applyInput passes one input to the machine and executes the resulting effects.
func (s *Service) applyInput(input func(now time.Time) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	err := input(now)
	for _, eff := range s.machine.TakeEffects(now) {
		s.executeEffect(eff)
	}
	notify(s.timerChanged)
	if s.machine.IsWaiting() {
		notify(s.callWaiting)
	}
	return err
}

// notify wakes the receiver of a channel of capacity 1.
func notify(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (s *Service) executeEffect(eff Effect) {
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
		s.startTask(func(ctx context.Context) { s.appendBatch(ctx, eff.Batch) })
	case Probe:
		s.startTask(func(ctx context.Context) { s.runProbe(ctx, eff) })
	}
}
