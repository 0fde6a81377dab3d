package sim

import (
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings/follow/spread"
)

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
