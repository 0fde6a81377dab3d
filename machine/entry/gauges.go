package entry

import (
	"context"
	"time"
)

const gaugeInterval = time.Second

// gaugeLoop shows on the metrics page what the counters do not tell.
func (e *Entry) gaugeLoop(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.showGauges()
		}
	}
}

func (e *Entry) showGauges() {
	scope := e.metrics.Scope().SubScope("entry")
	open, queued := e.loop.load()
	scope.Gauge("requests_open").Update(float64(open))
	scope.Gauge("requests_queued").Update(float64(queued))
	traffic := e.links.endpoint.Traffic()
	scope.Gauge("link_sent_bytes").Update(float64(traffic.SentBytes))
	scope.Gauge("link_received_bytes").Update(float64(traffic.ReceivedBytes))
}
