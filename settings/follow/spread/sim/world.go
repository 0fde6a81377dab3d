package sim

import (
	"context"
	"math/rand/v2"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
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

// waiter is a long poll of the log; id tells it from other polls of the same node.
type waiter struct {
	after contract.Offset
	id    uint64
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

// Node is one process.
type Node struct {
	Name    string
	Zone    contract.ZoneName
	Machine *spread.Machine
	// Applied is when the node's offset last changed.
	Applied time.Time

	world  *World
	peers  []*Node
	heard  map[*Node]contract.Offset
	paused bool
	dead   bool
	cutLog bool
	inbox  []spread.Event
	asked  int
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

// CutLog cuts this node off from the log, or heals it.
func (n *Node) CutLog(cut bool) {
	n.cutLog = cut
}

// logCut reports whether the node cannot reach the log.
func (n *Node) logCut() bool {
	return n.cutLog || n.world.cutLog[n.Zone]
}

// Pause freezes or wakes a node. What arrives meanwhile is delivered at the end.
func (n *Node) Pause(paused bool) {
	n.paused = paused
	if paused {
		return
	}
	inbox := n.inbox
	n.inbox = nil
	for _, ev := range inbox {
		n.deliver(ev)
	}
}

// Kill removes a node for good.
func (n *Node) Kill() {
	n.dead = true
}

// Append adds a record to the log, as an operator's entry host would.
func (w *World) Append(data []byte) (contract.Offset, error) {
	offset, err := w.Log.Append(context.Background(), record.Stream, data)
	w.wakeWaiters()
	return offset, err
}

// Run lets virtual time pass.
func (w *World) Run(d time.Duration) {
	w.queue.Run(d)
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

func (n *Node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.deliver(spread.Tick{})
	}
	n.world.queue.After(tickInterval, n.tick)
}

// heartbeat tells all peers the node's offset.
func (n *Node) heartbeat() {
	if n.dead {
		return
	}
	if !n.paused {
		for _, peer := range n.peers {
			n.beat(peer)
		}
	}
	n.world.queue.After(heartbeatEvery, n.heartbeat)
}

func (n *Node) beat(peer *Node) {
	if !n.world.reach(n, peer) {
		return
	}
	offset := n.Machine.State().Offset()
	n.world.cost.Heartbeats++
	n.world.queue.After(linkDelay, func() {
		peer.heard[n] = offset
		peer.deliver(spread.PeerOffset{Offset: offset})
	})
}

// Deliver hands the node's machine an event from outside the world.
func (n *Node) Deliver(ev spread.Event) {
	n.deliver(ev)
}

func (n *Node) deliver(ev spread.Event) {
	switch {
	case n.dead:
		return
	case n.paused:
		n.inbox = append(n.inbox, ev)
		return
	}
	w := n.world
	w.cost.Steps++
	before := n.Machine.State().Offset()
	effects := n.Machine.Step(w.clock(), ev)
	if n.Machine.State().Offset() != before {
		n.Applied = w.clock()
	}
	for _, e := range effects {
		if w.Trace != nil {
			w.Trace(n, e)
		}
		n.run(e)
	}
}

func (n *Node) run(e spread.Effect) {
	w := n.world
	switch e := e.(type) {
	case spread.ReadLog:
		w.queue.After(logDelay+w.LogDelay, func() { n.readLog(e) })
	case spread.ProbeLog:
		w.queue.After(logDelay+w.LogDelay, func() { n.probe(e.After) })
	case spread.PullPeer:
		w.queue.After(linkDelay, func() { n.pull(e.After) })
	case spread.AppendCheckpoint:
		w.queue.After(logDelay+w.LogDelay, func() { n.append(e.Data) })
	}
}

func (n *Node) append(data []byte) {
	if !n.logCut() {
		_, _ = n.world.Append(data)
	}
	n.deliver(spread.Appended{})
}

func (n *Node) probe(after contract.Offset) {
	batch, err := n.world.poll(after)
	if err != nil || n.logCut() {
		n.deliver(spread.ProbeFailed{})
		return
	}
	n.deliver(spread.ExtraRead{Batch: batch, Probe: true})
}

// readLog runs a long poll.
func (n *Node) readLog(e spread.ReadLog) {
	w := n.world
	if n.logCut() {
		w.queue.After(callTimeout, func() { n.deliver(spread.LogFailed{}) })
		return
	}
	batch, err := w.poll(e.After)
	if err != nil {
		n.deliver(spread.LogFailed{Trimmed: err == durable.ErrTrimmed})
		return
	}
	if len(batch.Records) > 0 || e.Wait == 0 {
		n.deliver(spread.LogRead{After: e.After, Batch: batch})
		return
	}
	w.polls++
	id := w.polls
	w.waiting[n] = waiter{after: e.After, id: id}
	w.queue.After(e.Wait, func() {
		if w.waiting[n].id == id {
			w.finish(n)
		}
	})
}

func (w *World) poll(after contract.Offset) (durable.Batch, error) {
	batch, _, err := w.Log.read(after)
	return batch, err
}

// finish answers a waiting long poll.
func (w *World) finish(n *Node) {
	after := w.waiting[n].after
	delete(w.waiting, n)
	batch, err := w.poll(after)
	if err != nil || n.logCut() {
		n.deliver(spread.LogFailed{Trimmed: err == durable.ErrTrimmed})
		return
	}
	n.deliver(spread.LogRead{After: after, Batch: batch})
}

// wakeWaiters answers all long polls, in the order of the nodes' start.
func (w *World) wakeWaiters() {
	for _, n := range w.nodes {
		if _, ok := w.waiting[n]; ok {
			w.queue.After(logDelay+w.LogDelay, func() {
				if _, still := w.waiting[n]; still {
					w.finish(n)
				}
			})
		}
	}
}

// pull asks the reachable peer that told the highest offset; peers that told the
// same are asked in turn.
func (n *Node) pull(after contract.Offset) {
	w := n.world
	peer := n.choosePeer()
	if peer == nil || peer.paused {
		w.queue.After(pullTimeout, func() { n.deliver(spread.PullFailed{}) })
		return
	}
	w.cost.Pulls++
	reply := peer.Machine.Serve(contract.SettingsPull{After: after})
	w.cost.PullBytes += replyBytes(reply)
	w.queue.After(2*linkDelay, func() { n.deliver(spread.PeerAnswer{Records: reply}) })
}

func (n *Node) choosePeer() *Node {
	n.asked++
	var best *Node
	for i := range n.peers {
		p := n.peers[(i+n.asked)%len(n.peers)]
		if n.world.reach(n, p) && (best == nil || n.heard[p] > n.heard[best]) {
			best = p
		}
	}
	return best
}

func replyBytes(r contract.SettingsRecords) int {
	const frame = 24
	size := frame + len(r.Checkpoint)
	for _, data := range r.Records {
		size += len(data) + 3
	}
	return size
}
