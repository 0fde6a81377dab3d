// Package direct implements an entry that reaches targets directly: it serves callers
// over HTTP, chooses a target for each attempt and forwards the response.
//
// The decisions are made by packages without I/O: zone/catalog finds routes, zone/roster
// holds the targets, zone/placement chooses among them, machine/entry/attempts decides
// what follows an attempt, and machine/entry/retry holds the retry budget. This package
// connects them to sockets and timers.
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
	"mimosastand.example/mimosastand/machine/entry/placementreport"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/peers"
	"mimosastand.example/mimosastand/machine/storerestore"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// operatorsPollTimeout is how long one read of the operators' records waits for a new
	// record. It is shorter than the bound on the age of manifests, 2 s: a read whose
	// response is lost, or that the store does not wake, must not delay a manifest for
	// that long.
	operatorsPollTimeout = time.Second
	// targetsReaderInterval is the time between two reads of the target list by the entry
	// that reads it for its zone, followerInterval that between two calls of the store for
	// a topic by an entry that takes over.
	targetsReaderInterval = 450 * time.Millisecond
	followerInterval      = 1500 * time.Millisecond
	// takeoverMargin is how much older than usual the store's confirmation of a topic's end
	// must be until an entry reads the topic in place of those that read it for its zone.
	// The second in line waits takeoverMarginPerRank longer, and so on up to
	// maxTakeoverMargin, so that not all entries read at once.
	takeoverMargin        = 250 * time.Millisecond
	takeoverMarginPerRank = 50 * time.Millisecond
	maxTakeoverMargin     = time.Second
	// operatorsCatchupDelay is how long the store is given to deliver records that a peer
	// already has: it wakes reads of the operators' records. The target list has no such
	// delay, because one entry of a zone reads it for the others.
	operatorsCatchupDelay = 250 * time.Millisecond
	// operatorsRewriteTimeout and targetsRewriteTimeout are how long records are kept that the
	// store lost when it came back from an older copy. Engines report about every second.
	operatorsRewriteTimeout = 10 * time.Second
	targetsRewriteTimeout   = 3 * time.Second
	// remoteFlightsInterval is the least time between two reports of attempts in flight
	// to an entry of another region.
	remoteFlightsInterval = 500 * time.Millisecond
	// maintenanceInterval is the time between two runs of maintain.
	maintenanceInterval = 250 * time.Millisecond
	// minPause is the shortest standstill that is logged, and after which heartbeats may be read late.
	minPause = 2 * maintenanceInterval
	// gaugeInterval is the time between two updates of the gauges that show the entry's
	// view of the fleet.
	gaugeInterval = 5 * time.Second
	// headerTimeout and idleTimeout bound a caller's connection; both are at least what
	// manifests allow callers.
	headerTimeout  = 10 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 64 << 10
)

// ErrListen marks the error for an address that cannot be opened.
var ErrListen = errors.New("entry: cannot listen")

// Entry is the process of an entry host.
type Entry struct {
	process     *config.Process
	log         log.Interface
	metrics     *metrics.Registry
	meters      *meters
	store       *platform.Store
	fleet       *fleetState
	conns       *connPool
	buffers     bufferBudget
	bodies      bodyBudget
	checks      *checkLoop
	peers       *peers.Peers
	weightCache *weightcache.Cache
	origin      *weightcache.OriginWatch
	// operatorsFeed follows the operators' records, targetsFeed the target list.
	operatorsFeed, targetsFeed *feed.Feed
	// operatorsCatchup and targetsCatchup fetch from peers what the store does not
	// deliver.
	operatorsCatchup, targetsCatchup *peers.Catchup
	callerListener, readyListener    net.Listener
	// callerConns follows the connections of callers.
	callerConns *connTracker
	// remoteFlights paces the reports of attempts in flight to entries of other regions.
	remoteFlights *pacer
	// transferSlots holds one element for each transfer of operators' records to a peer.
	transferSlots chan struct{}
	packer        *peers.Packer
	// runCtx ends when the entry has stopped, which is later than the signal to stop.
	runCtx    context.Context
	cancelRun context.CancelFunc
	stopping  atomic.Bool
	// stopPlan holds the times of a planned stop once it has begun.
	stopPlan     atomic.Pointer[stopPlan]
	openRequests atomic.Int64
	openCalls    openCalls
}

