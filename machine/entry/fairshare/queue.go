package fairshare

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ratemeter"
)

// Item is a queued request.
type Item struct {
	Request contract.RequestID
	Team    contract.TeamName
	// Weight is the team's weight, above 0.
	Weight float64
	// Priority orders the items of a team; a greater value is served first.
	Priority int8
	// Tokens is the estimated cost.
	Tokens uint32

	// arrivalSeq is the item's place in the order of arrival.
	arrivalSeq uint64
}

// cost returns the tokens divided by the weight, the item's cost in virtual time.
func (i Item) cost() float64 {
	return float64(max(i.Tokens, 1)) / i.Weight
}

// precedes reports whether i is served before other, an item of the same team.
func (i Item) precedes(other Item) bool {
	if i.Priority != other.Priority {
		return i.Priority > other.Priority
	}
	return i.arrivalSeq < other.arrivalSeq
}

// team holds the queued items of one team.
type team struct {
	name contract.TeamName
	// startTag is the virtual time at which the team is served next.
	startTag float64
	// backlog is the number of tokens of the items.
	backlog float64
	// items are in the order in which they are served.
	items []Item
}

// Queue holds the queued requests of one service.
type Queue struct {
	limit  int
	length int
	// virtualTime is the highest start tag at which an item was served.
	virtualTime    float64
	lastArrivalSeq uint64
	// teams also holds teams without items whose start tag is above virtualTime. active lists
	// the teams with items, by name.
	teams    map[contract.TeamName]*team
	active   []*team
	meter    ratemeter.Meter
	disabled mechanism
}

// mechanism is a set of parts of the queue that tests disable.
type mechanism uint8

const (
	disableFairness mechanism = 1 << iota
	disablePushOut
)

// minWeight replaces lower weights, such as 0, by which costs could not be divided.
const minWeight = 1e-3

// NewQueue returns an empty queue for at most limit items.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, teams: map[contract.TeamName]*team{}}
}

// SetLimit changes the limit. Items already queued beyond a lower limit stay.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Len returns the number of items.
func (q *Queue) Len() int {
	return q.length
}

// Push adds an item. If the queue was full, displaced is the item that was removed to make
// room, which may be the pushed one.
func (q *Queue) Push(item Item) (displaced Item, full bool) {
	item.Weight = max(item.Weight, minWeight)
	q.lastArrivalSeq++
	item.arrivalSeq = q.lastArrivalSeq
	q.insert(item)
	if q.length <= q.limit {
		return Item{}, false
	}
	t := q.largestBacklog(item)
	displaced = t.items[len(t.items)-1]
	q.removeItem(t, len(t.items)-1)
	return displaced, true
}

// Requeue puts back an item that Pop returned and that could not be placed at a target. The
// item keeps its place in the order of arrival, and its cost is refunded to the team.
func (q *Queue) Requeue(item Item) {
	q.insert(item)
	t := q.teams[item.Team]
	t.startTag -= item.cost()
}

// Pop removes and returns the next item that fits. It considers the teams in fair order, and
// only the first item of each.
func (q *Queue) Pop(now time.Time, fits func(Item) bool) (Item, bool) {
	for _, t := range q.servingOrder() {
		item := t.items[0]
		if !fits(item) {
			continue
		}
		q.removeItem(t, 0)
		q.virtualTime = max(q.virtualTime, t.startTag)
		t.startTag += item.cost()
		q.meter.Add(now, float64(max(item.Tokens, 1)))
		return item, true
	}
	return Item{}, false
}

// Remove removes a request of a team and reports whether it was queued.
func (q *Queue) Remove(name contract.TeamName, request contract.RequestID) bool {
	t, ok := q.teams[name]
	if !ok {
		return false
	}
	for i := range t.items {
		if t.items[i].Request == request {
			q.removeItem(t, i)
			return true
		}
	}
	return false
}

// Items lists the items in order of arrival.
func (q *Queue) Items() []Item {
	list := make([]Item, 0, q.length)
	for _, t := range q.active {
		list = append(list, t.items...)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].arrivalSeq < list[j].arrivalSeq })
	return list
}

// EstimateWait estimates how long a new item of a team would wait, from the tokens ahead of
// it and the recent rate at which the queue drained. It returns 0 if the queue is empty or
// has not drained yet.
func (q *Queue) EstimateWait(now time.Time, name contract.TeamName, weight float64) time.Duration {
	rate := q.meter.Rate(now)
	if q.length == 0 || rate <= 0 {
		return 0
	}
	ahead := q.tokensAhead(name, max(weight, minWeight))
	return time.Duration(ahead / rate * float64(time.Second))
}

// tokensAhead returns the number of tokens that are served before a new item of a team: the
// team's own backlog and, of each other team, at most what its weight allows in the same
// time.
func (q *Queue) tokensAhead(name contract.TeamName, weight float64) float64 {
	own := 0.0
	if t, ok := q.teams[name]; ok {
		own = t.backlog
	}
	span := (own + 1) / weight
	total := own
	for _, t := range q.active {
		if t.name != name {
			total += min(t.backlog, span*t.items[0].Weight)
		}
	}
	return total
}

// insert adds an item at its place among the items of its team.
func (q *Queue) insert(item Item) {
	t, ok := q.teams[item.Team]
	if !ok {
		t = &team{name: item.Team}
		q.teams[item.Team] = t
	}
	if len(t.items) == 0 {
		t.startTag = max(t.startTag, q.virtualTime)
		q.activate(t)
	}
	at := sort.Search(len(t.items), func(i int) bool { return item.precedes(t.items[i]) })
	t.items = append(t.items, Item{})
	copy(t.items[at+1:], t.items[at:])
	t.items[at] = item
	t.backlog += float64(max(item.Tokens, 1))
	q.length++
}
