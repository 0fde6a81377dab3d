package direct

import (
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
)

// meterInterval is the time between two updates of what the process believes.
const meterInterval = time.Second

// meters counts what the process does for its engine.
type meters struct{ scope tally.Scope }

func newMeters(scope tally.Scope) *meters { return &meters{scope: scope.SubScope("target")} }

// counted counts something that was done, or failed.
func (m *meters) counted(name string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}

// spoilt counts a staged piece that was not right.
func (m *meters) spoilt() { m.scope.Counter("pieces_spoilt").Inc(1) }

// show shows what the process believes.
func (m *meters) show(t *Target) {
	metrics.Store(m.scope, t.store.Results())
	metrics.Links(m.scope, t.peers.Traffic())
	m.scope.Gauge("log_lines_left_out").Update(float64(logs.LeftOut()))
	m.scope.Gauge("linked_peers").Update(float64(t.peers.LinkedCount()))
	k := t.keeper.overview()
	m.scope.Gauge("engine_up").Update(k.up)
	m.scope.Gauge("engine_busy").Update(k.busy)
	m.scope.Gauge("engine_version").Update(float64(k.loaded))
	m.scope.Gauge("engine_report_age_seconds").Update(k.age.Seconds())
	if v, _, ok := t.wanted(); ok {
		m.scope.Gauge("wanted_version").Update(float64(v.Number))
		if since := t.behindSince(v.Model, k.loaded); !since.IsZero() {
			m.scope.Gauge("behind_seconds").Update(time.Since(since).Seconds())
		} else {
			m.scope.Gauge("behind_seconds").Update(0)
		}
	}
	m.scope.Gauge("pieces_held").Update(float64(k.held))
}

// overview is what the keeper believes, for the metrics.
type overview struct {
	up, busy float64
	loaded   int64
	// age is how old the engine's report is.
	age time.Duration
	// held is the number of pieces of the newest goal.
	held int
}

func (k *keeper) overview() overview {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := overview{loaded: k.whole()}
	if k.up {
		o.up = 1
	}
	if k.report.Busy {
		o.busy = 1
	}
	if !k.reportedAt.IsZero() {
		o.age = time.Since(k.reportedAt)
	}
	if n := len(k.goals); n > 0 && k.goals[n-1].set != nil {
		o.held = k.goals[n-1].set.Count()
	}
	return o
}
