package fairshare

import "sort"

// removeItem removes the item at index i of a team.
func (q *Queue) removeItem(t *team, i int) {
	t.backlog -= float64(max(t.items[i].Tokens, 1))
	t.items = append(t.items[:i], t.items[i+1:]...)
	q.length--
	if len(t.items) == 0 {
		q.deactivate(t)
	}
}

// activate adds a team to the active teams, which are in order of name.
func (q *Queue) activate(t *team) {
	at := sort.Search(len(q.active), func(i int) bool { return q.active[i].name >= t.name })
	q.active = append(q.active, nil)
	copy(q.active[at+1:], q.active[at:])
	q.active[at] = t
}

// deactivate removes a team without items from the active teams. It also deletes all teams
// without items whose start tag is not above the virtual time; the others are retained, so
// that a team cannot get rid of the cost of what it was served.
func (q *Queue) deactivate(t *team) {
	t.backlog = 0
	for i := range q.active {
		if q.active[i] == t {
			q.active = append(q.active[:i], q.active[i+1:]...)
			break
		}
	}
	for name, other := range q.teams {
		if len(other.items) == 0 && other.startTag <= q.virtualTime {
			delete(q.teams, name)
		}
	}
}

// servingOrder returns the active teams in the order in which they are served.
func (q *Queue) servingOrder() []*team {
	order := append([]*team(nil), q.active...)
	sort.SliceStable(order, func(i, j int) bool {
		if q.disabled&disableFairness != 0 {
			return order[i].items[0].arrivalSeq < order[j].items[0].arrivalSeq
		}
		return order[i].startTag < order[j].startTag
	})
	return order
}

// largestBacklog returns the team whose backlog is largest relative to its weight. In a tie
// with the arriving item's own team, that is the own team.
func (q *Queue) largestBacklog(arrived Item) *team {
	own := q.teams[arrived.Team]
	if q.disabled&disablePushOut != 0 {
		return own
	}
	largest, maxSize := own, own.backlog/arrived.Weight
	for _, t := range q.active {
		if size := t.backlog / t.items[0].Weight; size > maxSize {
			largest, maxSize = t, size
		}
	}
	return largest
}
