//go:build review

package harness

import (
	"sync"
	"time"
)

// Traffic sends requests to some entries at an interval, each in turn, and keeps the answers.
type Traffic struct {
	client  *Client
	stopped chan struct{}
	wg      sync.WaitGroup

	mu      sync.Mutex
	answers []Answer
}

// StartTraffic sends a request to each of the entries at every interval until Stop.
func StartTraffic(entries []*Machine, interval time.Duration, request func(entry *Machine) Request) *Traffic {
	t := &Traffic{client: NewClient(), stopped: make(chan struct{})}
	t.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			for _, entry := range entries {
				t.wg.Go(func() { t.add(t.client.Send(request(entry))) })
			}
			select {
			case <-t.stopped:
				return
			case <-ticker.C:
			}
		}
	})
	return t
}

func (t *Traffic) add(a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers = append(t.answers, a)
}

// Stop ends the traffic, waits for the answers and returns them.
func (t *Traffic) Stop() []Answer {
	close(t.stopped)
	t.wg.Wait()
	return t.answers
}

// CountServed counts the requests that were sent from a time until another one, and those of them that were
// served.
func CountServed(answers []Answer, from, until time.Time) (sent, served int) {
	for _, a := range answers {
		if a.SentAt.Before(from) || !a.SentAt.Before(until) {
			continue
		}
		sent++
		if a.IsServed() {
			served++
		}
	}
	return sent, served
}
