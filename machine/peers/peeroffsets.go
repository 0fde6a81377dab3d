package peers

import (
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// peerOffsets holds what peers have reported about a topic: the highest offset, the peers
// that reported it, and since when the process has been behind.
type peerOffsets struct {
	peers        []contract.MachineID
	newestOffset int64
	since        time.Time
}

func newPeerOffsets() peerOffsets { return peerOffsets{newestOffset: -1} }

// observe records the newest offset of a peer; held is the offset that the process holds.
// It returns whether newest is a new highest offset. since keeps its value while the
// process is behind: otherwise reports that arrive at shorter intervals than the grace
// period would postpone catching up for as long as they arrive.
func (o *peerOffsets) observe(now time.Time, peer contract.MachineID, newest, held int64) bool {
	switch {
	case newest < 0, newest < o.newestOffset:
		return false
	case newest == o.newestOffset:
		if !slices.Contains(o.peers, peer) {
			o.peers = append(o.peers, peer)
		}
		return false
	}
	if o.newestOffset <= held {
		o.since = now
	}
	o.peers, o.newestOffset = []contract.MachineID{peer}, newest
	return true
}

// isAhead reports whether a peer holds records above the offset held.
func (o *peerOffsets) isAhead(held int64) bool { return o.newestOffset > held && len(o.peers) > 0 }

// isDue reports whether the process has been behind for at least d.
func (o *peerOffsets) isDue(now time.Time, d time.Duration) bool { return now.Sub(o.since) >= d }

// randomPeer returns a random one of the peers that reported the highest offset:
// otherwise all processes that are behind would pull from the peer that reported it
// first.
func (o *peerOffsets) randomPeer() contract.MachineID { return o.peers[rand.IntN(len(o.peers))] }

// removePeer removes a peer that did not answer. Without any peer left, the highest
// offset is forgotten.
func (o *peerOffsets) removePeer(peer contract.MachineID) {
	o.peers = slices.DeleteFunc(o.peers, func(id contract.MachineID) bool { return id == peer })
	if len(o.peers) == 0 {
		o.newestOffset = -1
	}
}
