package entry

import (
	"context"
	"time"

	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/periodic"
)

const gaugeInterval = time.Second

// gaugeLoop shows on the metrics page what the counters do not tell.
func (e *Entry) gaugeLoop(ctx context.Context) {
	periodic.Run(ctx, gaugeInterval, e.showGauges)
}

func (e *Entry) showGauges() {
	scope := e.metrics.Scope().SubScope("entry")
	open, queued := e.loop.load()
	scope.Gauge("requests_open").Update(float64(open))
	scope.Gauge("requests_queued").Update(float64(queued))
	metrics.Traffic(scope, e.links.endpoint.Traffic(), &e.platform)
}
