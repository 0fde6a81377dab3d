package entry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/traffic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/reload"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/zone/balancer"
	"mimosastand.example/mimosastand/zone/hostlist"
	"mimosastand.example/mimosastand/zone/hostwatch"
)

const (
	// maxNotice is how long a stopping entry still takes requests after it has
	// told the platform's balancer that it is not ready.
	maxNotice         = time.Second
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Entry is the process of an entry host.
type Entry struct {
	process  *config.Process
	opts     Options
	watcher  *hostwatch.Watcher
	log      log.Interface
	metrics  *metrics.Registry
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc

	loop      *loop
	callers   *callers
	exchanges *exchanges
	links     *links
	effects   *effects
	keys      *keys
	prober    *prober
	claims    *claims.Service
	handler   *handler
	state     *readiness
	follower  *follow.Follower
	admin     *administration
	// platform counts the bytes to and from the platform's services.
	platform traffic.Meter
	reloads  *reload.Watcher
}

// New opens the process's addresses. It fails with ErrCredentials or ErrListen.
func New(process *config.Process, opts Options) (*Entry, error) {
	now := time.Now()
	creds, err := link.LoadCredentials(process.TLS, link.RoleEntry, now)
	if err != nil {
		return nil, errors.Mark(err, ErrCredentials)
	}
	e := &Entry{process: process, opts: opts, metrics: metrics.New()}
	e.log = logs.NewLogger("entry", process.Machine)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.reloads = reload.New(creds, process.TLS, e.metrics.Scope(), logs.NewLogger("credentials", process.Machine))
	e.fillOptions()
	e.build(contract.Incarnation(now.UnixNano()))
	if err := e.links.open(process.LinkAddress, creds, process.Link); err != nil {
		return nil, errors.Mark(err, ErrListen)
	}
	e.listener, err = net.Listen("tcp", process.HTTPAddress)
	if err != nil {
		e.links.close()
		return nil, errors.Mark(err, ErrListen)
	}
	if err := e.openAdministration(); err != nil {
		e.links.close()
		_ = e.listener.Close()
		return nil, err
	}
	return e, nil
}

func (e *Entry) fillOptions() {
	if e.opts.Hosts == nil {
		e.opts.Hosts = services.NewMeteredClient(e.process.HostsURL, &e.platform)
	}
	observe := func(asked time.Time, list hostlist.List) { e.prober.observe(asked, list) }
	hosts := observedHosts{Reader: e.opts.Hosts, observe: observe}
	e.watcher = hostwatch.New(hosts, e.opts.HostsInterval, func(list hostlist.List) {
		e.setWriters(list)
		e.loop.step(dispatch.HostsChanged{List: list})
	})
	if e.opts.Settings == nil {
		e.follower = e.newFollower()
		e.opts.Settings = e.follower
	}
}

// newFollower makes the follower of the operators' settings.
func (e *Entry) newFollower() *follow.Follower {
	return follow.New(follow.Options{
		Log:     services.NewMeteredClient(e.process.LogURL, &e.platform),
		Scope:   e.metrics.Scope(),
		Logger:  logs.NewLogger("settings", e.process.Machine),
		Machine: e.process.Machine,
		Zone:    e.process.Zone,
		Pull: func(ctx context.Context, after contract.Offset) (contract.SettingsRecords, error) {
			return e.links.pull(ctx, after)
		},
		Hosts: e.hosts,
	})
}

// hosts is the newest host list.
func (e *Entry) hosts() []hostlist.Host {
	list, _ := e.watcher.Last()
	return list.Hosts
}

// build joins the parts.
func (e *Entry) build(incarnation contract.Incarnation) {
	p := e.process
	scope := e.metrics.Scope().SubScope("entry")
	home := balancer.Place{Region: p.Region, Zone: p.Zone}
	e.callers = newCallers()
	e.exchanges = newExchanges(e.ctx, e.callers)
	e.links = &links{
		self:     contract.Heartbeat{Machine: p.Machine, Incarnation: incarnation, Zone: p.Zone},
		settings: e.opts.Settings,
		scope:    scope,
		since:    map[contract.MachineID]time.Time{},
		fleet:    newFleet(e.hosts),
	}
	e.effects = &effects{
		ctx:       e.ctx,
		callers:   e.callers,
		exchanges: e.exchanges,
		links:     e.links,
		settings:  e.opts.Settings,
		scope:     scope,
	}
	e.loop = newLoop(dispatch.Config{Machine: p.Machine, Home: home}, e.effects)
	e.prober = newProber(e.links)
	e.keys = newKeys(e.claimer(incarnation), e.log)
	e.effects.keys, e.exchanges.keys = e.keys, e.keys
	e.exchanges.links = e.links
	e.effects.loop, e.exchanges.loop, e.links.loop = e.loop, e.loop, e.loop
	e.handler = &handler{
		parser:  parser{maxBody: p.Entry.MaxBodyBytes, defaultTimeout: p.Entry.DefaultTimeout},
		loop:    e.loop,
		callers: e.callers,
		scope:   scope,
		name:    string(p.Machine) + "-" + strconv.FormatUint(uint64(incarnation), 36),
	}
	e.state = &readiness{loop: e.loop}
}

// claimer makes the claimer of idempotency keys.
func (e *Entry) claimer(incarnation contract.Incarnation) claims.Claimer {
	if e.opts.Claims != nil {
		return e.opts.Claims
	}
	writer := fmt.Sprintf("%s/%d", e.process.Machine, incarnation)
	e.claims = claims.NewService(services.NewMeteredClient(e.process.LogURL, &e.platform), e.prober, claims.Options{
		Config: claims.DefaultConfig(writer),
		Stream: claims.Stream,
		Logger: logs.NewLogger("claims", e.process.Machine),
		Scope:  e.metrics.Scope().SubScope("claims"),
		Seed:   uint64(incarnation),
	})
	return e.claims
}

// setWriters tells the claimer how many entries share the log's append rate.
func (e *Entry) setWriters(list hostlist.List) {
	if e.claims == nil {
		return
	}
	entries := 0
	for _, h := range list.Hosts {
		if h.Role == hostlist.Entry {
			entries++
		}
	}
	e.claims.SetWriterCount(max(1, entries))
}

// HTTPAddress is the TCP address at which callers are served.
func (e *Entry) HTTPAddress() string {
	return e.listener.Addr().String()
}

// Run serves until ctx ends, then stops gracefully: it finishes what is in
// flight within the process's shutdown grace.
func (e *Entry) Run(ctx context.Context) error {
	go e.watcher.Run(e.ctx)
	go func() { _ = e.opts.Settings.Run(e.ctx) }()
	go e.followSettings()
	go e.gaugeLoop(e.ctx)
	go func() { _ = e.reloads.Run(e.ctx, reload.DefaultInterval) }()
	if e.claims != nil {
		go e.claims.Run(e.ctx)
	}
	if e.admin != nil {
		go e.admin.run(e.ctx)
	}
	server := e.server()
	served := make(chan error, 1)
	go func() { served <- server.Serve(e.listener) }()
	e.log.Info("Serving.")
	var err error
	select {
	case <-ctx.Done():
		e.drain(server)
	case err = <-served:
		err = errors.Mark(err, ErrListen)
	}
	e.close()
	return err
}

func (e *Entry) server() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.handler)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", e.state.serve)
	mux.Handle("/metrics", e.metrics.Handler())
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           mux,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// followSettings passes newer views to the state machine.
func (e *Entry) followSettings() {
	for {
		changed := e.opts.Settings.Changed()
		if e.opts.Settings.Ready() {
			e.loop.step(dispatch.SettingsChanged{View: e.opts.Settings.Current()})
		}
		select {
		case <-e.ctx.Done():
			return
		case <-changed:
		}
	}
}

func (e *Entry) close() {
	e.cancel()
	e.loop.stop()
	e.links.close()
	e.exchanges.wg.Wait()
	e.effects.wg.Wait()
	_ = e.metrics.Close()
}
