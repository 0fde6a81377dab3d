// Package direct is the process of an entry that reaches targets directly: it
// serves callers over HTTP, chooses a target for each attempt and passes the
// answer on.
//
// What it decides stands in packages without I/O: routes in zone/catalog, targets
// in zone/roster, their choice in zone/placement, what follows an attempt in
// machine/entry/attempts, the retry budget in machine/entry/retry. This package
// turns sockets and timers into their calls.
package direct

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	// operatorsWait is how long one read of what operators write waits for news. It is
	// shorter than the bound on the age of manifests, 2 s: a read whose answer is lost, or
	// that is not woken, must not hold one up for so long.
	operatorsWait = 1500 * time.Millisecond
	// readerPause is the time between two reads of the list of targets by the entry
	// that reads for its zone, targetsPause that of its neighbours, which learn from it.
	readerPause  = 450 * time.Millisecond
	targetsPause = 1500 * time.Millisecond
	// storeHead is how long the store is given to tell what a peer knows already: it
	// wakes reads of what operators write; the list is read by one entry of a zone.
	storeHead = 250 * time.Millisecond
	// farFlightsPause is the time between two times that an entry of another region is
	// told of flights.
	farFlightsPause = 500 * time.Millisecond
	// tickInterval is the time between two looks at what has lapsed.
	tickInterval = 250 * time.Millisecond
	// meterInterval is the time between two updates of what the metrics tell that the
	// entry believes.
	meterInterval = time.Second
	// headerTimeout and idleTimeout bound a caller's connection; both are at least
	// what manifests allow callers.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrListen marks an address that cannot be opened.
var ErrListen = errors.New("entry: cannot listen")

// Entry is the process of an entry host.
type Entry struct {
	process  *config.Process
	log      log.Interface
	metrics  *metrics.Registry
	meters   *meters
	store    *platform.Store
	world    *world
	upstream *upstream
	peers    *peers.Peers
	depot    *weightcache.Cache
	// operators follows what operators write, targets the list of targets.
	operators, targets *feed.Feed
	// catchup and targetsCatchup bring what the store does not tell.
	catchup, targetsCatchup *peers.Catchup
	callers, probes         net.Listener
	// farFlights tells when entries of other regions are told of flights.
	farFlights *pacer
	// pulls has a place for each peer that is being told what operators write.
	pulls chan struct{}
	// work lasts until the entry has stopped, longer than the signal to stop.
	work     context.Context
	endWork  context.CancelFunc
	stopping atomic.Bool
	open     atomic.Int64
}

// New opens the process's addresses. It fails with ErrListen.
func New(process *config.Process) (*Entry, error) {
	e := &Entry{
		process:  process,
		log:      logs.For("entry", process.Machine),
		metrics:  metrics.New(),
		store:    platform.NewStore(process.Fleet.Store),
		upstream: newUpstream(),

		farFlights: newPacer(farFlightsPause),
		pulls:      make(chan struct{}, maxPulls),
	}
	e.meters = newMeters(e.metrics.Scope())
	e.world = newWorld(process, logs.For("world", process.Machine))
	e.work, e.endWork = context.WithCancel(context.Background())
	e.operators = feed.New(e.store, feed.Options{
		Topic:           platform.TopicOperators,
		MaxWait:         operatorsWait,
		ReadInterval:    e.operatorsPause,
		PeerGracePeriod: e.operatorsDefer,
		OnChange:        e.operatorsChanged,
		Log:             logs.For("operators", process.Machine),
	})
	e.targets = feed.New(e.store, feed.Options{
		Topic:              platform.TopicTargets,
		ReadInterval:       e.targetsPause,
		OnChange:           e.world.targetsChanged,
		OnStoreStateChange: e.world.storeChanged,
		Log:                logs.For("targets", process.Machine),
	})
	if err := e.listen(); err != nil {
		return nil, errors.Mark(err, ErrListen)
	}
	e.depot = weightcache.New(e.work, weightcache.Options{
		Self:  process.Machine,
		Zone:  process.Zone,
		Store: e.store,
		Peers: e.peers,
		Log:   logs.For("depot", process.Machine),
	})
	e.catchup = peers.NewCatchup(e.peers, e.operators, platform.TopicOperators, storeHead)
	e.targetsCatchup = peers.NewCatchup(e.peers, e.targets, platform.TopicTargets, 0)
	return e, nil
}

func (e *Entry) listen() (err error) {
	p := e.process
	if e.callers, err = net.Listen("tcp", p.Fleet.CallerAddress); err != nil {
		return err
	}
	if e.probes, err = net.Listen("tcp", p.Fleet.ReadyAddress); err != nil {
		return err
	}
	e.peers, err = peers.Open(peers.Options{
		Self: peers.Member{
			Machine: p.Machine,
			Role:    link.RoleEntry,
			Zone:    p.Zone,
			Region:  p.Region,
			Address: p.Fleet.LinkAddress,
		},
		Store:         e.store,
		Log:           logs.For("peers", p.Machine),
		FillHeartbeat: e.beat,
		OnHeartbeat:   e.beatReceived,
		OnLinkDown:    e.world.peerDown,
		ServeStream:   e.serveStream,
	})
	return err
}

