package claims

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// timer is the time at which to wake a call. It has no effect if the call has since been
// decided or woken earlier.
type timer struct {
	at      time.Time
	request contract.RequestID
}

// timers is a heap of timers, ordered by time.
type timers struct {
	entries timerHeap
}

func (t *timers) add(at time.Time, request contract.RequestID) {
	heap.Push(&t.entries, timer{at: at, request: request})
}

// popDue removes and returns a timer that is due.
func (t *timers) popDue(now time.Time) (contract.RequestID, bool) {
	if len(t.entries) == 0 || t.entries[0].at.After(now) {
		return "", false
	}
	return heap.Pop(&t.entries).(timer).request, true
}

func (t *timers) nextTime() (time.Time, bool) {
	if len(t.entries) == 0 {
		return time.Time{}, false
	}
	return t.entries[0].at, true
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].request < h[j].request
	}
	return h[i].at.Before(h[j].at)
}
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
