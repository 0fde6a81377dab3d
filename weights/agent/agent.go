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
	peersInterval = time.Second
	// firstPeersInterval is the interval until the first host list.
	firstPeersInterval = 100 * time.Millisecond
	// peersGrace is how long the first host list is awaited.
	peersGrace = 5 * time.Second
	// fenceStreamPrefix precedes the machine in the name of its fence stream.
	fenceStreamPrefix = "fences/"
)

// Agent draws, stages and activates weights for one target. The state machines
// belong to the goroutine of Run; all else reaches them through post.
type Agent struct {
	opts  Options
	store *weights.ChunkStore
	posts chan func()
	done  chan struct{}
	start time.Time
	ctx   context.Context
	wg    sync.WaitGroup

	swarm   *swarm.Swarm
	orders  *activation.StateMachine
	rollout *rollout.StateMachine

	wanted []DesiredVersion
	// stopped tells that the roll-out of what is wanted has stopped.
	stopped bool
	peers   []Peer
	peersAt time.Duration
	// placed tells that the other targets are known, or were awaited in vain.
	placed   bool
	versions map[contract.Digest]*versionTask
	flights  map[swarm.Draw]context.CancelFunc
	serving  map[swarm.Upload]chan bool
	drain    context.CancelFunc
	draining bool
	warm     bool
	asking   bool

	// status is what ServeHave tells of the own target.
	status atomic.Pointer[contract.RolloutStatus]
	budget swarm.Budget
	stager *stager
	// target is the version that the engine shall run.
	target atomic.Pointer[contract.Digest]
	// abroad holds the peers of other regions, for the goroutines that serve.
	abroad atomic.Pointer[map[contract.MachineID]contract.RegionName]
	local  pacer
	remote pacers
}

// versionTask is the work on one version outside the state machines.
type versionTask struct {
	cancel context.CancelFunc
}

// New returns an agent; Run starts it.
func New(opts Options) *Agent {
	seed := rand.New(rand.NewPCG(uint64(opts.Incarnation), uint64(len(opts.Machine))))
	sub := func() *rand.Rand { return rand.New(rand.NewPCG(seed.Uint64(), seed.Uint64())) }
	a := &Agent{
		opts: opts, store: weights.NewChunkStore(), start: time.Now(),
		posts: make(chan func(), 64), done: make(chan struct{}), ctx: context.Background(),
		versions: map[contract.Digest]*versionTask{},
		flights:  map[swarm.Draw]context.CancelFunc{},
		serving:  map[swarm.Upload]chan bool{},
		swarm: swarm.New(swarm.Config{
			Self:  swarm.Peer{Machine: opts.Machine, Zone: opts.Zone, Region: opts.Region},
			Epoch: uint64(opts.Incarnation), OriginRegion: opts.OriginRegion,
		}, sub()),
		orders:  activation.New(activation.Config{Incarnation: opts.Incarnation}, sub()),
		rollout: rollout.New(rollout.Config{Self: opts.Machine}),
	}
	a.status.Store(&contract.RolloutStatus{})
	a.stager = &stager{engine: opts.Engine, store: a.store}
	return a
}

// Run works until ctx ends, and waits for the calls under way. It may be called
// once.
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
		timer.Reset(a.next())
	}
}

// post hands f to the goroutine of Run; it is dropped once Run has ended.
func (a *Agent) post(f func()) {
	select {
	case a.posts <- f:
	case <-a.done:
	}
}

// spawn runs f beside Run, which waits for it at its end.
func (a *Agent) spawn(f func()) {
	a.wg.Add(1)
	go func() {
		defer a.wg.Done()
		f()
	}()
}

func (a *Agent) now() time.Duration { return time.Since(a.start) }

// next is how long the loop may sleep.
func (a *Agent) next() time.Duration {
	at := min(a.swarm.Next(), a.orders.Next(), a.rollout.Next(), a.peersAt)
	return max(at-a.now(), 0)
}

// tick gives every state machine its tick.
func (a *Agent) tick() {
	if a.now() >= a.peersAt {
		a.refreshPeers()
	}
	a.stepSwarm(swarm.Tick{})
	a.stepOrders(activation.Tick{})
	a.stepRollout(rollout.Tick{})
}

func (a *Agent) count(name string) {
	a.opts.Scope.SubScope("weights").Counter(name).Inc(1)
}

// Bytes returns the total size of the held chunks.
func (a *Agent) Bytes() int64 { return a.store.Bytes() }

// SetLinkTraffic sets the capacities of the links and what live traffic uses of them, in
// bytes per second, so that weights are sent at lower priority than live traffic.
func (a *Agent) SetLinkTraffic(links swarm.Links, live swarm.Live) {
	a.post(func() {
		if budget := swarm.BudgetFor(links, live, a.senders()); budget != a.budget {
			a.budget = budget
			a.stepSwarm(budget)
		}
	})
}

// senders is how many targets of the region send over one link to another one.
func (a *Agent) senders() int {
	regions := map[contract.RegionName]bool{a.opts.Region: true}
	targets := 1
	for _, p := range a.peers {
		regions[p.Region] = true
		if p.Region == a.opts.Region {
			targets++
		}
	}
	return swarm.Senders(swarm.DefaultSlots, targets, len(regions))
}
