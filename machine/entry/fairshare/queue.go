package fairshare

import (
	"sort"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Item is a request that waits.
type Item struct {
	Request contract.RequestID
	Team    contract.TeamName
	// Weight is the team's share, above 0.
	Weight float64
	// Priority orders the items of a team; a greater value goes first.
	Priority int8
	// Tokens is the estimated cost.
	Tokens uint32

	order uint64
}

func (i Item) cost() float64 {
	return float64(max(i.Tokens, 1)) / i.Weight
}

// before reports whether i goes before other in the same team.
func (i Item) before(other Item) bool {
	if i.Priority != other.Priority {
		return i.Priority > other.Priority
	}
	return i.order < other.order
}

// team is the backlog of one team.
type team struct {
	name    contract.TeamName
	tag     float64
	backlog float64
	items   []Item
}

// Queue is the waiting room of one service.
type Queue struct {
	limit   int
	length  int
	virtual float64
	order   uint64
	teams   map[contract.TeamName]*team
	// active lists the teams with items, by name.
	active []*team
	meter  meter
	off    mechanism
}

// mechanism names a part of the queue that tests switch off.
type mechanism uint8

const (
	offFairness mechanism = 1 << iota
	offPushOut
)

// minWeight replaces weights that are not above 0.
const minWeight = 1e-3

// NewQueue returns an empty queue for at most limit items.
func NewQueue(limit int) *Queue {
	return &Queue{limit: limit, teams: map[contract.TeamName]*team{}}
}

// SetLimit changes the bound; items beyond it stay.
func (q *Queue) SetLimit(limit int) {
	q.limit = limit
}

// Len is the number of items.
func (q *Queue) Len() int {
	return q.length
}

// Push adds an item. If the queue was full, displaced is the item that had to
// go, which may be the pushed one.
func (q *Queue) Push(item Item) (displaced Item, full bool) {
	item.Weight = max(item.Weight, minWeight)
	q.order++
	item.order = q.order
	q.insert(item)
	if q.length <= q.limit {
		return Item{}, false
	}
	t := q.largest(item)
	displaced = t.items[len(t.items)-1]
	q.remove(t, len(t.items)-1)
	return displaced, true
}

// Return puts back an item that Pop gave and that could not be placed after
// all. It keeps its place, and its cost is given back.
func (q *Queue) Requeue(item Item) {
	q.insert(item)
	t := q.teams[item.Team]
	t.tag -= item.cost()
}

// Pop takes the next item that fits. Teams are asked in fair order, each for
// its first item only.
func (q *Queue) Pop(now time.Time, fits func(Item) bool) (Item, bool) {
	for _, t := range q.inOrder() {
		item := t.items[0]
		if !fits(item) {
			continue
		}
		q.remove(t, 0)
		q.virtual = max(q.virtual, t.tag)
		t.tag += item.cost()
		q.meter.add(now, float64(max(item.Tokens, 1)))
		return item, true
	}
	return Item{}, false
}

// Remove takes out one request and reports whether it was there.
func (q *Queue) Remove(name contract.TeamName, request contract.RequestID) bool {
	t, ok := q.teams[name]
	if !ok {
		return false
	}
	for i := range t.items {
		if t.items[i].Request == request {
			q.remove(t, i)
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
	sort.Slice(list, func(i, j int) bool { return list[i].order < list[j].order })
	return list
}

// Wait estimates how long a new item of a team would wait, from the tokens
// ahead of it and the rate at which the queue drained lately. It returns 0 for
// an empty queue and when nothing has drained yet.
func (q *Queue) EstimateWait(now time.Time, name contract.TeamName, weight float64) time.Duration {
	rate := q.meter.rate(now)
	if q.length == 0 || rate <= 0 {
		return 0
	}
	ahead := q.ahead(name, max(weight, minWeight))
	return time.Duration(ahead / rate * float64(time.Second))
}

// ahead is the number of tokens that are served before a new item of a team:
// its own backlog, and of each other team no more than its weight allows in
// the same time.
func (q *Queue) ahead(name contract.TeamName, weight float64) float64 {
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

func (q *Queue) insert(item Item) {
	t, ok := q.teams[item.Team]
	if !ok {
		t = &team{name: item.Team}
		q.teams[item.Team] = t
	}
	if len(t.items) == 0 {
		t.tag = max(t.tag, q.virtual)
		q.activate(t)
	}
	at := sort.Search(len(t.items), func(i int) bool { return item.before(t.items[i]) })
	t.items = append(t.items, Item{})
	copy(t.items[at+1:], t.items[at:])
	t.items[at] = item
	t.backlog += float64(max(item.Tokens, 1))
	q.length++
}
