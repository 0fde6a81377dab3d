package direct

import (
	"context"
	"sync"
	"sync/atomic"
)

// openCalls holds the requests under way, so that a stopping entry can end those that last too long.
// The zero value is ready to use.
type openCalls struct {
	ended atomic.Bool

	mu      sync.Mutex
	cancels map[*call]context.CancelFunc
}

// add adds a request, whose attempts cancel ends. The caller must remove it.
func (o *openCalls) add(c *call, cancel context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended.Load() {
		cancel()
	}
	if o.cancels == nil {
		o.cancels = map[*call]context.CancelFunc{}
	}
	o.cancels[c] = cancel
}

func (o *openCalls) remove(c *call) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.cancels, c)
}

// endAll ends the attempts of all requests, also of those that are added later. The requests get no
// other attempt, and their answers say whether they may have run.
func (o *openCalls) endAll() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended.Store(true)
	for _, cancel := range o.cancels {
		cancel()
	}
}

// isEnded reports whether endAll has been called.
func (o *openCalls) isEnded() bool { return o.ended.Load() }
