package sim

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/simulation"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/record"
)

// Delays of the world, one way.
const (
	linkDelay      = time.Millisecond
	logDelay       = 5 * time.Millisecond
	pullTimeout    = 2 * time.Second
	tickInterval   = 250 * time.Millisecond
	heartbeatEvery = time.Second
	callTimeout    = 5 * time.Second
)

// World runs nodes in virtual time. It is not safe for concurrent use.
type World struct {
	Log *Log
	// Trace is called for each effect of a node, if set.
	Trace func(n *Node, e spread.Effect)
	// Prepare is called for each new machine, if set.
	Prepare func(m *spread.Machine)
	// LogDelay is added to each call of the log.
	LogDelay time.Duration

	timing  spread.Timing
	queue   simulation.Queue
	rng     *rand.Rand
	polls   uint64
	nodes   []*Node
	byName  map[string]*Node
	waiting map[*Node]waiter
	// cutZones cannot reach other zones, cutLog cannot reach the log.
	cutZones map[contract.ZoneName]bool
	cutLog   map[contract.ZoneName]bool
	cost     Cost
}

// Cost counts what the spread used.
type Cost struct {
	Steps, Pulls, PullBytes, Heartbeats int
}

// NewWorld returns an empty world whose random choices follow from seed.
func NewWorld(seed uint64, timing spread.Timing) *World {
	w := &World{
		timing: timing, rng: rand.New(rand.NewPCG(seed, seed)),
		byName: map[string]*Node{}, waiting: map[*Node]waiter{},
		cutZones: map[contract.ZoneName]bool{}, cutLog: map[contract.ZoneName]bool{},
	}
	w.Log = NewLog(w.clock)
	return w
}

// Start adds a running node.
func (w *World) Start(name string, zone contract.ZoneName, tails bool) *Node {
	rng := rand.New(rand.NewPCG(w.rng.Uint64(), w.rng.Uint64()))
	n := &Node{Name: name, Zone: zone, world: w, heard: map[*Node]contract.Offset{}}
	n.Machine = spread.New(w.timing, rng, w.clock())
	if w.Prepare != nil {
		w.Prepare(n.Machine)
	}
	w.nodes = append(w.nodes, n)
	w.byName[name] = n
	n.deliver(spread.Tailing{On: tails})
	w.queue.After(w.upTo(tickInterval), n.tick)
	w.queue.After(w.upTo(heartbeatEvery), n.heartbeat)
	return n
}

// Link joins two nodes, which then send each other heartbeats.
func (w *World) Link(a, b *Node) {
	a.peers = append(a.peers, b)
	b.peers = append(b.peers, a)
}

// Nodes lists the nodes in the order of their start, dead ones left out.
func (w *World) Nodes() []*Node {
	var list []*Node
	for _, n := range w.nodes {
		if !n.dead {
			list = append(list, n)
		}
	}
	return list
}

// Node returns the node with a name, or nil.
func (w *World) Node(name string) *Node {
	return w.byName[name]
}

// Now returns the virtual time since the world's start.
func (w *World) Now() time.Duration {
	return w.queue.Now()
}

// clock is the virtual time of day.
func (w *World) clock() time.Time {
	return time.Unix(0, 0).UTC().Add(w.queue.Now())
}

// Cost returns the counts so far.
func (w *World) Cost() Cost {
	return w.cost
}

// CutZone cuts a zone off from the other zones, or heals it.
func (w *World) CutZone(zone contract.ZoneName, cut bool) {
	w.cutZones[zone] = cut
}

// CutLog cuts a zone off from the log, or heals it.
func (w *World) CutLog(zone contract.ZoneName, cut bool) {
	w.cutLog[zone] = cut
}

// Append adds a record to the log, as an operator's entry host would.
func (w *World) Append(data []byte) (contract.Offset, error) {
	offset, err := w.Log.Append(context.Background(), record.Stream, data)
	w.wakeWaiters()
	return offset, err
}

// Run lets virtual time pass.
func (w *World) Run(d time.Duration) {
	w.queue.RunFor(d)
}

func (w *World) upTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *World) reach(a, b *Node) bool {
	if a.dead || b.dead {
		return false
	}
	return a.Zone == b.Zone || !w.cutZones[a.Zone] && !w.cutZones[b.Zone]
}
