package direct

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
)

// latencyBuckets cover 5 ms to 10 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)

var kindNames = map[catalog.Kind]string{
	catalog.Idempotent:    "idempotent",
	catalog.NonIdempotent: "non_idempotent",
	catalog.Streaming:     "streaming",
}

var outcomeNames = map[attempts.Outcome]string{
	attempts.Done:    "done",
	attempts.NotSent: "not_sent",
	attempts.NotRun:  "not_run",
	attempts.Failed:  "failed",
	attempts.Lost:    "lost",
}

// meters counts what the entry does.
type meters struct {
	scope tally.Scope
	// placed is the time until a target was chosen, first that to the first part of
	// an answer, gap that between two events, whole that of the whole request.
	placed, first, gap, whole tally.Histogram
}

func newMeters(scope tally.Scope) *meters {
	scope = scope.SubScope("entry")
	return &meters{
		scope:  scope,
		placed: scope.Histogram("placement_time", latencyBuckets),
		first:  scope.Histogram("first_event_time", latencyBuckets),
		gap:    scope.Histogram("event_gap", latencyBuckets),
		whole:  scope.Histogram("request_time", latencyBuckets),
	}
}

// ended counts a request by its kind, status and reason.
func (m *meters) ended(c *call, status int, reason contract.Reason) {
	kind := "none"
	if c.route != nil {
		kind = kindNames[c.route.Kind]
	}
	tags := map[string]string{"kind": kind, "status": strconv.Itoa(status), "reason": string(reason)}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	m.whole.RecordDuration(time.Since(c.arrived))
}

// attempted counts an attempt by its outcome.
func (m *meters) attempted(o attempts.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": outcomeNames[o]}).Counter("attempts").Inc(1)
}

// retried counts a request that is sent again.
func (m *meters) retried(o attempts.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": outcomeNames[o]}).Counter("retries").Inc(1)
}

// world shows what the entry believes.
func (m *meters) world(e *Entry) {
	v := e.world.overview()
	m.scope.Gauge("targets").Update(float64(v.targets))
	m.scope.Gauge("targets_out").Update(float64(v.out))
	m.scope.Gauge("manifest_version").Update(float64(v.manifest))
	m.scope.Gauge("manifest_age_seconds").Update(v.age.Seconds())
	m.scope.Gauge("store_calls").Update(float64(e.store.Calls()))
	m.scope.Gauge("open_requests").Update(float64(e.open.Load()))
	for service, left := range v.budgets {
		m.scope.Tagged(map[string]string{"service": string(service)}).Gauge("retry_budget_left").Update(left)
	}
}

// overview sums up what the entry believes, for its metrics.
type overview struct {
	targets, out int
	manifest     int64
	age          time.Duration
	budgets      map[contract.ServiceName]float64
}

func (w *world) overview() overview {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := overview{targets: w.roster.Len(), budgets: map[contract.ServiceName]float64{}}
	now := time.Now()
	for _, p := range w.pools {
		v.out += p.Out(now)
	}
	for name, b := range w.budgets {
		v.budgets[name] = b.Left(now)
	}
	if w.manifest != nil {
		v.manifest, v.age = w.manifest.Version, now.Sub(w.manifestAt)
	}
	return v
}
