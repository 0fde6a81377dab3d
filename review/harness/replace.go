//go:build review

package harness

import (
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"
)

// StartTimeout bounds the time until an entry is ready, or has ended after SIGTERM.
const StartTimeout = 15 * time.Second

// Replacement says how the machines of the entries are replaced by others.
type Replacement struct {
	// Running is how many entries of a zone run at a time, Replaced how many leave for good.
	Running, Replaced int
}

// ReplaceEntries starts entries in all zones. Then it adds machines one after the other, each under a name of
// its own, and removes the oldest one by SIGTERM when the new one is ready. It returns the entries that stay
// once all others have ended.
func (d *Deployment) ReplaceEntries(r Replacement) ([]*Machine, error) {
	var mu sync.Mutex
	var stay []*Machine
	var failed error
	var wg sync.WaitGroup
	for _, zone := range d.zones {
		wg.Go(func() {
			entries, err := d.replaceEntriesOf(zone, r)
			mu.Lock()
			defer mu.Unlock()
			stay, failed = append(stay, entries...), errors.Join(failed, err)
		})
	}
	wg.Wait()
	return stay, failed
}

func (d *Deployment) replaceEntriesOf(zone string, r Replacement) ([]*Machine, error) {
	var entries []*Machine
	for n := range r.Running + r.Replaced {
		m := d.NewEntry(fmt.Sprintf("edge-%s-%02d", zone, n+1), zone)
		if err := m.Start(); err != nil {
			return nil, err
		}
		if err := m.AwaitReady(StartTimeout); err != nil {
			return nil, err
		}
		entries = append(entries, m)
		if n >= r.Running {
			entries[n-r.Running].Signal(syscall.SIGTERM)
		}
	}
	for _, m := range entries[:r.Replaced] {
		if !m.AwaitEnd(StartTimeout) {
			return nil, fmt.Errorf("harness: %s has not ended", m.Name)
		}
	}
	return entries[r.Replaced:], nil
}
