package peers

import (
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// lead is what peers have told of a topic: the highest offset, who told it, and since
// when the process lacks it.
type lead struct {
	peers  []contract.MachineID
	newest int64
	since  time.Time
}

func newLead() lead { return lead{newest: -1} }

// tell takes in an offset that a peer knows; held is the one that the process knows. It
// reports whether that is news. A process that lags already goes on lagging: news that
// come faster than it waits must not put off its catching up.
func (l *lead) tell(now time.Time, peer contract.MachineID, newest, held int64) bool {
	switch {
	case newest < 0, newest < l.newest:
		return false
	case newest == l.newest:
		if !slices.Contains(l.peers, peer) {
			l.peers = append(l.peers, peer)
		}
		return false
	}
	if l.newest <= held {
		l.since = now
	}
	l.peers, l.newest = []contract.MachineID{peer}, newest
	return true
}

// ahead reports whether a peer knows more than held.
func (l *lead) ahead(held int64) bool { return l.newest > held && len(l.peers) > 0 }

// ripe reports whether peers have been ahead for head.
func (l *lead) ripe(now time.Time, head time.Duration) bool { return now.Sub(l.since) >= head }

// any is one of the peers that are ahead, drawn at random: those who lag are not all to
// ask the first one that told.
func (l *lead) any() contract.MachineID { return l.peers[rand.IntN(len(l.peers))] }

// drop forgets a peer that could not be asked.
func (l *lead) drop(peer contract.MachineID) {
	l.peers = slices.DeleteFunc(l.peers, func(id contract.MachineID) bool { return id == peer })
	if len(l.peers) == 0 {
		l.newest = -1
	}
}
