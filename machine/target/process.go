package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/target/backend"
	"mimosastand.example/mimosastand/machine/target/coldstart"
	"mimosastand.example/mimosastand/machine/target/gate"
)

// ErrStart marks a failure to start the process.
var ErrStart = errors.New("target: cannot start")

// Process is one target process.
type Process struct {
	cfg         *config.Process
	log         log.Interface
	registry    *metrics.Registry
	scope       tally.Scope
	creds       *link.Credentials
	incarnation contract.Incarnation
	engine      *backend.Engine
	plain       *backend.Plain

	endpoint *link.Endpoint
	server   *http.Server
	httpAddr string
	workers  sync.WaitGroup
	// wake tells the timer loop that the gate has stepped.
	wake chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	gate  *gate.Gate
	feeds map[contract.AttemptID]*feed
	// ctx is the context of workers; it outlives that of Run by the grace.
	ctx      context.Context
	settings gate.Settings
}

// New prepares a process. It fails with ErrStart if its keys cannot be used.
func New(cfg *config.Process) (*Process, error) {
	now := time.Now()
	creds, err := link.LoadCredentials(cfg.TLS, link.RoleTarget, now)
	if err != nil {
		return nil, errors.Mark(err, ErrStart)
	}
	registry := metrics.New()
	p := &Process{
		cfg: cfg, creds: creds, registry: registry,
		log:         logs.For("target", cfg.Machine),
		scope:       registry.Scope().SubScope("target"),
		incarnation: contract.Incarnation(now.UnixNano()),
		wake:        make(chan struct{}, 1),
		feeds:       map[contract.AttemptID]*feed{},
	}
	if cfg.Target.Kind == config.BackendModel {
		p.engine = backend.NewEngine(cfg.Target.BackendURL)
	} else {
		p.plain = backend.NewPlain(cfg.Target.BackendURL)
	}
	p.settings = staticSettings(cfg)
	p.gate = gate.New(now, p.gateConfig(), p.settings.Limits, newRand(uint64(p.incarnation)))
	return p, nil
}

func newRand(seed uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, seed>>1))
}

func (p *Process) gateConfig() gate.Config {
	c := gate.DefaultConfig
	c.Service = p.cfg.Target.Service
	c.Incarnation = p.incarnation
	c.Model = p.engine != nil
	return c
}

// staticSettings are in force until the operators' settings are known.
func staticSettings(cfg *config.Process) gate.Settings {
	return gate.Settings{
		Ready: true,
		Limits: coldstart.Settings{
			Max:        cfg.Target.MaxRunning,
			Cold:       min(defaultCold, cfg.Target.MaxRunning),
			SlowStart:  defaultSlowStart,
			Reports:    true,
			StaleAfter: reportStaleAfter,
		},
	}
}

const (
	defaultCold      = 2
	defaultSlowStart = 10 * time.Second
	reportInterval   = 250 * time.Millisecond
	reportStaleAfter = 3 * time.Second
)

// Run serves until ctx ends and then stops gracefully. It fails with ErrStart
// if an address cannot be opened.
func (p *Process) Run(ctx context.Context) error {
	if err := p.Start(); err != nil {
		return err
	}
	loops, stopLoops := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, loop := range []func(context.Context){p.timerLoop, p.reportLoop} {
		wg.Go(func() { loop(loops) })
	}
	<-ctx.Done()
	p.leave()
	stopLoops()
	wg.Wait()
	p.close()
	return nil
}

// Start opens the addresses. Run calls it if it was not called before.
func (p *Process) Start() error {
	if p.endpoint != nil {
		return nil
	}
	p.mu.Lock()
	p.ctx = context.Background()
	p.mu.Unlock()
	p.step(gate.Configured{Settings: p.settings})
	if err := p.listenHTTP(); err != nil {
		return errors.Mark(err, ErrStart)
	}
	endpoint, err := link.Listen(p.cfg.LinkAddress, p.creds, handler{p}, p.cfg.Link)
	if err != nil {
		_ = p.server.Close()
		return errors.Mark(err, ErrStart)
	}
	p.endpoint = endpoint
	p.log.WithField("link", endpoint.Address()).WithField("http", p.httpAddr).Info("serving")
	return nil
}

// LinkAddress returns the address of the link endpoint after Start.
func (p *Process) LinkAddress() string { return p.endpoint.Address() }

// HTTPAddress returns the address of the health and metrics pages after Start.
func (p *Process) HTTPAddress() string { return p.httpAddr }

// timerLoop gives the gate its ticks.
func (p *Process) timerLoop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
			p.step(gate.Tick{})
		}
		timer.Reset(p.untilWake())
	}
}

// maxSleep bounds the time between two ticks.
const (
	maxSleep = time.Second
	minSleep = time.Millisecond
)

func (p *Process) untilWake() time.Duration {
	p.mu.Lock()
	at, ok := p.gate.NextWake()
	p.mu.Unlock()
	if !ok {
		return maxSleep
	}
	return min(maxSleep, max(minSleep, time.Until(at)))
}

// handOverShare is the inverse share of the grace after which streams that
// another target can resume are ended.
const handOverShare = 2

// leave stops accepting and waits until nothing runs or the grace is over.
func (p *Process) leave() {
	p.log.Info("leaving")
	p.step(gate.Leave{})
	grace := p.cfg.ShutdownGrace
	if !p.waitIdle(grace / handOverShare) {
		p.step(gate.HandOver{})
		if !p.waitIdle(grace - grace/handOverShare) {
			p.log.Warn("grace is over with work in flight")
		}
	}
	time.Sleep(min(p.heartbeat(), grace))
}

func (p *Process) heartbeat() time.Duration {
	const fallback = time.Second
	if p.cfg.Link.Heartbeat > 0 {
		return p.cfg.Link.Heartbeat
	}
	return fallback
}

// idlePoll is how often a leaving process looks whether work has ended.
const idlePoll = 20 * time.Millisecond

func (p *Process) waitIdle(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) {
		p.mu.Lock()
		idle := p.gate.Idle() && len(p.feeds) == 0
		p.mu.Unlock()
		if idle {
			return true
		}
		time.Sleep(idlePoll)
	}
	return false
}

func (p *Process) close() {
	p.endpoint.Close()
	_ = p.server.Close()
	_ = p.registry.Close()
	p.log.Info("stopped")
}
