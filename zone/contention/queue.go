package contention

import (
	"cmp"
	"math"
	"slices"
	"time"

	"mimosastand.example/mimosastand/contract"
)

const (
	// maxClasses bounds the classes of requests that one dispatch tries to place: each costs a look
	// at all targets.
	maxClasses = 8
	// meanSlotWait is the expected time until the next slot becomes free, in mean times between
	// two. With a whole one, requests were refused that would have been served in time.
	meanSlotWait = 0.5
	// admissionTolerance is by which factor the predicted start of a request may exceed the time
	// in which it must start. Slots become free at random: about two in five of those admitted at
	// the limit start in time, and with a factor of 1, slots went to late requests.
	admissionTolerance = 2
	// spareInterval is the longest mean time between two own slots becoming free at which a request
	// that must start within a typical objective hardly ever misses them.
	spareInterval = 90 * time.Millisecond
	// maxLateSpare is how many own slots late requests leave free at most.
	maxLateSpare = 2
)

// Request describes a request to the queue.
type Request struct {
	// Rank is the request's priority; 0 is the most urgent.
	Rank int
	Team contract.TeamName
	// Class names the requests that may be sent to the same targets: if one finds no room, the
	// others do not either.
	Class string
	// StartBy is the latest time at which the request may start.
	StartBy time.Time
	// Late is set if the request can no longer be in time, since its caller was refused before.
	Late bool
	// Resent is set if the request was sent before. It is never refused for its predicted start.
	Resent bool
}

// Waiting is a request in a queue.
type Waiting[T any] struct {
	Request
	// Value is what the owner of the queue keeps with the request.
	Value T

	seq uint64
}

// Outcome is the result of trying to place a waiting request.
type Outcome uint8

const (
	// NoRoom means that the request goes on waiting.
	NoRoom Outcome = iota
	// Started means that the request was placed.
	Started
	// Ended means that the request no longer waits, for example because no target may serve it.
	Ended
)

// Verdict is what becomes of a request that arrives.
type Verdict uint8

const (
	// Placed means that the request was placed at once.
	Placed Verdict = iota
	// Queued means that the request waits.
	Queued
	// Refused means that the request would start too late.
	Refused
	// Dropped means that the request could not be placed, and waiting is of no use.
	Dropped
)

// Queue holds the waiting requests of one service. The zero Queue is empty and ready to use.
type Queue[T any] struct {
	waiting []*Waiting[T]
	lastSeq uint64
	shares  shares
	// disabled holds the mechanisms that tests take out.
	disabled mechanism
}

// mechanism is a set of parts of the queue that tests disable.
type mechanism uint8

const (
	disableRanks mechanism = 1 << iota
	disableAdmission
	disableDisplacement
	disableLateShare
	disableMinimumShare
	disableTeamShares
	disableSpare
)

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// RecordEnd counts the end of an attempt of the service, which frees a slot.
func (q *Queue[T]) RecordEnd(now time.Time) { q.shares.ends.Add(now, 1) }

// Arrive decides on a request that arrives. If no other precedes it, place is called to place it. If it
// finds no room, it waits if it is predicted to start in time. spare is how many of the entry's own slots
// must stay free then. slotRate returns the rate, in a second, at
// which slots become free for this entry if all are in use. displaced lists the less urgent requests that
// no longer wait because they can no longer start in time.
func (q *Queue[T]) Arrive(now time.Time, r Request, value T, slotRate func() float64, place func(w *Waiting[T], spare int) Outcome) (w *Waiting[T], verdict Verdict, displaced []*Waiting[T]) {
	q.shares.recordArrival(now, r)
	q.lastSeq++
	w = &Waiting[T]{Request: r, Value: value, seq: q.lastSeq}
	rate := slotRate()
	if q.next(now, nil, w) == w {
		switch place(w, q.spareFor(now, w, rate)) {
		case Started:
			q.shares.recordStart(now, r, q.lateWaits())
			return w, Placed, nil
		case Ended:
			return w, Dropped, nil
		}
	}
	predicted := q.delayAt(now, r, float64(q.place(now, w))+meanSlotWait, rate)
	if !r.Resent && predicted > admissionTolerance*r.StartBy.Sub(now) && q.disabled&disableAdmission == 0 {
		return w, Refused, nil
	}
	q.waiting = append(q.waiting, w)
	return w, Queued, q.displace(now, w, rate)
}

