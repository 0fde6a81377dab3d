package target

import (
	"context"
	"runtime/debug"
	"time"

	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/weights/swarm"
)

// gaugeInterval is also the second over which live traffic is counted.
const gaugeInterval = time.Second

// gaugeLoop shows the state of the gate on the metrics page, and tells the
// runtime and the agent what has changed.
func (p *Process) gaugeLoop(ctx context.Context) {
	live := liveRate{}
	periodic.Run(ctx, gaugeInterval, func() {
		p.showGauges()
		p.limitMemory()
		p.tellLive(&live)
	})
}

// memoryBytes is what the process may take beside the chunks in hand: the bound
// less what the runtime does not count.
const memoryBytes = 52 << 20

// limitMemory sets the runtime's memory limit to what the chunks in hand allow.
func (p *Process) limitMemory() {
	if !p.boundMemory {
		return
	}
	limit := int64(memoryBytes)
	if p.agent != nil {
		limit += p.agent.Bytes()
	}
	debug.SetMemoryLimit(limit)
}

// liveRate holds the counts of the last look at the traffic of attempts.
type liveRate struct {
	sent, received int64
}

// tellLive tells the agent what live traffic leaves of the links, if their
// capacities are known.
func (p *Process) tellLive(last *liveRate) {
	links := swarm.Links{Machine: p.cfg.Target.MachineLink, Region: p.cfg.Target.RegionLink}
	if p.agent == nil || links == (swarm.Links{}) {
		return
	}
	now := liveRate{sent: p.sent.Load(), received: p.received.Load()}
	p.agent.SetLive(links, swarm.Live{Up: int(now.sent - last.sent), Down: int(now.received - last.received)})
	*last = now
}

func (p *Process) showGauges() {
	p.mu.Lock()
	p.pruneUndelivered()
	undelivered := len(p.undelivered)
	load, phase, store := p.gate.Load(""), p.gate.Phase(), p.gate.Answers()
	bytes, started, tombstones := store.Bytes(), store.StartedCount(), store.TombstoneCount()
	p.mu.Unlock()
	metrics.Traffic(p.scope, p.endpoint.Traffic(), &p.platform)
	for name, value := range map[string]float64{
		"running":      float64(load.Running),
		"queued":       float64(load.Queued),
		"limit":        float64(load.Limit),
		"phase":        float64(phase),
		"answer_bytes": float64(bytes),
		"undelivered":  float64(undelivered),
		"records":      float64(started),
		"tombstones":   float64(tombstones),
	} {
		p.scope.Gauge(name).Update(value)
	}
}
