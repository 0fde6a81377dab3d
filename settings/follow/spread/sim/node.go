package sim

import (
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings/follow/spread"
)

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

func (n *Node) tick() {
	if n.dead {
		return
	}
	if !n.paused {
		n.deliver(spread.Tick{})
	}
	n.world.queue.After(tickInterval, n.tick)
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
