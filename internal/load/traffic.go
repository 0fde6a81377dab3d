package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// RoundRobin distributes calls over entry hosts in turn, as the platform's load balancer does.
// It is safe for concurrent use.
type RoundRobin struct {
	mu    sync.Mutex
	bases []string
	next  int
}

// NewRoundRobin returns a RoundRobin over the bases, "http://ip:port" each.
func NewRoundRobin(bases ...string) *RoundRobin {
	return &RoundRobin{bases: append([]string(nil), bases...)}
}

// Next returns the base for the next call.
func (r *RoundRobin) Next() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	base := r.bases[r.next%len(r.bases)]
	r.next++
	return base
}

// Remove removes an entry host, as the load balancer does when the host is not ready.
func (r *RoundRobin) Remove(base string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var remaining []string
	for _, b := range r.bases {
		if b != base {
			remaining = append(remaining, b)
		}
	}
	r.bases = remaining
}

// Traffic is a steady load of model calls and calls of a plain service.
type Traffic struct {
	Caller       *Caller
	Entries      *RoundRobin
	ModelService contract.ServiceName
	PlainService contract.ServiceName
	Teams        []contract.TeamName
	// MaxTokens is the number of tokens of each model answer.
	MaxTokens uint64
	// ModelInterval and PlainInterval are the times between two calls; 0 means no calls.
	ModelInterval, PlainInterval time.Duration

	// ModelResults and PlainResults count the results of the calls. Retries counts how often
	// a call of the plain service was sent again with the same key.
	ModelResults, PlainResults *Tally
	Retries                    atomic.Int64

	wg        sync.WaitGroup
	cancel    context.CancelFunc
	callCount atomic.Int64
	// runID makes the keys of two runs different.
	runID string
}

// Start sends calls until ctx ends or Stop is called. Calls in progress then continue to
// their end.
func (t *Traffic) Start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.ModelResults, t.PlainResults = NewTally(), NewTally()
	t.runID = fmt.Sprintf("%x", time.Now().UnixNano())
	t.sendEvery(ctx, t.ModelInterval, t.sendModelCall)
	t.sendEvery(ctx, t.PlainInterval, t.sendPlainCall)
}

// Stop stops sending new calls.
func (t *Traffic) Stop() {
	t.cancel()
}

// Wait waits until all calls have ended.
func (t *Traffic) Wait() {
	t.wg.Wait()
}

// sendEvery starts a call at each interval until ctx ends.
func (t *Traffic) sendEvery(ctx context.Context, interval time.Duration, send func(n int64)) {
	if interval <= 0 {
		return
	}
	t.wg.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				n := t.callCount.Add(1)
				t.wg.Go(func() { send(n) })
			}
		}
	})
}

func (t *Traffic) teamOf(n int64) contract.TeamName {
	return t.Teams[int(n)%len(t.Teams)]
}

func (t *Traffic) sendModelCall(n int64) {
	const funds = 40
	t.ModelResults.Add(t.Caller.Generate(context.Background(), t.Entries.Next(), ModelCall{
		Service:   t.ModelService,
		Team:      t.teamOf(n),
		Prompt:    fmt.Sprintf("Explain variance %d in the grant income of fund %d.", n, n%funds),
		MaxTokens: t.MaxTokens,
	}))
}

// sendPlainCall sends one call of the plain service. If the answer is missing, incomplete or
// a refusal that is not the caller's fault, it retries with the same key at the next entry host.
func (t *Traffic) sendPlainCall(n int64) {
	const maxAttempts = 6
	call := PlainCall{
		Service: t.PlainService,
		Team:    t.teamOf(n),
		Key:     fmt.Sprintf("filing-%s-%d", t.runID, n),
		Body:    fmt.Sprintf(`{"filing":%d}`, n),
	}
	var last Result
	for attempt := range maxAttempts {
		last = t.Caller.CallPlain(context.Background(), t.Entries.Next(), call)
		if last.Class == Complete || last.Class == Wrong || last.Reason.CallerFault() {
			break
		}
		if attempt+1 < maxAttempts {
			t.Retries.Add(1)
			time.Sleep(max(last.RetryAfter, 200*time.Millisecond))
		}
	}
	t.PlainResults.Add(last)
}
