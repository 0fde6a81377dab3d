package dispatch

import (
	"container/heap"
	"time"
)

// timers is a heap of requests ordered by the time of their next wake-up.
type timers []*request

// Len implements heap.Interface.
func (t timers) Len() int { return len(t) }

// Less implements heap.Interface. Requests with the same wake-up time are ordered by
// identifier.
func (t timers) Less(i, j int) bool {
	if t[i].wakeAt.Equal(t[j].wakeAt) {
		return t[i].ID < t[j].ID
	}
	return t[i].wakeAt.Before(t[j].wakeAt)
}

// Swap implements heap.Interface.
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].heapIndex, t[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *timers) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(*t)
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
	r.wakeAt = r.wakeTime()
	heap.Push(t, r)
}

func (t *timers) update(r *request) {
	if wake := r.wakeTime(); !wake.Equal(r.wakeAt) {
		r.wakeAt = wake
		heap.Fix(t, r.heapIndex)
	}
}

func (t *timers) remove(r *request) {
	heap.Remove(t, r.heapIndex)
}

// due returns the first request whose wake-up time has come, or nil.
func (t timers) due(now time.Time) *request {
	if len(t) == 0 || t[0].wakeAt.After(now) {
		return nil
	}
	return t[0]
}
