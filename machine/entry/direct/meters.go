package direct

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/roster"
)

// latencyBuckets cover 5 ms to 10 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)

var kindNames = map[catalog.Kind]string{
	catalog.Idempotent:    "idempotent",
	catalog.NonIdempotent: "non_idempotent",
	catalog.Streaming:     "streaming",
}

var outcomeNames = map[attempts.Outcome]string{
	attempts.Completed: "done",
	attempts.NotSent:   "not_sent",
	attempts.NotRun:    "not_run",
	attempts.Failed:    "failed",
	attempts.Lost:      "lost",
}

// meters counts what the entry does.
type meters struct {
	scope tally.Scope
	// placed is the time until a target was chosen, first that to the first part of
	// an answer, gap that between two events, whole that of the whole request.
	placed, first, gap, whole tally.Histogram
	// shown are the targets that were shown last.
	shown map[roster.TargetID]contract.ServiceName
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

// ended counts a request by its kind, status and reason, and a late one once more.
func (m *meters) ended(c *call, status int, reason contract.Reason) {
	kind := "none"
	if c.route != nil {
		kind = kindNames[c.route.Kind]
	}
	tags := map[string]string{"kind": kind, "status": strconv.Itoa(status), "reason": string(reason)}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	if c.isLate() {
		m.scope.Tagged(map[string]string{"kind": kind}).Counter("late_requests").Inc(1)
	}
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
	metrics.Store(m.scope, e.store.Results())
	metrics.Links(m.scope, e.peers.Traffic())
	m.scope.Gauge("linked_peers").Update(float64(e.peers.LinkedCount()))
	m.scope.Gauge("log_lines_left_out").Update(float64(logs.LeftOut()))
	m.scope.Gauge("open_requests").Update(float64(e.open.Load()))
	m.targets(v.states)
	for service, left := range v.budgets {
		m.scope.Tagged(map[string]string{"service": string(service)}).Gauge("retry_budget_left").Update(left)
	}
}

// targets shows what is believed of each target, and that some have left.
func (m *meters) targets(states []targetState) {
	left := m.shown
	m.shown = make(map[roster.TargetID]contract.ServiceName, len(states))
	for _, t := range states {
		scope := m.scope.Tagged(map[string]string{"service": string(t.service), "target": string(t.id)})
		scope.Gauge("target_version").Update(float64(t.version))
		scope.Gauge("target_in_flight").Update(float64(t.inFlight))
		scope.Gauge("target_listed_age_seconds").Update(t.age.Seconds())
		m.shown[t.id] = t.service
		delete(left, t.id)
	}
	for id, service := range left {
		scope := m.scope.Tagged(map[string]string{"service": string(service), "target": string(id)})
		scope.Gauge("target_version").Update(0)
		scope.Gauge("target_in_flight").Update(0)
		scope.Gauge("target_listed_age_seconds").Update(leftAge)
	}
}

// leftAge stands for the age of the entry of a target that has left the list.
const leftAge = -1

// overview sums up what the entry believes, for its metrics.
type overview struct {
	targets, out int
	manifest     int64
	age          time.Duration
	budgets      map[contract.ServiceName]float64
	states       []targetState
}

// targetState is what the entry believes of a target: the version that it serves, what
// this entry has there, and how old its entry in the list is.
type targetState struct {
	service  contract.ServiceName
	id       roster.TargetID
	version  int64
	inFlight int
	age      time.Duration
}

func (w *world) overview() overview {
	w.mu.Lock()
	defer w.mu.Unlock()
	v := overview{targets: w.roster.Len(), budgets: map[contract.ServiceName]float64{}}
	now := time.Now()
	for name, p := range w.pools {
		v.out += p.EjectedCount(now)
		running := p.InFlight()
		for _, t := range w.roster.Members(name) {
			v.states = append(v.states, targetState{
				service: name, id: t.ID, version: t.Version(now), inFlight: running[t.ID], age: now.Sub(t.ListedAt),
			})
		}
	}
	for name, b := range w.budgets {
		v.budgets[name] = b.Remaining(now)
	}
	if w.manifest != nil {
		v.manifest, v.age = w.manifest.Version, now.Sub(w.manifestAt)
	}
	return v
}
