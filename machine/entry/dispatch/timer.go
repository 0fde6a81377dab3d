package dispatch

import (
	"container/heap"
	"time"
)

// timers is a heap of requests by the time of their next wake-up.
type timers []*request

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface; requests due together go by their identifier.
func (t timers) Less(i, j int) bool {
	if t[i].wake.Equal(t[j].wake) {
		return t[i].ID < t[j].ID
	}
	return t[i].wake.Before(t[j].wake)
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	r := x.(*request)
	r.index = len(*t)
	*t = append(*t, r)
}

// Pop implements heap.Interface.
func (t *timers) Pop() any {
	last := len(*t) - 1
	r := (*t)[last]
	(*t)[last] = nil
	*t = (*t)[:last]
	return r
}

func (t *timers) add(r *request) {
	r.wake = r.nextWake()
	heap.Push(t, r)
}

func (t *timers) update(r *request) {
	if wake := r.nextWake(); !wake.Equal(r.wake) {
		r.wake = wake
		heap.Fix(t, r.index)
	}
}

func (t *timers) remove(r *request) {
	heap.Remove(t, r.index)
}

// due returns the first request whose wake-up has come, or nil.
func (t timers) due(now time.Time) *request {
	if len(t) == 0 || t[0].wake.After(now) {
		return nil
	}
	return t[0]
}
