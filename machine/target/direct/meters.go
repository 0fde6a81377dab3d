package direct

import (
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// meters holds the metrics of the process beside an engine.
type meters struct{ scope tally.Scope }

func newMeters(scope tally.Scope) *meters { return &meters{scope: scope.SubScope("target")} }

// countResult increments a counter by the result of an operation, "ok" or "failed".
func (m *meters) countResult(name string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.scope.Tagged(map[string]string{"result": result}).Counter(name).Inc(1)
}

// countCorruptPiece counts a staged piece that was unreadable or corrupt.
func (m *meters) countCorruptPiece() { m.scope.Counter("pieces_spoilt").Inc(1) }

// countProof counts an attempt to prove that an engine has loaded sound weights, by its result: "sound",
// "unsound", or "failed" if the staged pieces could not be read.
func (m *meters) countProof(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("proofs").Inc(1)
}

// countSuccession counts a fetch or load that was deferred, resumed or superseded.
func (m *meters) countSuccession(event string) {
	m.scope.Tagged(map[string]string{"event": event}).Counter("successions").Inc(1)
}

// countStoreRestore counts a return of the store from an older copy.
func (m *meters) countStoreRestore() { m.scope.Counter("store_restores").Inc(1) }

// updateGauges sets the gauges to the present state of the process.
func (m *meters) updateGauges(t *Target) {
	metrics.ReportStoreCalls(m.scope, t.store.ResultCounts())
	m.scope.Gauge("store_era").Update(float64(t.store.Era()))
	metrics.ReportLinks(m.scope, t.peers.Traffic())
	m.scope.Gauge("log_lines_left_out").Update(float64(logs.DroppedLines()))
	m.scope.Gauge("linked_peers").Update(float64(t.peers.LinkedCount()))
	m.scope.Gauge("member_rewrites").Update(float64(t.peers.RewrittenCount()))
	s := t.reconciler.snapshot()
	m.scope.Gauge("engine_up").Update(s.up)
	m.scope.Gauge("engine_busy").Update(s.busy)
	m.scope.Gauge("engine_version").Update(float64(s.loaded))
	m.scope.Gauge("engine_report_age_seconds").Update(s.reportAge.Seconds())
	if v, _, ok := t.desiredVersion(); ok {
		m.scope.Gauge("wanted_version").Update(float64(v.Number))
		if since := t.behindSince(v.Model, s.loaded); !since.IsZero() {
			m.scope.Gauge("behind_seconds").Update(time.Since(since).Seconds())
		} else {
			m.scope.Gauge("behind_seconds").Update(0)
		}
	}
	m.scope.Gauge("pieces_held").Update(float64(s.pieceCount))
}

// snapshot is the state of the reconciler that metrics show.
type snapshot struct {
	// up and busy are 1 if the engine answers or is busy, and 0 otherwise.
	up, busy float64
	// loaded is the version that the engine has loaded completely; 0 if there is none.
	loaded int64
	// reportAge is the time since the engine's last report; 0 if there was none.
	reportAge time.Duration
	// pieceCount is how many pieces of the newest candidate have been fetched.
	pieceCount int
}

func (r *reconciler) snapshot() snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := snapshot{loaded: r.loadedVersion()}
	if r.up {
		s.up = 1
	}
	if r.report.Busy {
		s.busy = 1
	}
	if !r.reportedAt.IsZero() {
		s.reportAge = time.Since(r.reportedAt)
	}
	if n := len(r.candidates); n > 0 && r.candidates[n-1].set != nil {
		s.pieceCount = r.candidates[n-1].set.Count()
	}
	return s
}
