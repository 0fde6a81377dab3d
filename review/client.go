//go:build review

package review

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// Host, ChatPath and Key are what clients use.
	Host     = "accounts.example"
	ChatPath = "/chat/"
	Key      = "key-1"
	// clientTimeLimit is the time limit of a stream, as on the sheet of Kalahari.
	clientTimeLimit = 6 * time.Second
)

// Outcome is how a client's request ended.
type Outcome struct {
	SentAt time.Time
	Served bool
}

// Clients sends streams to the entries at a steady rate.
type Clients struct {
	record   *Record
	entries  []string
	interval time.Duration
	http     *http.Client

	stop    context.CancelFunc
	stopped chan struct{}

	mu       sync.Mutex
	outcomes []Outcome
}

// StartClients starts clients that send a request to the entries in turn every interval.
func StartClients(record *Record, entries []string, interval time.Duration) *Clients {
	ctx, stop := context.WithCancel(context.Background())
	c := &Clients{
		record: record, entries: entries, interval: interval, stop: stop, stopped: make(chan struct{}),
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
	go c.run(ctx)
	return c
}

// Stop ends the sending of requests and waits for the answers.
func (c *Clients) Stop() {
	c.stop()
	<-c.stopped
}

// run sends requests until ctx ends, and waits for their answers.
func (c *Clients) run(ctx context.Context) {
	var open sync.WaitGroup
	defer close(c.stopped)
	defer open.Wait()
	ticker := time.NewTicker(c.interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		open.Go(func() { c.send(n, c.entries[n%len(c.entries)]) })
	}
}

func (c *Clients) send(n int, entry string) {
	attempt := fmt.Sprintf("attempt-%05d", n)
	sentAt := time.Now()
	status, body, err := c.exchange(attempt, entry)
	served := err == nil && status == http.StatusOK && bytes.Contains(body, fmt.Appendf(nil, "data: event %d of %s", streamEvents, attempt))
	c.record.Printf("sent %s to %s; answered with status %d and %d bytes after %d ms", attempt, entry, status, len(body), time.Since(sentAt).Milliseconds())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, Outcome{SentAt: sentAt, Served: served})
}

func (c *Clients) exchange(attempt, entry string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+ChatPath+"1", bytes.NewReader([]byte("Explain the variance.")))
	if err != nil {
		return 0, nil, err
	}
	req.Host = Host
	for name, value := range map[string]string{
		"Attempt-Id": attempt, "Authorization": "Bearer " + Key, "Deadline-Ms": fmt.Sprint(clientTimeLimit.Milliseconds()),
		"Model": Model, "Token-Count": "100,32", "Prompt-Prefix": "5c1e07a2:40," + fmt.Sprintf("%x:60", sentHash(attempt)),
	} {
		req.Header.Set(name, value)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err = io.ReadAll(resp.Body)
	return resp.StatusCode, body, err
}

// sentHash returns an ID of the part of a prompt that belongs to one request.
func sentHash(attempt string) uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(attempt) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}

// Count returns how many requests were sent in a span of time, and how many of them were served.
func (c *Clients) Count(from, to time.Time) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, o := range c.outcomes {
		if o.SentAt.Before(from) || !o.SentAt.Before(to) {
			continue
		}
		sent++
		if o.Served {
			served++
		}
	}
	return sent, served
}
