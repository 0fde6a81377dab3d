package direct

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/entry/hedging"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/roster"
)

// latencyBuckets range from 5 ms to 9.2 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(5*time.Millisecond, 1.6, 17)

// errorBuckets range from 0.5 s earlier to 1 s later than predicted.
var errorBuckets = tally.MustMakeLinearDurationBuckets(-500*time.Millisecond, 50*time.Millisecond, 31)

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

// meters holds the metrics of the entry.
type meters struct {
	scope tally.Scope
	// placementTime measures the time from the arrival of a request to the start of an
	// attempt, firstEventTime that from the start of an attempt to the first event of its
	// stream, eventGap that between two events, and requestTime that from the arrival of
	// a request to its end.
	placementTime, firstEventTime, eventGap, requestTime tally.Histogram
	// queueTime measures how long requests wait in the queues of ranked services.
	queueTime tally.Histogram
	// published holds the targets of the last update.
	published map[roster.TargetID]contract.ServiceName
}

func newMeters(scope tally.Scope) *meters {
	scope = scope.SubScope("entry")
	return &meters{
		scope:          scope,
		placementTime:  scope.Histogram("placement_time", latencyBuckets),
		firstEventTime: scope.Histogram("first_event_time", latencyBuckets),
		eventGap:       scope.Histogram("event_gap", latencyBuckets),
		requestTime:    scope.Histogram("request_time", latencyBuckets),
		queueTime:      scope.Histogram("queue_time", latencyBuckets),
	}
}

// transferEventNames are the values of the label event.
var transferEventNames = map[weightcache.TransferEvent]string{
	weightcache.TransferDeferred:   "deferred",
	weightcache.TransferResumed:    "resumed",
	weightcache.TransferSuperseded: "superseded",
}

// countTransferEvent counts versions of weights that wait for others, go on, or are no longer needed.
func (m *meters) countTransferEvent(e weightcache.TransferEvent) {
	m.scope.Tagged(map[string]string{"event": transferEventNames[e]}).Counter("weight_transfers").Inc(1)
}

// countRequest counts a request by kind, status and reason, and a late one once more.
func (m *meters) countRequest(c *call, status int, reason contract.Reason) {
	kind := "none"
	if c.route != nil {
		kind = kindNames[c.route.Kind]
	}
	tags := map[string]string{"kind": kind, "status": strconv.Itoa(status), "reason": string(reason)}
	m.scope.Tagged(tags).Counter("requests").Inc(1)
	if c.isLate() {
		m.scope.Tagged(map[string]string{"kind": kind}).Counter("late_requests").Inc(1)
	}
	m.requestTime.RecordDuration(time.Since(c.arrived))
}

// countAttempt counts an attempt by its outcome.
func (m *meters) countAttempt(o attempts.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": outcomeNames[o]}).Counter("attempts").Inc(1)
}

// recordPrediction records by how much the first event of an attempt came later than predicted, and counts
// the attempt if it was predicted to come within the objective and did not; 0 means no objective.
func (m *meters) recordPrediction(service contract.ServiceName, predicted, observed, objective time.Duration) {
	scope := m.scope.Tagged(map[string]string{"service": string(service)})
	scope.Histogram("prediction_error", errorBuckets).RecordDuration(observed - predicted)
	if objective > 0 && predicted <= objective && observed > objective {
		scope.Counter("late_predictions").Inc(1)
	}
}

// countSent counts an attempt that was sent, by its target.
func (m *meters) countSent(service contract.ServiceName, id roster.TargetID) {
	m.scope.Tagged(map[string]string{"service": string(service), "target": string(id)}).Counter("target_attempts").Inc(1)
}

// countStoreRestore counts a return of the store from an older copy.
func (m *meters) countStoreRestore() { m.scope.Counter("store_restores").Inc(1) }

// countRemotePull counts a pull of operators' records from an entry of another zone, by its result.
func (m *meters) countRemotePull(result string) {
	m.scope.Tagged(map[string]string{"result": result}).Counter("remote_pulls").Inc(1)
}

