package placement

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ratelimit"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	// minRateWindow and maxRateWindow bound the span in which the requests to a target that
	// limits its rate are counted, if the rate allows one in it. A longer span gives more
	// entries a share, and a shorter one spreads the requests more evenly.
	minRateWindow = time.Second
	maxRateWindow = 4 * time.Second
	// maxQueryInterval bounds the time between two requests to a target whose limit allows
	// fewer: without any request no entry would learn that the limit was lifted.
	maxQueryInterval = 10 * time.Second
	// roundingSlack keeps the product of a rate and a span from losing a whole request to
	// rounding.
	roundingSlack = 1e-9
)

// EntryShares describes how the entries divide a bound on what all of them together send to
// a target.
type EntryShares struct {
	// Self is this entry. Entries lists the known entries and is empty while none is
	// known.
	Self    contract.MachineID
	Entries []contract.MachineID
	// Zones holds the zone of each entry. The entries of a target's zone come first in its
	// order, since most of the requests that it gets arrive there.
	Zones map[contract.MachineID]contract.ZoneName
	// ShareCount is the number of shares that a bound is divided into: one for each entry,
	// and a spare one for an entry that has just joined and is not yet known to the others.
	ShareCount int
	// StartedAt is when this process started. What the previous process of this entry
	// sent just before is unknown.
	StartedAt time.Time
	// targetZone is the zone of the target; empty if it does not matter.
	targetZone contract.ZoneName
}

// near returns the shares of a target in a zone.
func (s EntryShares) near(zone contract.ZoneName) EntryShares {
	s.targetZone = zone
	return s
}

// ShareOf returns how many of the total requests that a target may get within any span of
// the window's length this entry may send. The shares of all entries that know the same
// entries, together with that of one further entry that they do not know, do not exceed
// total, if total is at least 2. The share is 0 during the first window of the process and
// while no entry is known.
func (s EntryShares) ShareOf(total int, window time.Duration, now time.Time, target roster.TargetID) int {
	switch {
	case len(s.Entries) == 0 || now.Sub(s.StartedAt) <= window:
		return 0
	case total >= s.ShareCount:
		return total / max(s.ShareCount, 1)
	case s.rankFor(target) < senderCount(total):
		return 1
	default:
		return 0
	}
}

// IsTurn reports whether it is this entry's turn to do something that only one entry at a
// time should do, which has been due for the time elapsed. key identifies the matter. The
// entries take turns of one window each in the order of rendezvous hashing; between two
// turns is a break in which the next entry learns what the last one has done.
func (s EntryShares) IsTurn(key uint64, elapsed time.Duration) bool {
	const window = time.Second
	const heartbeatBreak = window / 2
	if elapsed < 0 || elapsed%window >= window-heartbeatBreak {
		return false
	}
	matter := roster.TargetID(strconv.FormatUint(key, 16))
	turns := turnOrder{place: s.rankFor(matter), count: len(s.Entries), window: window}
	return turns.isNow(elapsed, window*time.Duration(turns.count))
}

// senderCount returns how many entries may send to a target that cannot serve one request
// of each. One request is reserved for an unknown entry, unless there is only one.
func senderCount(total int) int { return max(total-1, 1) }

// rankFor returns how many entries precede this one at a target: the entries of the target's zone
// first, in the order of rendezvous hashing, then the others. Entries that know the same entries
// agree on this order.
func (s EntryShares) rankFor(target roster.TargetID) int {
	ownNear, ownWeight := s.isNear(s.Self), rendezvousWeight(target, s.Self)
	before := 0
	for _, e := range s.Entries {
		if near := s.isNear(e); near != ownNear {
			if near {
				before++
			}
			continue
		}
		weight := rendezvousWeight(target, e)
		if weight > ownWeight || weight == ownWeight && e < s.Self {
			before++
		}
	}
	return before
}

func (s EntryShares) isNear(entry contract.MachineID) bool {
	return s.targetZone != "" && s.Zones[entry] == s.targetZone
}

func rendezvousWeight(target roster.TargetID, entry contract.MachineID) uint64 {
	return xxhash.Sum64String(string(target) + "/" + string(entry))
}

// sendShare is what an entry may send to a target: so many requests within any span of the
// window's length.
type sendShare struct {
	requests int
	window   time.Duration
}

// shareOfRate returns this entry's share of the rate to which a target limits all entries.
// lastSent is when this entry last sent there. If the rate is too low for one request of
// each entry within maxRateWindow, only some entries have a share; the others take turns
// while no entry gets an answer, since the entries with a share may be gone or idle.
func (s EntryShares) shareOfRate(limit ratelimit.Limit, now time.Time, target roster.TargetID, lastSent time.Time) sendShare {
	total, window := s.divideRate(limit.PerSecond)
	share := sendShare{s.ShareOf(total, window, now, target), window}
	if share.requests > 0 || now.Sub(s.StartedAt) <= window {
		return share
	}
	senders := senderCount(total)
	turns := turnOrder{place: s.rankFor(target) - senders, count: len(s.Entries) - senders, window: window}
	if turns.isNow(now.Sub(limit.ObservedAt), now.Sub(lastSent)) {
		share.requests = 1
	}
	return share
}

// divideRate returns how many requests a rate allows all entries within a window, and the
// window. It is the shortest in which all shares are the same whole number of requests; if it
// would exceed maxRateWindow, it is maxRateWindow, or the time of one request if that is
// longer.
func (s EntryShares) divideRate(perSecond float64) (total int, window time.Duration) {
	forOneRequest := timePerRequest(perSecond)
	forEachEntry := forOneRequest * time.Duration(s.ShareCount)
	if forEachEntry <= maxRateWindow {
		each := (minRateWindow + forEachEntry - 1) / forEachEntry
		return int(each) * s.ShareCount, each * forEachEntry
	}
	window = max(maxRateWindow, forOneRequest)
	return max(int(perSecond*window.Seconds()+roundingSlack), 1), window
}

// timePerRequest returns the time in which a rate allows one request, maxQueryInterval at
// most.
func timePerRequest(perSecond float64) time.Duration {
	if perSecond*maxQueryInterval.Seconds() <= 1 {
		return maxQueryInterval
	}
	return time.Duration(float64(time.Second) / perSecond)
}

// turnOrder is the order in which count entries without a share send to a target, one in
// each window. place is this entry's, from 0.
type turnOrder struct {
	place, count int
	window       time.Duration
}

// isNow reports whether it is this entry's turn, when the last answer of the target that
// any entry reported and the last request of this entry are so old. All entries know about
// the same age of the answer, so that their turns follow each other. An entry that is cut
// off from the others knows the age of its own answers only, and waits for a round.
func (o turnOrder) isNow(answerAge, requestAge time.Duration) bool {
	const skippedWindows = 2
	turn := int(answerAge/o.window) - skippedWindows
	if o.count < 1 || turn < 0 || requestAge < o.window*time.Duration(o.count) {
		return false
	}
	return turn%o.count == o.place
}
