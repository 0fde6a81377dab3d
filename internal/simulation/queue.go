// Package simulation holds what the simulations of state machines share: a queue
// of events in virtual time, and the search for a history that shows that a
// mechanism is needed.
package simulation

import (
	"container/heap"
	"time"
)

// Queue runs functions in virtual time, which only its events move on. Events due
// at the same time run in the order in which they were added. The zero value is
// empty and at time 0. It is not safe for concurrent use.
type Queue struct {
	now    time.Duration
	added  uint64
	events events
}

// Now returns the virtual time since the start of the simulation.
func (q *Queue) Now() time.Duration { return q.now }

// After adds a function that is due after d. With a negative d it is due before
// the events of the present, and Now goes back when it runs.
func (q *Queue) After(d time.Duration, run func()) {
	q.added++
	heap.Push(&q.events, event{at: q.now + d, number: q.added, run: run})
}

// Due reports whether an event is due at the time end or before.
func (q *Queue) HasDue(end time.Duration) bool {
	return len(q.events) > 0 && q.events[0].at <= end
}

// Next runs the earliest event at its time; it returns false if there is none.
func (q *Queue) RunNext() bool {
	if len(q.events) == 0 {
		return false
	}
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.run()
	return true
}

// Run lets d pass and runs what is due by its end.
func (q *Queue) RunFor(d time.Duration) {
	end := q.now + d
	for q.HasDue(end) {
		q.RunNext()
	}
	q.now = end
}

// event is a function that is due at a time; number is its place among all that
// were added.
type event struct {
	at     time.Duration
	number uint64
	run    func()
}

// events is a heap by time and number.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].number < e[j].number
	}
	return e[i].at < e[j].at
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