// displace removes the requests less urgent than added that can no longer start in time.
func (q *Queue[T]) displace(now time.Time, added *Waiting[T], slotRate float64) (displaced []*Waiting[T]) {
	if q.disabled&disableDisplacement != 0 {
		return nil
	}
	place := 0
	for _, w := range q.order(now) {
		// The places ahead are those of requests that stay. A request at place n starts when n slots
		// have become free, or soon after.
		isLessUrgent := w.Rank > added.Rank && !w.Resent && w.Late == added.Late
		if isLessUrgent && q.delayAt(now, w.Request, float64(place), slotRate) > w.StartBy.Sub(now) {
			displaced = append(displaced, w)
			continue
		}
		if w.Late == added.Late {
			place++
		}
	}
	for _, w := range displaced {
		q.Remove(w)
	}
	return displaced
}

// Remove removes a request and reports whether it was waiting.
func (q *Queue[T]) Remove(w *Waiting[T]) bool {
	i := slices.Index(q.waiting, w)
	if i < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, i, i+1)
	return true
}

// Dispatch tries to place the waiting requests in order, until maxClasses classes have found no
// room. slotRate and place are those of Arrive.
func (q *Queue[T]) Dispatch(now time.Time, slotRate func() float64, place func(w *Waiting[T], spare int) Outcome) {
	var full []string
	rate := slotRate()
	for len(full) < maxClasses {
		next := q.next(now, full, nil)
		if next == nil {
			return
		}
		switch place(next, q.spareFor(now, next, rate)) {
		case NoRoom:
			full = append(full, next.Class)
		case Started:
			q.Remove(next)
			q.shares.recordStart(now, next.Request, next.Late || q.lateWaits())
		case Ended:
			q.Remove(next)
		}
	}
}

// next returns the first request in order whose class is not full; nil if there is none. arriving is
// considered as well if it is not nil.
func (q *Queue[T]) next(now time.Time, full []string, arriving *Waiting[T]) (first *Waiting[T]) {
	var firstKey key
	if arriving != nil {
		first, firstKey = arriving, q.keyOf(now, arriving.Request, arriving.seq)
	}
	for _, w := range q.waiting {
		if slices.Contains(full, w.Class) {
			continue
		}
		if k := q.keyOf(now, w.Request, w.seq); first == nil || k.compare(firstKey) < 0 {
			first, firstKey = w, k
		}
	}
	return first
}

// spareFor returns how many of the entry's own slots must stay free when a request is placed. A late
// request, and under overload one of the least urgent rank, leaves some for more urgent requests that
// arrive soon, if slots become free rarely: otherwise those would not start in time.
func (q *Queue[T]) spareFor(now time.Time, w *Waiting[T], slotRate float64) int {
	perInterval := slotRate * spareInterval.Seconds()
	switch {
	case w.Resent || perInterval >= 1 || q.disabled&disableSpare != 0:
		return 0
	case w.Late && !q.shares.isLateTurn():
		return int(min(math.Ceil(1/perInterval), maxLateSpare))
	case !w.Late && q.shares.isLeastUrgent(now, w.Rank, slotRate) && !q.isBelowMinimum(now, w.Request):
		return 1
	default:
		return 0
	}
}

