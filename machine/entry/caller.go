package entry

import (
	"sync"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// maxPendingBytes is how much of an answer may wait for a slow caller.
const maxPendingBytes = 256 << 10

// caller is the way back to one HTTP handler.
type caller struct {
	mu      sync.Mutex
	parts   []dispatch.Deliver
	pending int
	final   *dispatch.Finish
	// news is signalled when parts or final change, room when parts are taken.
	news chan struct{}
	room chan struct{}
}

func newCaller() *caller {
	return &caller{news: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

func signal(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

func (c *caller) deliver(d dispatch.Deliver) {
	c.mu.Lock()
	c.parts = append(c.parts, d)
	c.pending += len(d.Data)
	c.mu.Unlock()
	signal(c.news)
}

func (c *caller) finish(f dispatch.Finish) {
	c.mu.Lock()
	c.final = &f
	c.mu.Unlock()
	signal(c.news)
}

// take returns the parts that wait, and the final answer if it has come.
func (c *caller) take() ([]dispatch.Deliver, *dispatch.Finish) {
	c.mu.Lock()
	defer c.mu.Unlock()
	parts := c.parts
	c.parts = nil
	c.pending = 0
	signal(c.room)
	return parts, c.final
}

// full reports whether too much waits for the caller.
func (c *caller) full() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending > maxPendingBytes
}

// callers holds the handlers that wait for answers.
type callers struct {
	mu   sync.Mutex
	byID map[contract.RequestID]*caller
}

func newCallers() *callers {
	return &callers{byID: map[contract.RequestID]*caller{}}
}

func (c *callers) add(id contract.RequestID) *caller {
	added := newCaller()
	c.mu.Lock()
	c.byID[id] = added
	c.mu.Unlock()
	return added
}

func (c *callers) remove(id contract.RequestID) {
	c.mu.Lock()
	delete(c.byID, id)
	c.mu.Unlock()
}

func (c *callers) get(id contract.RequestID) *caller {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.byID[id]
}
