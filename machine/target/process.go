package target

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/traffic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/reload"
	"mimosastand.example/mimosastand/machine/target/backend"
	"mimosastand.example/mimosastand/machine/target/gate"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/weights/agent"
	"mimosastand.example/mimosastand/zone/hostwatch"
)

// ErrStart marks an error that prevents the process from starting.
var ErrStart = errors.New("target: cannot start")

// Process is one target process.
type Process struct {
	cfg         *config.Process
	log         log.Interface
	registry    *metrics.Registry
	scope       tally.Scope
	creds       *link.Credentials
	reloads     *reload.Watcher
	incarnation contract.Incarnation
	engine      *backend.EngineClient
	plain       *backend.PlainClient

	peers    *peers
	follower *follow.Follower
	hosts    *hostwatch.Watcher
	// agent keeps the engine's weights up to date. It is nil beside a plain service and
	// without a log.
	agent *agent.Agent

	endpoint *link.Endpoint
	server   *http.Server
	httpAddr string
	// ctx is the context of workers. It ends after that of Run, by up to the shutdown grace.
	ctx      context.Context
	stopWork context.CancelFunc
	workers  sync.WaitGroup
	// openStreams is the number of streams that read a feed.
	openStreams atomic.Int64
	// sent and received count the bytes of answers and of attempts' bodies on links.
	sent, received atomic.Int64
	// memoryLimited is set by EnableMemoryLimit.
	memoryLimited bool
	// wake has a value when the gate has stepped since the timer loop last computed its
	// next tick.
	wake chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	gate  *gate.Gate
	feeds map[contract.AttemptID]*feed
	// undelivered holds the attempts that are done and whose senders have not confirmed
	// the complete answer.
	undelivered map[contract.AttemptID]struct{}
	settings    gate.Settings
	// platform counts the bytes to and from the log and the host list. It is safe for
	// concurrent use without mu.
	platform traffic.Meter
	// relevant is the part of the last applied settings that senders have to know.
	relevant relevantSettings
}

// New returns a process that is not started yet. It fails with ErrStart if its keys
// cannot be used.
func New(cfg *config.Process) (*Process, error) {
	now := time.Now()
	creds, err := link.LoadCredentials(cfg.TLS, link.RoleTarget, now)
	if err != nil {
		return nil, errors.Mark(err, ErrStart)
	}
	registry := metrics.New()
	p := &Process{
		cfg: cfg, creds: creds, registry: registry,
		log:         logs.NewLogger("target", cfg.Machine),
		scope:       registry.Scope().SubScope("target"),
		incarnation: contract.Incarnation(now.UnixNano()),
		wake:        make(chan struct{}, 1),
		feeds:       map[contract.AttemptID]*feed{},
		undelivered: map[contract.AttemptID]struct{}{},
	}
	p.ctx, p.stopWork = context.WithCancel(context.Background())
	if cfg.Target.Kind == config.BackendModel {
		p.engine = backend.NewEngineClient(cfg.Target.BackendURL)
	} else {
		p.plain = backend.NewPlainClient(cfg.Target.BackendURL)
	}
	p.reloads = reload.New(creds, cfg.TLS, p.scope, logs.NewLogger("credentials", cfg.Machine))
	p.settings = fileSettings(cfg)
	p.gate = gate.New(now, p.gateConfig(), p.settings.Limits, newRand(uint64(p.incarnation)))
	p.peers = newPeers(cfg.Machine, cfg.Zone)
	if cfg.LogURL != "" {
		p.connectPlatform()
	}
	return p, nil
}

// connectPlatform creates the components that use the platform.
func (p *Process) connectPlatform() {
	cfg, log := p.cfg, services.NewMeteredClient(p.cfg.LogURL, &p.platform)
	p.hosts = hostwatch.New(services.NewMeteredClient(cfg.HostsURL, &p.platform), hostPollInterval, p.peers.setHosts)
	p.follower = follow.New(follow.Options{
		Log: log, Scope: p.scope, Logger: logs.NewLogger("settings", cfg.Machine),
		Pull: p.peers.pullSettings, Machine: cfg.Machine, Zone: cfg.Zone, Hosts: p.peers.hostList,
	})
	if p.engine == nil {
		return
	}
	p.agent = agent.New(agent.Options{
		Machine: cfg.Machine, Zone: cfg.Zone, Region: cfg.Region, Service: cfg.Target.Service, Incarnation: p.incarnation,
		Log: log, Origin: services.NewClient(cfg.OriginURL), Store: services.NewClient(cfg.StoreURL),
		Engine: engineAdapter{p.engine}, Peers: p.peers,
		OriginRegion: cfg.Target.OriginRegion,
		Scope:        p.scope, Logger: logs.NewLogger("weights", cfg.Machine),
		Load:     p.runningAndLimit,
		Drain:    p.drain,
		OnActive: func(d contract.Digest) { p.step(gate.Activated{Weights: d}) },
	})
}

// hostPollInterval is the time between two polls of the host list.
const hostPollInterval = 2 * time.Second

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

// EnableMemoryLimit makes the process set the Go runtime's memory limit, so that garbage
// is collected more often as memory comes close to it. The limit applies to the whole
// program: call it only in a daemon with one process, before Run.
func (p *Process) EnableMemoryLimit() { p.memoryLimited = true }

// Run serves until ctx ends and then shuts down gracefully. It fails with ErrStart if an
// address cannot be opened.
func (p *Process) Run(ctx context.Context) error {
	if err := p.Start(); err != nil {
		return err
	}
	loops, stopLoops := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, loop := range p.loops() {
		wg.Go(func() { loop(loops) })
	}
	if p.agent != nil {
		wg.Go(func() { p.agent.Run(ctx) })
	}
	<-ctx.Done()
	p.leave()
	stopLoops()
	wg.Wait()
	p.close()
	return nil
}

// loops returns the loops that run until the process has left. The agent is not among
// them, because a leaving process sends no more orders to the engine.
func (p *Process) loops() []func(context.Context) {
	reloads := func(ctx context.Context) { _ = p.reloads.Run(ctx, reload.DefaultInterval) }
	loops := []func(context.Context){p.timerLoop, p.reportLoop, p.gaugeLoop, p.peers.sweepLoop, reloads}
	if p.follower == nil {
		return loops
	}
	run := func(ctx context.Context) { _ = p.follower.Run(ctx) }
	return append(loops, run, p.settingsLoop, p.hosts.Run)
}

// Start opens the addresses. Run calls it unless it was called before.
func (p *Process) Start() error {
	if p.endpoint != nil {
		return nil
	}
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
	p.peers.dial = endpoint.Dial
	p.log.WithField("link", endpoint.Address()).WithField("http", p.httpAddr).Info("serving")
	return nil
}

// LinkAddress returns the address of the link endpoint after Start.
func (p *Process) LinkAddress() string { return p.endpoint.Address() }

// HTTPAddress returns the address of the health and metrics pages after Start.
func (p *Process) HTTPAddress() string { return p.httpAddr }

// timerLoop sends ticks to the gate.
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
		timer.Reset(p.nextTickDelay())
	}
}

// The bounds of the delay until the next tick.
const (
	maxTickInterval = time.Second
	minTickInterval = time.Millisecond
)

func (p *Process) nextTickDelay() time.Duration {
	p.mu.Lock()
	at, ok := p.gate.NextWake()
	p.mu.Unlock()
	if !ok {
		return maxTickInterval
	}
	return min(maxTickInterval, max(minTickInterval, time.Until(at)))
}
