package entry

import (
	"time"

	"mimosastand.example/mimosastand/internal/metrics"
)

const gaugeInterval = time.Second

// gaugeLoop shows the state of the process on the metrics page.
func (e *Entry) gaugeLoop() {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	scope := e.metrics.Scope().SubScope("entry")
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-ticker.C:
			scope.Gauge("open_requests").Update(float64(e.loop.open()))
			metrics.Traffic(scope, e.links.endpoint.Traffic(), &e.platform)
		}
	}
}
