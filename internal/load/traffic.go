package load

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// Rotation spreads calls over entry hosts, as the platform's balancer does. It
// is safe for concurrent use.
type RoundRobin struct {
	mu    sync.Mutex
	bases []string
	next  int
}

// NewRotation returns a rotation over the bases, "http://ip:port" each.
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

// Remove takes an entry host out, as the balancer does when it is not ready.
func (r *RoundRobin) Remove(base string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var kept []string
	for _, b := range r.bases {
		if b != base {
			kept = append(kept, b)
		}
	}
	r.bases = kept
}

// Traffic is a steady load of model calls and service calls.
type Traffic struct {
	Caller       *Caller
	Entries      *RoundRobin
	ModelService contract.ServiceName
	PlainService contract.ServiceName
	Teams        []contract.TeamName
	// MaxTokens is the length of each model answer.
	MaxTokens uint64
	// ModelInterval and PlainInterval are the times between two calls.
	ModelInterval, PlainInterval time.Duration

	// Models and Effects add up the results; Retried counts service calls that
	// were sent again with the same key.
	ModelResults, PlainResults *Tally
	Retries                    atomic.Int64

	wg     sync.WaitGroup
	cancel context.CancelFunc
	serial atomic.Int64
	// name makes keys differ between two runs.
	name string
}

// Start sends calls until ctx ends or Stop. Calls under way then go on to
// their end.
func (t *Traffic) Start(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	t.ModelResults, t.PlainResults = NewTally(), NewTally()
	t.name = fmt.Sprintf("%x", time.Now().UnixNano())
	t.every(ctx, t.ModelInterval, t.sendModel)
	t.every(ctx, t.PlainInterval, t.sendEffect)
}

// Stop ends the sending of new calls.
func (t *Traffic) Stop() {
	t.cancel()
}

// Wait returns when all calls have ended.
func (t *Traffic) Wait() {
	t.wg.Wait()
}

func (t *Traffic) every(ctx context.Context, interval time.Duration, send func(n int64)) {
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
				n := t.serial.Add(1)
				t.wg.Go(func() { send(n) })
			}
		}
	})
}

func (t *Traffic) team(n int64) contract.TeamName {
	return t.Teams[int(n)%len(t.Teams)]
}

func (t *Traffic) sendModel(n int64) {
	const prompts = 40
	t.ModelResults.Add(t.Caller.Generate(context.Background(), t.Entries.Next(), ModelCall{
		Service:   t.ModelService,
		Team:      t.team(n),
		Prompt:    fmt.Sprintf("Explain variance %d in the grant income of fund %d.", n, n%prompts),
		MaxTokens: t.MaxTokens,
	}))
}

// sendEffect makes one filing. A caller who gets no answer, or is told to come
// back, asks again with the same key at the next entry host.
func (t *Traffic) sendEffect(n int64) {
	const tries = 6
	e := PlainCall{
		Service: t.PlainService,
		Team:    t.team(n),
		Key:     fmt.Sprintf("filing-%s-%d", t.name, n),
		Body:    fmt.Sprintf(`{"filing":%d}`, n),
	}
	var last Result
	for try := range tries {
		last = t.Caller.CallPlain(context.Background(), t.Entries.Next(), e)
		if last.Class == Complete || last.Class == Wrong || last.Reason.CallerFault() {
			break
		}
		if try+1 < tries {
			t.Retries.Add(1)
			time.Sleep(max(last.RetryAfter, 200*time.Millisecond))
		}
	}
	t.PlainResults.Add(last)
}
