package placement

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/roster"
)

// ends is a heap of the times at which requests end.
type ends []time.Time

func (e ends) Len() int           { return len(e) }
func (e ends) Less(i, j int) bool { return e[i].Before(e[j]) }
func (e ends) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *ends) Push(x any)        { *e = append(*e, x.(time.Time)) }
func (e *ends) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// queue is an engine that runs requests in order of arrival.
type queue struct {
	slots   int
	service time.Duration
	running ends
}

// take returns when a request begins and ends.
func (q *queue) take(now time.Time) (begin, end time.Time) {
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

// Twice as many requests arrive as the engines can serve, for 30 s. Who is taken
// must be served in time, the others told at once, and the engines kept busy.
func TestOverload(t *testing.T) {
	const objective = 300 * time.Millisecond
	engines := []*roster.Member{engine("x", "a"), engine("y", "a"), engine("z", "a")}
	p := newPool(engines...)
	pace := NewLatencyModel(models(), 0)
	service := pace.between * time.Duration(pace.slots)
	queues := map[roster.TargetID]*queue{}
	for _, m := range engines {
		queues[m.ID] = &queue{slots: pace.slots, service: service}
	}
	interval := pace.between / time.Duration(2*len(engines))
	type end struct {
		id roster.TargetID
		at time.Time
	}
	var open []end
	taken, late, refused := 0, 0, 0
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
		c, refusal := p.Pick(at, Requirements{}, objective)
		if refusal != Placed {
			refused++
			continue
		}
		p.Sent(at, c.ID)
		begin, done := queues[c.ID].take(at)
		open = append(open, end{c.ID, done})
		taken++
		if begin.Sub(at)+pace.FirstEventDelay(0) > objective {
			late++
		}
	}
	bears := int(30 * time.Second / pace.between * time.Duration(len(engines)))
	if taken < bears*9/10 {
		t.Errorf("%d taken, the engines bear %d", taken, bears)
	}
	if late > taken/50 {
		t.Errorf("%d of %d taken were late", late, taken)
	}
	if refused < bears*8/10 {
		t.Errorf("only %d refused", refused)
	}
}

// Calls that take a few milliseconds come in a small burst. What the other entries may
// have sent a heartbeat ago has ended long since, and must not fill the targets.
func TestShortCallsAreNotRefusedForWhatHasEnded(t *testing.T) {
	p := NewPool(Place{Region: "ra", Zone: "a"}, regions, rand.New(rand.NewPCG(1, 2)))
	plain := &roster.Member{Target: roster.Target{ID: "p", Address: "p:1", Zone: "a", Slots: 6}}
	p.SetMembers([]*roster.Member{plain})
	p.SetEntryCount(9)
	now := start
	for i := range 20 {
		c, refusal := p.Pick(now, Requirements{}, 100*time.Millisecond)
		if refusal != Placed {
			t.Fatalf("call %d refused: %d", i, refusal)
		}
		p.Sent(now, c.ID)
		p.LoadReported(now, c.ID, 5)
		now = now.Add(40 * time.Millisecond)
		p.Ended(c.ID)
	}
}
