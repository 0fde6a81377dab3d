package weights

import "time"

// event is something that happens at a virtual time: a callback, or a segment
// that leaves a link.
type event struct {
	at  time.Duration
	seq uint64
	f   func()
	tr  *transfer
	hop int
	n   int
}

// clock runs events in the order of their times; equal times keep their order.
type clock struct {
	now  time.Duration
	seq  uint64
	heap []event
}

func (c *clock) after(d time.Duration, f func()) {
	c.push(event{at: c.now + d, f: f})
}

func (c *clock) push(e event) {
	c.seq++
	e.seq = c.seq
	c.heap = append(c.heap, e)
	i := len(c.heap) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !less(&c.heap[i], &c.heap[up]) {
			return
		}
		c.heap[i], c.heap[up] = c.heap[up], c.heap[i]
		i = up
	}
}

func less(a, b *event) bool {
	if a.at != b.at {
		return a.at < b.at
	}
	return a.seq < b.seq
}

func (c *clock) pop() event {
	top := c.heap[0]
	last := len(c.heap) - 1
	c.heap[0] = c.heap[last]
	c.heap[last] = event{}
	c.heap = c.heap[:last]
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && less(&c.heap[child+1], &c.heap[child]) {
			child++
		}
		if !less(&c.heap[child], &c.heap[i]) {
			return top
		}
		c.heap[i], c.heap[child] = c.heap[child], c.heap[i]
		i = child
	}
}

// run works until stop reports true, no event is left or the time is past limit.
func (c *clock) run(limit time.Duration, stop func() bool) {
	for len(c.heap) > 0 && c.now <= limit && !stop() {
		e := c.pop()
		c.now = e.at
		if e.tr != nil {
			e.tr.arrived(e.hop, e.n)
			continue
		}
		e.f()
	}
}
