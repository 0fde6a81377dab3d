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
	// maxUnreadyDelay bounds how long a stopping entry still accepts requests after it has
	// begun to report to the platform's balancer that it is not ready.
	maxUnreadyDelay   = time.Second
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 32 << 10
)

// Entry is the process on an entry host.
type Entry struct {
	process     *config.Process
	opts        Options
	hostWatcher *hostwatch.Watcher
	log         log.Interface
	metrics     *metrics.Registry
	listener    net.Listener
	ctx         context.Context
	cancel      context.CancelFunc

	loop      *eventLoop
	responses *responseBuffers
	exchanges *exchanges
	links     *links
	executor  *effectExecutor
	keys      *keyClaims
	prober    *prober
	claims    *claims.Service
	handler   *handler
	readiness *readiness
	follower  *follow.Follower
	admin     *adminServer
	// platformTraffic counts the bytes sent to and received from the platform's services.
	platformTraffic    traffic.Meter
	credentialReloader *reload.Watcher
}

// New returns an entry whose addresses are open. Its error is ErrCredentials, ErrListen,
// or admin.ErrTokensFile.
func New(process *config.Process, opts Options) (*Entry, error) {
	now := time.Now()
	creds, err := link.LoadCredentials(process.TLS, link.RoleEntry, now)
	if err != nil {
		return nil, errors.Mark(err, ErrCredentials)
	}
	e := &Entry{process: process, opts: opts, metrics: metrics.New()}
	e.log = logs.NewLogger("entry", process.Machine)
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.credentialReloader = reload.New(creds, process.TLS, e.metrics.Scope(), logs.NewLogger("credentials", process.Machine))
	e.fillOptions()
	e.buildComponents(contract.Incarnation(now.UnixNano()))
	if err := e.links.open(process.LinkAddress, creds, process.Link); err != nil {
		return nil, errors.Mark(err, ErrListen)
	}
	e.listener, err = net.Listen("tcp", process.HTTPAddress)
	if err != nil {
		e.links.close()
		return nil, errors.Mark(err, ErrListen)
	}
	if err := e.openAdmin(); err != nil {
		e.links.close()
		_ = e.listener.Close()
		return nil, err
	}
	return e, nil
}

// fillOptions sets the reader of the host list and the settings, if they are nil, to ones
// that use the platform's services. It also creates the host watcher, which passes host
// lists to the prober, the claimer and the state machine.
func (e *Entry) fillOptions() {
	if e.opts.Hosts == nil {
		e.opts.Hosts = services.NewMeteredClient(e.process.HostsURL, &e.platformTraffic)
	}
	observe := func(requestedAt time.Time, list hostlist.List) { e.prober.recordHostList(requestedAt, list) }
	observedHosts := observedReader{Reader: e.opts.Hosts, observe: observe}
	e.hostWatcher = hostwatch.New(observedHosts, e.opts.HostsInterval, func(list hostlist.List) {
		e.setClaimWriters(list)
		e.loop.step(dispatch.HostsChanged{List: list})
	})
	if e.opts.Settings == nil {
		e.follower = e.newFollower()
		e.opts.Settings = e.follower
	}
}

// newFollower returns a follower of the operators' settings.
func (e *Entry) newFollower() *follow.Follower {
	return follow.New(follow.Options{
		Log:     services.NewMeteredClient(e.process.LogURL, &e.platformTraffic),
		Scope:   e.metrics.Scope(),
		Logger:  logs.NewLogger("settings", e.process.Machine),
		Machine: e.process.Machine,
		Zone:    e.process.Zone,
		Pull: func(ctx context.Context, after contract.Offset) (contract.SettingsRecords, error) {
			return e.links.pullSettings(ctx, after)
		},
		Hosts: e.currentHosts,
	})
}

// currentHosts returns the hosts of the newest host list.
func (e *Entry) currentHosts() []hostlist.Host {
	list, _ := e.hostWatcher.Last()
	return list.Hosts
}