// New opens the process's addresses. Its errors are marked with ErrListen.
func New(process *config.Process) (*Entry, error) {
	e := &Entry{
		process: process,
		log:     logs.NewLogger("entry", process.Machine),
		metrics: metrics.New(),
		store:   platform.NewStore(process.Fleet.Store),
		conns:   newConnPool(),
		origin:  weightcache.NewOriginWatch(),

		remoteFlights: newPacer(remoteFlightsInterval),
		transferSlots: make(chan struct{}, maxTransfers),
		packer:        peers.NewPacker(),
	}
	e.meters = newMeters(e.metrics.Scope())
	e.callerConns = newConnTracker(e.log, e.meters)
	e.fleet = newFleetState(process, logs.NewLogger("fleet", process.Machine))
	e.checks = newCheckLoop(e.fleet)
	e.runCtx, e.cancelRun = context.WithCancel(context.Background())
	e.operatorsFeed = feed.New(e.store, feed.Options{
		Topic:           platform.TopicOperators,
		MaxWait:         operatorsPollTimeout,
		MinWait:         operatorsPollTimeout / 2,
		ReadInterval:    e.operatorsReadInterval,
		TakeoverAge:     e.operatorsTakeoverAge,
		PeerGracePeriod: e.operatorsPeerGracePeriod,
		LargeBytes:      peers.LargeTopicBytes,
		StartDelay:      e.operatorsStartDelay,
		MayProbe:        e.mayProbeOperators,
		OnCopyAvoided:   e.meters.countAvoidedCopy,
		OnChange:        e.applyOperatorRecords,
		RewriteTimeout:  operatorsRewriteTimeout,
		Compare:         platform.CompareOperatorRecords,
		Log:             logs.NewLogger("operators", process.Machine),
	})
	e.targetsFeed = feed.New(e.store, feed.Options{
		Topic:              platform.TopicTargets,
		ReadInterval:       e.targetsReadInterval,
		TakeoverAge:        e.targetsTakeoverAge,
		OnChange:           e.applyTargetRecords,
		RewriteTimeout:     targetsRewriteTimeout,
		Compare:            platform.CompareTargets,
		MaxAnswerGap:       roster.MaxLoss(process.Fleet.TargetReportInterval),
		OnStoreStateChange: e.setStoreState,
		Log:                logs.NewLogger("targets", process.Machine),
	})
	if err := e.listen(); err != nil {
		return nil, errors.Mark(err, ErrListen)
	}
	e.weightCache = weightcache.New(e.runCtx, weightcache.Options{
		Self:  process.Machine,
		Zone:  process.Zone,
		Store: e.store,
		Peers: e.peers,
		Log:   logs.NewLogger("weightcache", process.Machine),
		// A list of digests of another length is refused.
		PieceCount: e.fleet.pieceCount,
		Origin:     e.origin,
		VersionEnd: e.fleet.versionEnd,

		OnTransferEvent: e.meters.countTransferEvent,
	})
	storerestore.Watch(e.runCtx, storerestore.Options{
		Store:         e.store,
		Peers:         e.peers,
		Feeds:         []*feed.Feed{e.operatorsFeed, e.targetsFeed},
		RewritePieces: e.weightCache.RewriteLost,
		OnRestore:     e.meters.countStoreRestore,
		Log:           e.log,
	})
	e.operatorsCatchup = peers.NewCatchup(e.peers, e.operatorsFeed, platform.TopicOperators, operatorsCatchupDelay)
	e.operatorsCatchup.SetDelays(e.operatorsLocalDelay, e.operatorsRemoteDelay)
	e.operatorsCatchup.OnRemotePull(e.reportRemotePull)
	e.targetsCatchup = peers.NewCatchup(e.peers, e.targetsFeed, platform.TopicTargets, 0)
	return e, nil
}

func (e *Entry) listen() (err error) {
	p := e.process
	if e.callerListener, err = net.Listen("tcp", p.Fleet.CallerAddress); err != nil {
		return err
	}
	if e.readyListener, err = net.Listen("tcp", p.Fleet.ReadyAddress); err != nil {
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
		Log:           logs.NewLogger("peers", p.Machine),
		FillHeartbeat: e.fillHeartbeat,
		OnHeartbeat:   e.handleHeartbeat,
		OnLinkDown:    e.fleet.forgetFlights,
		ServeStream:   e.serveStream,
	})
	return err
}

// targetsReadInterval returns the time until the target list is read again.
func (e *Entry) targetsReadInterval() time.Duration {
	if e.peers.RankInZone() == 0 {
		return targetsReaderInterval
	}
	return followerInterval
}

// targetsTakeoverAge returns how old the store's confirmation of the target list must be for
// this entry to read it; 0 for the entry that reads it for its zone.
func (e *Entry) targetsTakeoverAge() time.Duration {
	rank := e.peers.RankInZone()
	if rank == 0 {
		return 0
	}
	return e.takeoverAge(targetsReaderInterval, rank)
}

// takeoverAge returns the age of a confirmation from which on this entry reads a topic that
// others read for it every interval. rank is its place among the entries of the zone.
func (e *Entry) takeoverAge(interval time.Duration, rank int) time.Duration {
	margin := min(takeoverMargin+time.Duration(rank)*takeoverMarginPerRank, maxTakeoverMargin)
	return interval + e.peers.PropagationDelay() + margin
}

