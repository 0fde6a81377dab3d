// Package hostwatch polls the platform's host list and tells of changes.
//
// The list lags and may be unavailable for long; the watcher then keeps the
// last list it saw. A list with a lower version than one already seen is
// dropped, so that a lagging replica of the service cannot bring hosts back.
package hostwatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"mimosastand.example/mimosastand/zone/hostlist"
)

// DefaultInterval is the time between two polls.
const DefaultInterval = time.Second

// Watcher is safe for concurrent use.
type Watcher struct {
	hosts    hostlist.Reader
	interval time.Duration
	onChange func(hostlist.List)

	mu   sync.Mutex
	last hostlist.List
	seen bool
}

// New returns a watcher that calls onChange, which may be nil, with the first
// list and with every newer one. An interval of 0 means DefaultInterval.
func New(hosts hostlist.Reader, interval time.Duration, onChange func(hostlist.List)) *Watcher {
	if interval <= 0 {
		interval = DefaultInterval
	}
	return &Watcher{hosts: hosts, interval: interval, onChange: onChange}
}

// Run polls until ctx ends. Polls are jittered so that many processes that
// started together spread out.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.Poll(ctx)
		jitter := time.Duration(rand.Int64N(int64(w.interval)/2 + 1))
		timer := time.NewTimer(w.interval*3/4 + jitter)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Poll reads the list once.
func (w *Watcher) Poll(ctx context.Context) {
	list, err := w.hosts.List(ctx)
	if w.take(list, err) && w.onChange != nil {
		w.onChange(list)
	}
}

// take reports whether list is newer than the last one.
func (w *Watcher) take(list hostlist.List, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || w.seen && list.Version <= w.last.Version {
		return false
	}
	w.last = list
	w.seen = true
	return true
}

// Last returns the newest list; ok is false before the first one.
func (w *Watcher) Last() (list hostlist.List, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.seen
}
