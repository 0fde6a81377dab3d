package target

import (
	"context"
	"runtime/debug"
	"time"

	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/periodic"
	"mimosastand.example/mimosastand/weights/swarm"
)

// gaugeInterval is the time between two updates of the gauges. Live traffic is reported to
// the agent in bytes per second, counted over this interval: it has to be a second.
const gaugeInterval = time.Second

// gaugeLoop updates the gauges, the runtime's memory limit and the live traffic that the
// agent takes into account.
func (p *Process) gaugeLoop(ctx context.Context) {
	last := attemptBytes{}
	periodic.Run(ctx, gaugeInterval, func() {
		p.updateGauges()
		p.updateMemoryLimit()
		p.reportLiveTraffic(&last)
	})
}

// baseMemoryBytes is the memory limit without the chunks that the agent holds: the bound of
// the process less the memory that the runtime does not count.
const baseMemoryBytes = 52 << 20

// updateMemoryLimit sets the runtime's memory limit to baseMemoryBytes and the size of the
// chunks that the agent holds.
func (p *Process) updateMemoryLimit() {
	if !p.memoryLimited {
		return
	}
	limit := int64(baseMemoryBytes)
	if p.agent != nil {
		limit += p.agent.Bytes()
	}
	debug.SetMemoryLimit(limit)
}

// attemptBytes holds the byte counts of attempts' traffic at one time.
type attemptBytes struct {
	sent, received int64
}

// reportLiveTraffic reports the traffic of attempts since last and the capacities of the
// links to the agent, if the capacities are known.
func (p *Process) reportLiveTraffic(last *attemptBytes) {
	links := swarm.Links{Machine: p.cfg.Target.MachineLink, Region: p.cfg.Target.RegionLink}
	if p.agent == nil || links == (swarm.Links{}) {
		return
	}
	now := attemptBytes{sent: p.sent.Load(), received: p.received.Load()}
	p.agent.SetLinkTraffic(links, swarm.LiveTraffic{Up: int(now.sent - last.sent), Down: int(now.received - last.received)})
	*last = now
}

func (p *Process) updateGauges() {
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