// PredictWait predicts how long a request waits for a slot that comes back later as a late one.
func (q *Queue[T]) PredictWait(now time.Time, r Request, slotRate float64) time.Duration {
	r.Late, r.Resent = true, false
	return q.delayAt(now, r, float64(q.place(now, &Waiting[T]{Request: r, seq: q.lastSeq + 1}))+meanSlotWait, slotRate)
}

// LateRate returns the rate, in a second, at which late requests can be served.
func (q *Queue[T]) LateRate(now time.Time, slotRate float64) float64 {
	rate := q.shares.freeRate(now, slotRate)
	return max(rate-q.shares.inTimeRate(now), rate/lateDivisor)
}

// delayAt predicts the time until a request starts before which n slots must become free for it or for
// those that precede it. More urgent requests that arrive meanwhile take some of them.
func (q *Queue[T]) delayAt(now time.Time, r Request, n float64, slotRate float64) time.Duration {
	rate := q.shares.freeRate(now, slotRate)
	if r.Late {
		rate = q.LateRate(now, slotRate)
	} else if !q.isBelowMinimum(now, r) {
		rate -= min(q.shares.urgentRate(now, r.Rank), rate*(1-minimumShare))
	}
	if rate*maxPredictedDelay.Seconds() <= n {
		return maxPredictedDelay
	}
	return time.Duration(n / rate * float64(time.Second))
}

// maxPredictedDelay bounds predicted delays; it is longer than any caller waits.
const maxPredictedDelay = time.Minute

// place returns how many waiting requests precede one that arrives. Those in time do not count for a
// late one, which gets its own share of the slots.
func (q *Queue[T]) place(now time.Time, arriving *Waiting[T]) int {
	k := q.keyOf(now, arriving.Request, arriving.seq)
	n := 0
	for _, w := range q.waiting {
		if w.Late == arriving.Late && q.keyOf(now, w.Request, w.seq).compare(k) < 0 {
			n++
		}
	}
	return n
}

func (q *Queue[T]) lateWaits() bool {
	return slices.ContainsFunc(q.waiting, func(w *Waiting[T]) bool { return w.Late })
}

// order returns the waiting requests in order.
func (q *Queue[T]) order(now time.Time) []*Waiting[T] {
	list := slices.Clone(q.waiting)
	slices.SortFunc(list, func(a, b *Waiting[T]) int {
		return q.keyOf(now, a.Request, a.seq).compare(q.keyOf(now, b.Request, b.seq))
	})
	return list
}

// group is the part of the order that a request belongs to.
type group uint8

const (
	groupResent group = iota
	groupLateTurn
	groupBelowMinimum
	groupInTime
	groupLate
)

// key is the place of a request in the order.
type key struct {
	group     group
	rank      int
	teamShare float64
	seq       uint64
}

func (k key) compare(other key) int {
	return cmp.Or(cmp.Compare(k.group, other.group), cmp.Compare(k.rank, other.rank),
		cmp.Compare(k.teamShare, other.teamShare), cmp.Compare(k.seq, other.seq))
}

func (q *Queue[T]) keyOf(now time.Time, r Request, seq uint64) key {
	k := key{group: groupInTime, rank: r.Rank, seq: seq}
	if q.disabled&disableRanks != 0 {
		k.rank = 0
	}
	switch {
	case r.Resent:
		k.group = groupResent
	case r.Late && q.shares.isLateTurn() && q.disabled&disableLateShare == 0:
		k.group = groupLateTurn
	case r.Late:
		k.group = groupLate
	case q.isBelowMinimum(now, r):
		k.group = groupBelowMinimum
	}
	if r.Late && q.isBelowMinimum(now, r) {
		k.rank = -1
	}
	if q.disabled&disableTeamShares == 0 {
		k.teamShare = q.shares.ofTeam(now, r.Team)
	}
	return k
}

func (q *Queue[T]) isBelowMinimum(now time.Time, r Request) bool {
	return q.disabled&disableMinimumShare == 0 && q.shares.isBelowMinimum(now, r)
}
