package fairshare

import "sort"

// remove takes the item at index i out of a team.
func (q *Queue) remove(t *team, i int) {
	t.backlog -= float64(max(t.items[i].Tokens, 1))
	t.items = append(t.items[:i], t.items[i+1:]...)
	q.length--
	if len(t.items) == 0 {
		q.deactivate(t)
	}
}

func (q *Queue) activate(t *team) {
	at := sort.Search(len(q.active), func(i int) bool { return q.active[i].name >= t.name })
	q.active = append(q.active, nil)
	copy(q.active[at+1:], q.active[at:])
	q.active[at] = t
}

// deactivate forgets a team without items, unless it still owes virtual time.
func (q *Queue) deactivate(t *team) {
	t.backlog = 0
	for i := range q.active {
		if q.active[i] == t {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
	for name, other := range q.teams {
		if len(other.items) == 0 && other.tag <= q.virtual {
			delete(q.teams, name)
		}
	}
}

// inOrder lists the active teams in the order in which they are served.
func (q *Queue) inOrder() []*team {
	order := append([]*team(nil), q.active...)
	sort.SliceStable(order, func(i, j int) bool {
		if q.off&offFairness != 0 {
			return order[i].items[0].order < order[j].items[0].order
		}
		return order[i].tag < order[j].tag
	})
	return order
}

// largest returns the team whose backlog is largest for its weight; among
// equals the arriving item's own.
func (q *Queue) largest(arrived Item) *team {
	own := q.teams[arrived.Team]
	if q.off&offPushOut != 0 {
		return own
	}
	found, most := own, own.backlog/arrived.Weight
	for _, t := range q.active {
		if size := t.backlog / t.items[0].Weight; size > most {
			found, most = t, size
		}
	}
	return found
}
