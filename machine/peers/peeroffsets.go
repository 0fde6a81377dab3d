package peers

import (
	"math/rand/v2"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// maxOffsetReports bounds the reports of newer offsets that are remembered with their time.
const maxOffsetReports = 32

// peerOffsets holds what peers have reported about a topic: the highest offset, the peers
// that reported it, and since when offsets above the one held have been reported.
type peerOffsets struct {
	peers        []contract.MachineID
	newestOffset int64
	// reports lists the offsets that were a new highest one, in ascending order, with the time of
	// the first report.
	reports []offsetReport
}

// offsetReport is the first report of an offset.
type offsetReport struct {
	offset int64
	at     time.Time
}

func newPeerOffsets() peerOffsets { return peerOffsets{newestOffset: -1} }

// observe records the newest offset of a peer; held is the offset that the process holds.
// It returns whether newest is a new highest offset.
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
	o.forgetReports(held)
	o.addReport(offsetReport{offset: newest, at: now})
	o.peers, o.newestOffset = []contract.MachineID{peer}, newest
	return true
}

// addReport remembers a report. Of too many the last one keeps its time, which is the earlier one.
func (o *peerOffsets) addReport(r offsetReport) {
	switch n := len(o.reports); {
	case n > 0 && o.reports[n-1].offset >= r.offset:
	case n < maxOffsetReports:
		o.reports = append(o.reports, r)
	default:
		o.reports[n-1].offset = r.offset
	}
}

// forgetReports removes the reports of offsets up to held.
func (o *peerOffsets) forgetReports(held int64) {
	o.reports = slices.DeleteFunc(o.reports, func(r offsetReport) bool { return r.offset <= held })
}

// isAhead reports whether a peer holds records above the offset held.
func (o *peerOffsets) isAhead(held int64) bool { return o.newestOffset > held && len(o.peers) > 0 }

// since returns when an offset above the one held was first reported. Later reports do not change
// it: those that arrive at shorter intervals than the grace period would postpone catching up for
// as long as they arrive. An offset that the process receives does: with the time at which it
// first fell behind, all processes of a zone would be due at once for each further record.
func (o *peerOffsets) since(held int64) time.Time {
	for _, r := range o.reports {
		if r.offset > held {
			return r.at
		}
	}
	return time.Time{}
}

// untilDue returns the time until the process, which holds the topic up to an offset, has been
// behind for d; 0 or less if it has.
func (o *peerOffsets) untilDue(now time.Time, held int64, d time.Duration) time.Duration {
	return d - now.Sub(o.since(held))
}

// randomPeer returns a random one of the peers that reported the highest offset:
// otherwise all processes that are behind would pull from the peer that reported it
// first.
func (o *peerOffsets) randomPeer() contract.MachineID { return o.peers[rand.IntN(len(o.peers))] }

// removePeer removes a peer that did not answer. Without any peer left, what was reported is
// forgotten.
func (o *peerOffsets) removePeer(peer contract.MachineID) {
	o.peers = slices.DeleteFunc(o.peers, func(id contract.MachineID) bool { return id == peer })
	if len(o.peers) == 0 {
		o.newestOffset, o.reports = -1, nil
	}
}
