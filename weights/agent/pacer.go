package agent

import (
	"context"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// pacer delays sends to keep to a rate. The zero value and nil do not limit the rate.
type pacer struct {
	mu       sync.Mutex
	rate     int
	nextFree time.Time
}

// setRate changes the rate, in bytes per second; 0 means no limit.
func (p *pacer) setRate(rate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// wait returns nil when n bytes may be sent, or ctx's error if ctx ends before.
func (p *pacer) wait(ctx context.Context, n int) error {
	if p == nil {
		return ctx.Err()
	}
	delay := p.reserve(n)
	if delay <= 0 {
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(delay):
		return nil
	}
}

// reserve reserves the time to send n bytes and returns the delay until it begins.
func (p *pacer) reserve(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.rate <= 0 {
		return 0
	}
	if p.nextFree.Before(now) {
		p.nextFree = now
	}
	delay := p.nextFree.Sub(now)
	p.nextFree = p.nextFree.Add(time.Duration(float64(n) / float64(p.rate) * float64(time.Second)))
	return delay
}

// pacers holds one pacer for the link to each other region, all with the same rate.
type pacers struct {
	mu   sync.Mutex
	rate int
	all  map[contract.RegionName]*pacer
}

func (p *pacers) forRegion(region contract.RegionName) *pacer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = map[contract.RegionName]*pacer{}
	}
	if p.all[region] == nil {
		p.all[region] = &pacer{rate: p.rate}
	}
	return p.all[region]
}

func (p *pacers) setRate(rate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
	for _, pacer := range p.all {
		pacer.setRate(rate)
	}
}