// beat fills in what heartbeats tell a peer of the entry. Targets need no flights;
// entries of other regions, which send here only when theirs are full, get them
// rarely, since they come over the links between regions.
func (e *Entry) beat(peer contract.MachineID, hb *contract.Heartbeat) {
	member, _ := e.peers.Member(peer)
	if member.Role == link.RoleEntry {
		hb.SameFlights = member.Region != e.process.Region && !e.farFlights.due(peer, time.Now())
		if !hb.SameFlights {
			hb.Flights = e.world.ownFlights()
		}
	}
	hb.Named = e.world.versionAges()
	hb.Settings = contract.Offset(e.operators.NewestOffset() + 1)
	hb.Targets = contract.Offset(e.targets.NewestOffset() + 1)
}

// targetsPause is the time until the list of targets is read again.
func (e *Entry) targetsPause() time.Duration {
	if reader, ok := e.peers.FirstLinkedEntry(e.process.Zone); ok && reader != e.process.Machine {
		return targetsPause
	}
	return readerPause
}

// beatReceived takes in a peer's heartbeat.
func (e *Entry) beatReceived(hb contract.Heartbeat) {
	e.operatorsTold(hb)
	if hb.Zone == e.process.Zone {
		e.targetsCatchup.ObservePeerOffset(hb.Machine, int64(hb.Targets)-1)
	}
	e.world.beat(hb)
}

// CallerAddress is the TCP address at which callers are served.
func (e *Entry) CallerAddress() string { return e.callers.Addr().String() }

// ReadyAddress is the TCP address at which readiness is told.
func (e *Entry) ReadyAddress() string { return e.probes.Addr().String() }

// serveStream answers a peer.
func (e *Entry) serveStream(ctx context.Context, m contract.Message, s *link.Stream) {
	switch m.Kind {
	case contract.KindRecordsPull:
		e.serveRecords(*m.RecordsPull, s)
	case contract.KindPiecesRequest:
		e.depot.Serve(ctx, *m.PiecesRequest, s)
	}
}

// Reload takes in settings that have changed: the bounds and the level of logs.
// Addresses and names stay until the process starts again. With an error the
// former settings stay.
func (e *Entry) Reload(process *config.Process, err error) {
	if err != nil || process.Fleet == nil {
		e.log.WithError(err).Warn("settings kept: the file is unusable")
		return
	}
	e.world.setBounds(process.Fleet.Bounds)
	logs.SetLevel(process.LogLevel)
	e.log.Info("settings reloaded")
}

// Run serves until ctx ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("started")
	defer e.endWork()
	for _, loop := range []func(context.Context){e.peers.Run, e.operators.Run, e.targets.Run, e.catchup.Run, e.targetsCatchup.Run, e.tickLoop} {
		go loop(e.work)
	}
	server := &http.Server{
		Handler:           front{e},
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	go e.serve(server, e.callers)
	go e.serve(&http.Server{Handler: http.HandlerFunc(e.serveReady)}, e.probes)
	go e.metrics.Serve(e.work, e.process.Fleet.MetricsAddress, e.log)
	<-ctx.Done()
	e.drain(server)
	e.log.Info("stopped")
	return e.metrics.Close()
}

func (e *Entry) serve(server *http.Server, lis net.Listener) {
	if err := server.Serve(lis); err != nil && !e.stopping.Load() {
		e.log.WithError(err).Error("listener ended")
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.world.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// tickLoop does what time alone brings about.
func (e *Entry) tickLoop(ctx context.Context) {
	go periodic.Run(ctx, meterInterval, func() { e.meters.world(e) })
	periodic.Run(ctx, tickInterval, e.tick)
}

func (e *Entry) tick() {
	e.world.tick()
	e.world.unwatch(e.peers.MaintainsLink)
	e.world.setEntries(e.entries())
	e.upstream.sweep()
	for model, number := range e.world.versionsInForce() {
		e.depot.HandleAnnouncement(weightcache.Version{Model: model, Number: number})
	}
}

// entries lists the entries that this one knows.
func (e *Entry) entries() []contract.MachineID {
	var list []contract.MachineID
	for _, m := range e.peers.Members(link.RoleEntry) {
		list = append(list, m.Machine)
	}
	return list
}

// logPlaced logs where an attempt goes and what the choice rests on.
func (e *Entry) logPlaced(c *call, choice placement.Choice) {
	e.log.WithField("request", c.info.ID).WithField("service", string(c.service)).WithField("target", string(choice.ID)).
		WithField("load", choice.Load).WithField("first_ms", choice.FirstEventDelay.Milliseconds()).WithField("version", choice.Version).
		WithField("oldest", choice.MinVersion).
		WithField("listed_ms", choice.ListedAge.Milliseconds()).WithField("manifest", c.manifest).
		WithField("left_ms", time.Until(c.deadline).Milliseconds()).Info("attempt placed")
}