// countAvoidedCopy counts a copy of large operators' records that was not read from the store.
func (m *meters) countAvoidedCopy(reason feed.AvoidedCopy) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("copies_avoided").Inc(1)
}

// countSlowCaller counts an attempt that is given up since its caller does not take the answer.
func (m *meters) countSlowCaller() { m.scope.Counter("slow_callers").Inc(1) }

// countSilence counts an attempt whose target has fallen silent.
func (m *meters) countSilence() { m.scope.Counter("target_silences").Inc(1) }

// countHedge counts an attempt that is sent beside one whose target is silent.
func (m *meters) countHedge() { m.scope.Counter("hedges").Inc(1) }

// countHedgeResult counts a hedge beside a slow target by what became of it, its start included.
func (m *meters) countHedgeResult(result hedgeResult) {
	m.scope.Tagged(map[string]string{"result": string(result)}).Counter("slow_hedges").Inc(1)
}

// countHedgeRefusal counts an attempt at a slow target that got no hedge, by the rule. One that several
// rules forbade in turn counts for each.
func (m *meters) countHedgeRefusal(r hedging.Refusal) {
	m.scope.Tagged(map[string]string{"reason": string(r)}).Counter("slow_hedges_not_allowed").Inc(1)
}

// countUnanswered counts a connection that ends without a response to what was read from it.
func (m *meters) countUnanswered() { m.scope.Counter("unanswered_connections").Inc(1) }

// countPanic counts a request whose handling panicked.
func (m *meters) countPanic() { m.scope.Counter("panics").Inc(1) }

// countCrash counts an attempt that ended with the crash of its target.
func (m *meters) countCrash() { m.scope.Counter("target_crashes").Inc(1) }

// countRetry counts a request that is sent again, by the outcome of the last attempt.
func (m *meters) countRetry(o attempts.Outcome) {
	m.scope.Tagged(map[string]string{"outcome": outcomeNames[o]}).Counter("retries").Inc(1)
}

// countQueued counts a request of a ranked service that waits for room.
func (m *meters) countQueued(rank int) { m.ofRank(rank).Counter("queued_requests").Inc(1) }

// countDequeued counts the end of a wait for room, and measures it. kind is empty if the request was
// placed.
func (m *meters) countDequeued(rank int, kind refusalKind, wait time.Duration) {
	if kind == "" {
		m.ofRank(rank).Counter("dispatched_requests").Inc(1)
	}
	m.queueTime.RecordDuration(wait)
}

// countRankRefusal counts a request of a ranked service that found no target.
func (m *meters) countRankRefusal(rank int, kind refusalKind) {
	m.scope.Tagged(map[string]string{"rank": rankTag(rank), "reason": string(kind)}).Counter("rank_refusals").Inc(1)
}

func (m *meters) ofRank(rank int) tally.Scope {
	return m.scope.Tagged(map[string]string{"rank": rankTag(rank)})
}

func rankTag(rank int) string { return strconv.Itoa(min(max(rank, 0), maxRank)) }

// updateGauges publishes the entry's view of the fleet.
func (m *meters) updateGauges(e *Entry) {
	s := e.fleet.snapshot()
	m.scope.Gauge("targets").Update(float64(s.targets))
	m.scope.Gauge("targets_out").Update(float64(s.ejected))
	m.scope.Gauge("manifest_version").Update(float64(s.manifestVersion))
	m.scope.Gauge("manifest_age_seconds").Update(s.manifestAge.Seconds())
	metrics.ReportStoreCalls(m.scope, e.store.ResultCounts())
	m.scope.Gauge("store_era").Update(float64(e.store.Era()))
	metrics.ReportLinks(m.scope, e.peers.Traffic())
	m.scope.Gauge("linked_peers").Update(float64(e.peers.LinkedCount()))
	m.scope.Gauge("member_rewrites").Update(float64(e.peers.RewrittenCount()))
	m.scope.Gauge("members_removed").Update(float64(e.peers.RemovedCount()))
	m.scope.Gauge("log_lines_left_out").Update(float64(logs.DroppedLines()))
	m.scope.Gauge("open_requests").Update(float64(e.openRequests.Load()))
	m.updateTargetGauges(s.targetStates)
	for service, left := range s.retryBudgets {
		m.scope.Tagged(map[string]string{"service": string(service)}).Gauge("retry_budget_left").Update(left)
	}
	for service, pr := range s.predictions {
		scope := m.scope.Tagged(map[string]string{"service": string(service)})
		scope.Gauge("mean_pace_percent").Update(pr.meanPace)
		scope.Gauge("prediction_correction_seconds").Update(pr.correction.Seconds())
	}
}

