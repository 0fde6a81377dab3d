package target

import (
	"context"
	"time"
)

const gaugeInterval = time.Second

// gaugeLoop shows the state of the gate on the metrics page.
func (p *Process) gaugeLoop(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.showGauges()
		}
	}
}

func (p *Process) showGauges() {
	p.mu.Lock()
	p.pruneUndelivered()
	undelivered := len(p.undelivered)
	load, phase, store := p.gate.Load(""), p.gate.Phase(), p.gate.Answers()
	bytes, started, tombstones := store.Bytes(), store.Started(), store.Tombstones()
	p.mu.Unlock()
	traffic := p.endpoint.Traffic()
	for name, value := range map[string]float64{
		"running":             float64(load.Running),
		"queued":              float64(load.Queued),
		"limit":               float64(load.Limit),
		"phase":               float64(phase),
		"answer_bytes":        float64(bytes),
		"undelivered":         float64(undelivered),
		"records":             float64(started),
		"tombstones":          float64(tombstones),
		"link_sent_bytes":     float64(traffic.SentBytes),
		"link_received_bytes": float64(traffic.ReceivedBytes),
	} {
		p.scope.Gauge(name).Update(value)
	}
}
