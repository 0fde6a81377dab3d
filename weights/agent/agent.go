package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights"
	"mimosastand.example/mimosastand/weights/activation"
	"mimosastand.example/mimosastand/weights/rollout"
	"mimosastand.example/mimosastand/weights/swarm"
)

const (
	// peersInterval is the interval at which the list of peers is refreshed.
	peersInterval = time.Second
	// firstPeersInterval is the refresh interval until the peers are known.
	firstPeersInterval = 100 * time.Millisecond
	// peersGrace is how long downloads wait for the first host list.
	peersGrace = 5 * time.Second
	// fenceStreamPrefix is followed by the host in the name of its fence stream.
	fenceStreamPrefix = "fences/"
)

// Agent downloads, stages and activates weights for one target. The goroutine of Run owns
// the state machines; other goroutines reach them through post.
type Agent struct {
	opts  Options
	store *weights.ChunkStore
	posts chan func()
	done  chan struct{}
	start time.Time
	ctx   context.Context
	wg    sync.WaitGroup

	swarm      *swarm.Swarm
	activation *activation.StateMachine
	rollout    *rollout.StateMachine

	desired []DesiredVersion
	// stopped reports whether the roll-out of the desired versions has stopped for
	// failures.
	stopped bool
	peers   []Peer
	peersAt time.Duration
	// peersReady reports whether the other targets are known, or the wait for them has
	// ended. Downloads begin only then.
	peersReady    bool
	versions      map[contract.Digest]*versionTask
	downloads     map[swarm.Download]context.CancelFunc
	uploads       map[swarm.Upload]chan bool
	drain         context.CancelFunc
	draining      bool
	warm          bool
	reportPending bool

	// status is the own status, which ServeHave reports to peers.
	status atomic.Pointer[contract.RolloutStatus]
	budget swarm.Budget
	stager *stager
	// desiredVersion is the version that the engine is to run.
	desiredVersion atomic.Pointer[contract.Digest]
	// remoteRegions holds the regions of the peers of other regions, for the goroutines
	// that serve chunks.
	remoteRegions atomic.Pointer[map[contract.MachineID]contract.RegionName]
	localPacer    pacer
	remotePacers  pacers
}

// versionTask is the work on one version outside the state machines.
type versionTask struct {
	cancel context.CancelFunc
}

// New returns an Agent; Run starts it.
func New(opts Options) *Agent {
	seed := rand.New(rand.NewPCG(uint64(opts.Incarnation), uint64(len(opts.Machine))))
	newRand := func() *rand.Rand { return rand.New(rand.NewPCG(seed.Uint64(), seed.Uint64())) }
	a := &Agent{
		opts: opts, store: weights.NewChunkStore(), start: time.Now(),
		posts: make(chan func(), 64), done: make(chan struct{}), ctx: context.Background(),
		versions:  map[contract.Digest]*versionTask{},
		downloads: map[swarm.Download]context.CancelFunc{},
		uploads:   map[swarm.Upload]chan bool{},
		swarm: swarm.New(swarm.Config{
			Self:  swarm.Peer{Machine: opts.Machine, Zone: opts.Zone, Region: opts.Region},
			Epoch: uint64(opts.Incarnation), OriginRegion: opts.OriginRegion,
		}, newRand()),
		activation: activation.New(activation.Config{Incarnation: opts.Incarnation}, newRand()),
		rollout:    rollout.New(rollout.Config{Self: opts.Machine}),
	}
	a.status.Store(&contract.RolloutStatus{})
	a.stager = &stager{engine: opts.Engine, store: a.store}
	return a
}

// Run runs the agent until ctx ends, then waits for the calls in progress. It may be
// called once.
func (a *Agent) Run(ctx context.Context) {
	a.ctx = ctx
	defer a.wg.Wait()
	defer close(a.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-a.posts:
			f()
		case <-timer.C:
			a.tick()
		}
		timer.Reset(a.untilNextTick())
	}
}

// post runs f in the goroutine of Run; f is dropped once Run has ended.
func (a *Agent) post(f func()) {
	select {
	case a.posts <- f:
	case <-a.done:
	}
}

// spawn runs f in a goroutine that Run waits for before it returns.
func (a *Agent) spawn(f func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		f()
	}()
}

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// untilNextTick returns how long the loop may wait for the next tick.
func (a *Agent) untilNextTick() time.Duration {
	at := min(a.swarm.Next(), a.activation.Next(), a.rollout.Next(), a.peersAt)
	return max(at-a.now(), 0)
}

// tick refreshes the peers if that is due and steps a Tick in every state machine.
func (a *Agent) tick() {
	if a.now() >= a.peersAt {
		a.refreshPeers()
	}
	a.stepSwarm(swarm.Tick{})
	a.stepActivation(activation.Tick{})
	a.stepRollout(rollout.Tick{})
}

// count increments a counter of the scope "weights".
func (a *Agent) count(name string) {
	a.opts.Scope.SubScope("weights").Counter(name).Inc(1)
}

// Bytes returns the total size of the held chunks.
func (a *Agent) Bytes() int64 { return a.store.Bytes() }

// SetLinkTraffic sets the capacities of the links and what live traffic uses of them, in
// bytes per second, so that weights are sent at lower priority than live traffic.
func (a *Agent) SetLinkTraffic(links swarm.Links, live swarm.LiveTraffic) {
	a.post(func() {
		if budget := swarm.BudgetFor(links, live, a.sendersPerLink()); budget != a.budget {
			a.budget = budget
			a.stepSwarm(budget)
		}
	})
}

// sendersPerLink returns how many targets of the region send over one link to another
// region.
func (a *Agent) sendersPerLink() int {
	regions := map[contract.RegionName]bool{a.opts.Region: true}
	targets := 1
	for _, p := range a.peers {
		regions[p.Region] = true
		if p.Region == a.opts.Region {
			targets++
		}
	}
	return swarm.SendersPerLink(swarm.DefaultSlots, targets, len(regions))
}
