package entry

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/periodic"
)

const gaugeInterval = time.Second

// runGaugeUpdates updates the gauges periodically until ctx ends.
func (e *Entry) runGaugeUpdates(ctx context.Context) {
	periodic.Run(ctx, gaugeInterval, e.updateGauges)
}

// updateGauges sets the gauges of open and queued requests and of the traffic.
func (e *Entry) updateGauges() {
	scope := e.metrics.Scope().SubScope("entry")
	open, queued := e.loop.requestCounts()
	scope.Gauge("requests_open").Update(float64(open))
	scope.Gauge("requests_queued").Update(float64(queued))
	metrics.Traffic(scope, e.links.endpoint.Traffic(), &e.platformTraffic)
}
