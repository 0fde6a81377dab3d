package claims

import (
	"container/heap"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// timer wakes a call; one whose call has moved on has no effect.
type timer struct {
	at      time.Time
	request contract.RequestID
}

// timers is a heap of timers by time.
type timers struct {
	heap timerHeap
}

func (t *timers) add(at time.Time, request contract.RequestID) {
	heap.Push(&t.heap, timer{at: at, request: request})
}

// due removes and returns a timer that is due.
func (t *timers) due(now time.Time) (contract.RequestID, bool) {
	if len(t.heap) == 0 || t.heap[0].at.After(now) {
		return "", false
	}
	return heap.Pop(&t.heap).(timer).request, true
}

func (t *timers) first() (time.Time, bool) {
	if len(t.heap) == 0 {
		return time.Time{}, false
	}
	return t.heap[0].at, true
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
