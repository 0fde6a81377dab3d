// Package simulation has what the simulations of state machines share: a queue of events in
// virtual time, and the search for a run that shows that a mechanism is needed.
package simulation

import (
	"container/heap"
	"time"
)

// Queue runs functions in virtual time, which advances only as its events run. Events that are
// due at the same time run in the order in which they were added. The zero value is an empty
// queue at time 0. It is not safe for concurrent use.
type Queue struct {
	now        time.Duration
	eventCount uint64
	events     events
}

// Now returns the virtual time since the start of the simulation.
func (q *Queue) Now() time.Duration { return q.now }

// After adds a function that is due after d. With a negative d it is due before the current
// time, and Now goes back when it runs.
func (q *Queue) After(d time.Duration, run func()) {
	q.eventCount++
	heap.Push(&q.events, event{at: q.now + d, sequence: q.eventCount, run: run})
}

// HasDue reports whether an event is due at the time end or before.
func (q *Queue) HasDue(end time.Duration) bool {
	return len(q.events) > 0 && q.events[0].at <= end
}

// RunNext advances the time to that of the earliest event and runs the event. It returns
// false if there is none.
func (q *Queue) RunNext() bool {
	if len(q.events) == 0 {
		return false
	}
	e := heap.Pop(&q.events).(event)
	q.now = e.at
	e.run()
	return true
}

// RunFor advances the time by d and runs the events that are due until then.
func (q *Queue) RunFor(d time.Duration) {
	end := q.now + d
	for q.HasDue(end) {
		q.RunNext()
	}
	q.now = end
}

// event is a function that is due at a time. sequence is its position in the order in which
// events were added.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// events is a heap ordered by time and sequence.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at == e[j].at {
		return e[i].sequence < e[j].sequence
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
