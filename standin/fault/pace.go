package fault

import (
	"context"
	"sync"
	"time"
)

// Pace spreads units, such as bytes or calls, evenly over time. All users of
// one Pace share its rate. The zero value sets no limit.
type RateLimiter struct {
	// PerSecond is the rate in units a second; 0 sets no limit.
	PerSecond float64
	// Burst is how far ahead of the rate Allow may go, in units.
	Burst float64

	mu   sync.Mutex
	next time.Time
}

// Wait blocks until n units may pass, or until ctx ends.
func (p *RateLimiter) Wait(ctx context.Context, n int) error {
	if p.PerSecond <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(p.reserve(n))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *RateLimiter) reserve(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(p.cost(n))
	return p.next.Sub(now)
}

// Allow takes n units at once if the rate and the burst allow it.
func (p *RateLimiter) Allow(n int) bool {
	if p.PerSecond <= 0 {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	earliest := now.Add(-p.cost(int(max(p.Burst, 1))))
	if p.next.Before(earliest) {
		p.next = earliest
	}
	taken := p.next.Add(p.cost(n))
	if taken.After(now) {
		return false
	}
	p.next = taken
	return true
}

func (p *RateLimiter) cost(n int) time.Duration {
	return time.Duration(float64(n) / p.PerSecond * float64(time.Second))
}
