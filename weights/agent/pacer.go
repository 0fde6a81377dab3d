package agent

import (
	"context"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// pacer spaces what is sent at a rate. The zero value does not bound.
type pacer struct {
	mu   sync.Mutex
	rate int
	free time.Time
}

// setRate changes the rate, in bytes a second; 0 means no bound.
func (p *pacer) setRate(rate int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rate = rate
}

// wait returns when n bytes may be sent, or with ctx's error.
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

func (p *pacer) reserve(n int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.rate <= 0 {
		return 0
	}
	if p.free.Before(now) {
		p.free = now
	}
	delay := p.free.Sub(now)
	p.free = p.free.Add(time.Duration(float64(n) / float64(p.rate) * float64(time.Second)))
	return delay
}

// pacers holds a pacer for the link to each other region.
type pacers struct {
	mu   sync.Mutex
	rate int
	all  map[contract.RegionName]*pacer
}

func (p *pacers) of(region contract.RegionName) *pacer {
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
	for _, one := range p.all {
		one.setRate(rate)
	}
}
