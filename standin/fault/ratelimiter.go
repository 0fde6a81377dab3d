package fault

import (
	"context"
	"sync"
	"time"
)

// RateLimiter limits the rate of units such as bytes or calls, which it spreads evenly over
// time. All users of a RateLimiter share its rate. The zero value sets no limit.
type RateLimiter struct {
	// PerSecond is the rate in units per second; 0 sets no limit.
	PerSecond float64
	// Burst is the number of units that Allow may permit ahead of the rate, at least 1.
	Burst float64

	mu   sync.Mutex
	next time.Time
}

// Wait blocks until the rate permits n units, or until ctx is done.
func (l *RateLimiter) Wait(ctx context.Context, n int) error {
	if l.PerSecond <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(l.reserve(n))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve reserves n units and returns the time until the rate permits them.
func (l *RateLimiter) reserve(n int) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.next.Before(now) {
		l.next = now
	}
	l.next = l.next.Add(l.cost(n))
	return l.next.Sub(now)
}

// Allow reports whether the rate and the burst permit n units now, and counts them if so.
func (l *RateLimiter) Allow(n int) bool {
	if l.PerSecond <= 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	earliest := now.Add(-l.cost(int(max(l.Burst, 1))))
	if l.next.Before(earliest) {
		l.next = earliest
	}
	taken := l.next.Add(l.cost(n))
	if taken.After(now) {
		return false
	}
	l.next = taken
	return true
}

// cost returns the time that n units take at the rate.
func (l *RateLimiter) cost(n int) time.Duration {
	return time.Duration(float64(n) / l.PerSecond * float64(time.Second))
}