// applyTargetRecords applies changes of the target list and reports news to the peers at once.
func (e *Entry) applyTargetRecords(update feed.Update) {
	if e.fleet.applyTargetRecords(update) {
		e.peers.SendNews()
	}
}

// setStoreState records whether the store answers reads of the target list. Targets whose entries
// lapsed with the store are dropped as soon as they count as gone.
func (e *Entry) setStoreState(s feed.StoreState) {
	if retained := e.fleet.setStoreState(s); retained > 0 {
		time.AfterFunc(retained, e.dropLapsedTargets)
	}
}

func (e *Entry) dropLapsedTargets() { e.fleet.dropLapsedTargets(e.targetsFeed.Answers()) }

// CallerAddress returns the TCP address at which callers are served.
func (e *Entry) CallerAddress() string { return e.callerListener.Addr().String() }

// ReadyAddress returns the TCP address at which readiness probes are answered.
func (e *Entry) ReadyAddress() string { return e.readyListener.Addr().String() }

// serveStream answers a peer's request for records or for pieces of weights.
func (e *Entry) serveStream(ctx context.Context, m contract.Message, s *link.Stream) {
	switch m.Kind {
	case contract.KindRecordsPull:
		e.serveRecords(*m.RecordsPull, s)
	case contract.KindPiecesRequest:
		e.weightCache.Serve(ctx, *m.PiecesRequest, s)
	}
}

// Reload applies changed settings: the fleet's bounds, the extra work and the log level. Addresses and
// names stay until the process is restarted. If err is set, or process is not configured
// for a fleet, the current settings stay.
func (e *Entry) Reload(process *config.Process, err error) {
	if err != nil || process.Fleet == nil {
		e.log.WithError(err).Warn("settings file is unusable; keeping the current settings")
		return
	}
	e.fleet.setBounds(process.Fleet.Bounds)
	e.fleet.setHedging(process.Fleet.Hedging)
	logs.SetLevel(process.LogLevel)
	e.log.Info("settings reloaded")
}

// Run serves until ctx ends, then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	e.log.Info("started")
	defer e.cancelRun()
	for _, loop := range []func(context.Context){e.peers.Run, e.operatorsFeed.Run, e.targetsFeed.Run, e.operatorsCatchup.Run, e.targetsCatchup.Run, e.maintenanceLoop} {
		go loop(e.runCtx)
	}
	server := e.newCallerServer(callerHandler{e})
	callers := e.callerConns.listener(e.callerListener)
	go e.serve(server, callers)
	go e.serve(&http.Server{Handler: http.HandlerFunc(e.serveReady)}, e.readyListener)
	e.metrics.AddPage(placementreport.Path, placementHandler{e})
	go e.metrics.Serve(e.runCtx, e.process.Fleet.MetricsAddress, e.log)
	<-ctx.Done()
	e.drain(server, callers)
	e.log.Info("stopped")
	return e.metrics.Close()
}

// newCallerServer returns the server for callers.
func (e *Entry) newCallerServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnState:         e.callerConns.observe,
	}
}

func (e *Entry) serve(server *http.Server, lis net.Listener) {
	if err := server.Serve(lis); err != nil && !e.stopping.Load() {
		e.log.WithError(err).Error("listener failed")
	}
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if e.stopping.Load() || !e.fleet.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// maintenanceLoop runs maintain and updates the gauges, both periodically.
func (e *Entry) maintenanceLoop(ctx context.Context) {
	go periodic.Run(ctx, gaugeInterval, func() { e.meters.updateGauges(e) })
	periodic.Run(ctx, maintenanceInterval, e.maintain)
}

func (e *Entry) maintain() {
	e.fleet.pauses.Log(e.log)
	e.dropLapsedTargets()
	e.fleet.pruneTargetRecords()
	e.fleet.forgetUnlinked(e.peers.IsNeighbour)
	entries, zones := e.entryMembers()
	e.fleet.setEntryZones(zones)
	e.fleet.setEntries(entries)
	e.fleet.setRunningEntries(entries)
	e.fleet.setFlightsComplete(e.peers.LinksAllEntries())
	e.conns.closeExpired()
	for model, number := range e.fleet.newestVersions() {
		e.weightCache.FetchIfFirstInRank(weightcache.Version{Model: model, Number: number})
	}
}

// entryMembers lists the entries that this one knows, and their zones.
func (e *Entry) entryMembers() (list []contract.MachineID, zones map[contract.MachineID]contract.ZoneName) {
	zones = map[contract.MachineID]contract.ZoneName{}
	for _, m := range e.peers.Members(link.RoleEntry) {
		list = append(list, m.Machine)
		zones[m.Machine] = m.Zone
	}
	return list, zones
}
