package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// endTimes is a heap of the times at which requests end.
type endTimes []time.Time

func (e endTimes) Len() int           { return len(e) }
func (e endTimes) Less(i, j int) bool { return e[i].Before(e[j]) }
func (e endTimes) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endTimes) Push(x any)        { *e = append(*e, x.(time.Time)) }
func (e *endTimes) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulatedEngine runs requests in order of arrival.
type simulatedEngine struct {
	slots   int
	service time.Duration
	running endTimes
}

// enqueue adds a request and returns when it begins and ends.
func (q *simulatedEngine) enqueue(now time.Time) (begin, end time.Time) {
	for len(q.running) > 0 && !q.running[0].After(now) {
		heap.Pop(&q.running)
	}
	begin = now
	if len(q.running) >= q.slots {
		begin = heap.Pop(&q.running).(time.Time)
	}
	end = begin.Add(q.service)
	heap.Push(&q.running, end)
	return begin, end
}

// For 30 s, twice as many requests arrive as the engines can serve. Placed requests must
// be served in time, the others must be refused on arrival, and the engines must be kept
// busy.
func TestOverloadServesPlacedRequestsInTime(t *testing.T) {
	const objective = 300 * time.Millisecond
	members := []*roster.Member{engineMember("x", "a"), engineMember("y", "a"), engineMember("z", "a")}
	p := newPool(members...)
	model := NewLatencyModel(modelService(), 0)
	service := model.interval * time.Duration(model.slots)
	engineOf := map[roster.TargetID]*simulatedEngine{}
	for _, m := range members {
		engineOf[m.ID] = &simulatedEngine{slots: model.slots, service: service}
	}
	interval := model.interval / time.Duration(2*len(members))
	type openRequest struct {
		id roster.TargetID
		at time.Time
	}
	var open []openRequest
	placed, late, refused := 0, 0, 0
	for at := start; at.Before(start.Add(30 * time.Second)); at = at.Add(interval) {
		kept := open[:0]
		for _, e := range open {
			if e.at.After(at) {
				kept = append(kept, e)
				continue
			}
			p.Ended(e.id)
		}
		open = kept
		c, outcome := p.Pick(at, Requirements{}, objective)
		if outcome != Placed {
			refused++
			continue
		}
		p.Sent(at, c.ID)
		begin, done := engineOf[c.ID].enqueue(at)
		open = append(open, openRequest{c.ID, done})
		placed++
		if begin.Sub(at)+model.FirstEventDelay(0) > objective {
			late++
		}
	}
	capacity := int(30 * time.Second / model.interval * time.Duration(len(members)))
	if placed < capacity*9/10 {
		t.Errorf("placed %d requests, want at least 9/10 of the capacity of %d", placed, capacity)
	}
	if late > placed/50 {
		t.Errorf("%d of %d placed requests were late, want at most 1 in 50", late, placed)
	}
	if refused < capacity*8/10 {
		t.Errorf("refused %d requests, want at least 8/10 of the capacity", refused)
	}
}

// Calls of a few milliseconds arrive in a small burst. What the other entries may have
// sent since their last heartbeats has already ended by then, and must not make the
// targets count as full.
func TestShortCallsIgnoreEndedPeerRequests(t *testing.T) {
	p := NewPool(Place{Region: "ra", Zone: "a"}, regions, rand.New(rand.NewPCG(1, 2)))
	plain := &roster.Member{Target: roster.Target{ID: "p", Address: "p:1", Zone: "a", Slots: 6}}
	p.SetMembers(start, []*roster.Member{plain})
	p.SetEntryCount(9)
	now := start
	for i := range 20 {
		c, outcome := p.Pick(now, Requirements{}, 100*time.Millisecond)
		if outcome != Placed {
			t.Fatalf("call %d: refusal %d, want Placed", i, outcome)
		}
		p.Sent(now, c.ID)
		p.LoadReported(now, c.ID, 5)
		now = now.Add(40 * time.Millisecond)
		p.Ended(c.ID)
	}
}
