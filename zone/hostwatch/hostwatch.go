// Package hostwatch polls the host list of the platform and reports changes.
//
// The list lags and may be unavailable for a long time; the watcher then retains the last
// list that it received. A list whose version is not higher than that of the last one is
// ignored, so that a lagging replica of the service cannot restore removed hosts.
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

// Watcher polls the host list. It is safe for concurrent use.
type Watcher struct {
	reader   hostlist.Reader
	interval time.Duration
	onChange func(hostlist.List)

	mu      sync.Mutex
	last    hostlist.List
	hasList bool
}

// New returns a watcher that calls onChange, which may be nil, with the first
// list and with every newer one. An interval of 0 means DefaultInterval.
func New(reader hostlist.Reader, interval time.Duration, onChange func(hostlist.List)) *Watcher {
	if interval <= 0 {
		interval = DefaultInterval
	}
	return &Watcher{reader: reader, interval: interval, onChange: onChange}
}

// Run polls until ctx is done. The interval is jittered so that the polls of many
// processes that started together spread out.
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

// Poll reads the list once and calls onChange if it is new.
func (w *Watcher) Poll(ctx context.Context) {
	list, err := w.reader.List(ctx)
	if w.accept(list, err) && w.onChange != nil {
		w.onChange(list)
	}
}

// accept records list as the last one if it is newer and err is nil. It reports whether
// it did.
func (w *Watcher) accept(list hostlist.List, err error) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil || w.hasList && list.Version <= w.last.Version {
		return false
	}
	w.last = list
	w.hasList = true
	return true
}

// Last returns the newest list. ok is false if none has been received yet.
func (w *Watcher) Last() (list hostlist.List, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.last, w.hasList
}