// updateTargetGauges publishes the state of each target, and resets the gauges of those
// that left the target list.
func (m *meters) updateTargetGauges(states []targetState) {
	departed := m.published
	m.published = make(map[roster.TargetID]contract.ServiceName, len(states))
	for _, t := range states {
		scope := m.scope.Tagged(map[string]string{"service": string(t.service), "target": string(t.id)})
		scope.Gauge("target_version").Update(float64(t.version))
		scope.Gauge("target_in_flight").Update(float64(t.inFlight))
		scope.Gauge("target_listed_age_seconds").Update(t.listedAge.Seconds())
		scope.Gauge("target_limit_per_second").Update(t.limit)
		m.published[t.id] = t.service
		delete(departed, t.id)
	}
	for id, service := range departed {
		scope := m.scope.Tagged(map[string]string{"service": string(service), "target": string(id)})
		scope.Gauge("target_version").Update(0)
		scope.Gauge("target_in_flight").Update(0)
		scope.Gauge("target_limit_per_second").Update(noLimit)
		scope.Gauge("target_listed_age_seconds").Update(departedAge)
	}
}

// departedAge is published as the listed age of a target that has left the target list.
const departedAge = -1

// noLimit is published as the limit of a target that is not known to limit its rate.
const noLimit = -1

// snapshot summarizes the entry's view of the fleet for its metrics.
type snapshot struct {
	targets, ejected int
	manifestVersion  int64
	manifestAge      time.Duration
	retryBudgets     map[contract.ServiceName]float64
	targetStates     []targetState
	predictions      map[contract.ServiceName]predictionState
}

// predictionState is what the predictions of a service assume: the mean pace of its targets in percent, 0 if they
// report none, and the correction.
type predictionState struct {
	meanPace   float64
	correction time.Duration
}

// targetState is the entry's view of a target: the version that it serves, the attempts
// of this entry in flight there, the age of its listing, and the rate in requests a second
// to which it limits all entries together, or noLimit.
type targetState struct {
	service   contract.ServiceName
	id        roster.TargetID
	version   int64
	inFlight  int
	listedAge time.Duration
	limit     float64
}

func (fs *fleetState) snapshot() snapshot {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	s := snapshot{targets: fs.roster.Len(), retryBudgets: map[contract.ServiceName]float64{}, predictions: map[contract.ServiceName]predictionState{}}
	now := time.Now()
	for name, p := range fs.pools {
		s.ejected += p.EjectedCount(now)
		s.predictions[name] = predictionState{p.MeanPace(now), p.Correction(now)}
		inFlight := p.InFlight()
		for _, t := range fs.roster.Members(name) {
			s.targetStates = append(s.targetStates, targetState{
				service: name, id: t.ID, version: t.Version(now, fs.modelLayers(name)), inFlight: inFlight[t.ID], listedAge: now.Sub(t.ListedAt),
				limit: fs.limitOf(t),
			})
		}
	}
	for name, b := range fs.retryBudgets {
		s.retryBudgets[name] = b.Remaining(now)
	}
	if fs.manifest != nil {
		s.manifestVersion, s.manifestAge = fs.manifest.Version, now.Sub(fs.manifestAppliedAt)
	}
	return s
}