// buildComponents creates the components of the process and connects them.
func (e *Entry) buildComponents(incarnation contract.Incarnation) {
	p := e.process
	scope := e.metrics.Scope().SubScope("entry")
	home := balancer.Place{Region: p.Region, Zone: p.Zone}
	e.responses = newResponseBuffers()
	e.exchanges = newExchanges(e.ctx, e.responses)
	e.links = &links{
		self:           contract.Heartbeat{Machine: p.Machine, Incarnation: incarnation, Zone: p.Zone},
		settings:       e.opts.Settings,
		scope:          scope,
		connectedSince: map[contract.MachineID]time.Time{},
		fleet:          newFleetState(e.currentHosts),
	}
	e.executor = &effectExecutor{
		ctx:       e.ctx,
		responses: e.responses,
		exchanges: e.exchanges,
		links:     e.links,
		settings:  e.opts.Settings,
		scope:     scope,
	}
	e.loop = newEventLoop(dispatch.Config{Machine: p.Machine, Home: home}, e.executor)
	e.prober = newProber(e.links)
	e.keys = newKeyClaims(e.newClaimer(incarnation), e.log)
	e.executor.keys, e.exchanges.keys = e.keys, e.keys
	e.exchanges.links = e.links
	e.executor.loop, e.exchanges.loop, e.links.loop = e.loop, e.loop, e.loop
	e.handler = &handler{
		parser:    parser{maxBodyBytes: p.Entry.MaxBodyBytes, defaultTimeout: p.Entry.DefaultTimeout},
		loop:      e.loop,
		responses: e.responses,
		scope:     scope,
		idPrefix:  string(p.Machine) + "-" + strconv.FormatUint(uint64(incarnation), 36),
	}
	e.readiness = &readiness{loop: e.loop}
}

// newClaimer returns the claimer of idempotency keys.
func (e *Entry) newClaimer(incarnation contract.Incarnation) claims.Claimer {
	if e.opts.Claims != nil {
		return e.opts.Claims
	}
	writer := fmt.Sprintf("%s/%d", e.process.Machine, incarnation)
	e.claims = claims.NewService(services.NewMeteredClient(e.process.LogURL, &e.platformTraffic), e.prober, claims.Options{
		Config: claims.DefaultConfig(writer),
		Stream: claims.Stream,
		Logger: logs.NewLogger("claims", e.process.Machine),
		Scope:  e.metrics.Scope().SubScope("claims"),
		Seed:   uint64(incarnation),
	})
	return e.claims
}

// setClaimWriters passes on to the claimer how many entries share the log's append rate.
func (e *Entry) setClaimWriters(list hostlist.List) {
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

// HTTPAddress returns the TCP address at which callers are served.
func (e *Entry) HTTPAddress() string {
	return e.listener.Addr().String()
}

// Run serves until ctx ends. It then stops gracefully: requests in flight may complete
// within the shutdown grace period of the process.
func (e *Entry) Run(ctx context.Context) error {
	go e.hostWatcher.Run(e.ctx)
	go func() { _ = e.opts.Settings.Run(e.ctx) }()
	go e.followSettings()
	go e.runGaugeUpdates(e.ctx)
	go func() { _ = e.credentialReloader.Run(e.ctx, reload.DefaultInterval) }()
	if e.claims != nil {
		go e.claims.Run(e.ctx)
	}
	if e.admin != nil {
		go e.admin.run(e.ctx)
	}
	server := e.newServer()
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

// newServer returns the HTTP server for callers, health checks and metrics.
func (e *Entry) newServer() *http.Server {
	mux := http.NewServeMux()
	mux.Handle("/v1/", e.handler)
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/readyz", e.readiness.serveHTTP)
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

// followSettings passes each new view of the settings to the state machine, once the
// settings are ready.
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
	e.loop.stopTimer()
	e.links.close()
	e.exchanges.wg.Wait()
	e.executor.wg.Wait()
	_ = e.metrics.Close()
}
