package engine

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/standin/fault"
)

// The faults of an engine in addition to those of package fault.
const (
	// FaultCold begins a cold start without a restart: the boot ID stays.
	FaultCold fault.Kind = "cold"
	// FaultRestart restarts the engine, which loses its weights and all running work.
	FaultRestart fault.Kind = "restart"
)

// Engine is the stand-in.
type Engine struct {
	config Config

	mu       sync.Mutex
	stats    Stats
	boot     string
	role     string
	active   contract.Digest
	adapters []string
	fence    contract.Fence

	// coldSince is when the cold start began, coldEnded how much work has ended since.
	warm      bool
	coldSince time.Time
	coldEnded int
	slowUntil time.Time

	running     map[string]*work
	attemptIDs  *recentSet[string]
	staging     map[contract.Digest]*stagedVersion
	kvCaches    *recentSet[string]
	prefixCache *prefixCache

	seq       uint64
	snapshots []snapshot
}

// New returns an engine with switchable faults.
func New(config Config) *fault.Switch {
	e := &Engine{config: config, role: config.Role, active: config.Digest}
	e.reset()
	e.warm = config.Digest != ""
	e.recordSnapshot(time.Now())
	ownFaults := map[fault.Kind]func(){FaultCold: e.forgetWarmth, FaultRestart: e.restart}
	return fault.Wrap(e.routes(), e.statsSnapshot, ownFaults)
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/generate", e.serveGenerate)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("GET /v1/report", e.serveReport)
	mux.HandleFunc("PUT /v1/weights/{digest}/manifest", e.serveManifest)
	mux.HandleFunc("PUT /v1/weights/{digest}/chunks/{index}", e.serveChunk)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("GET /v1/events", e.serveEvents)
	mux.HandleFunc("GET /v1/kv/{id...}", e.serveExport)
	mux.HandleFunc("PUT /v1/kv/{id...}", e.serveImport)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	return mux
}

// reset puts the engine into the state after a start, except for the active version, its
// adapters and the role.
func (e *Engine) reset() {
	e.boot = fmt.Sprintf("%016x", rand.Uint64())
	e.stats.Boots++
	e.fence = 0
	e.running = map[string]*work{}
	e.attemptIDs = newRecentSet[string](maxAttemptIDs)
	e.staging = map[contract.Digest]*stagedVersion{}
	e.kvCaches = newRecentSet[string](maxKVCaches)
	e.prefixCache = newPrefixCache()
	e.snapshots = nil
	e.startCold(time.Now())
}

func (e *Engine) startCold(now time.Time) {
	e.warm = false
	e.coldSince = now
	e.coldEnded = 0
}

func (e *Engine) forgetWarmth() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startCold(time.Now())
	e.recordSnapshot(time.Now())
}

func (e *Engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, w := range e.running {
		w.stop(true)
	}
	e.active = ""
	e.adapters = nil
	e.role = e.config.Role
	e.reset()
	e.recordSnapshot(time.Now())
}

// updateWarmth ends the cold start when its time is over. Without work it takes
// idleColdFactor times as long.
func (e *Engine) updateWarmth(now time.Time) {
	if e.warm || e.active == "" {
		return
	}
	cold := now.Sub(e.coldSince)
	worked := cold >= e.config.ColdStart && e.coldEnded > 0
	if worked || cold >= idleColdFactor*e.config.ColdStart {
		e.warm = true
		e.recordSnapshot(now)
	}
}

// limit returns how many requests the engine runs at once.
func (e *Engine) limit() int {
	if e.warm {
		return e.config.WarmLimit
	}
	return e.config.ColdLimit
}

func (e *Engine) statsSnapshot() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateWarmth(time.Now())
	stats := e.stats
	stats.Running = len(e.running)
	stats.Digest = e.active
	stats.Adapters = e.adapters
	stats.Warm = e.warm
	return stats
}

// snapshot is the state of the engine at a point in time. Reports lag, so they show an old
// snapshot.
type snapshot struct {
	at      time.Time
	digest  contract.Digest
	role    string
	warm    bool
	running int
	limit   int
}

// recordSnapshot records a snapshot and drops those that no report needs any more.
func (e *Engine) recordSnapshot(now time.Time) {
	e.snapshots = append(e.snapshots, snapshot{
		at: now, digest: e.active, role: e.role, warm: e.warm, running: len(e.running), limit: e.limit(),
	})
	e.reportedSnapshot(now)
}

// reportedSnapshot returns the newest snapshot that is at least as old as the report lag, or
// the oldest one if none is.
func (e *Engine) reportedSnapshot(now time.Time) snapshot {
	visible := now.Add(-e.config.ReportLag)
	for len(e.snapshots) > 1 && !e.snapshots[1].at.After(visible) {
		e.snapshots = e.snapshots[1:]
	}
	return e.snapshots[0]
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.updateWarmth(now)
	e.seq++
	s := e.reportedSnapshot(now)
	writeJSON(w, map[string]any{
		"boot": e.boot, "seq": e.seq, "digest": s.digest, "role": s.role, "warm": s.warm,
		"running": s.running, "limit": s.limit, "fencing": e.config.Fencing,
		"age_ms": e.config.ReportLag.Milliseconds(),
	})
}

func (e *Engine) serveEvents(w http.ResponseWriter, r *http.Request) {
	var after uint64
	_, _ = fmt.Sscan(r.FormValue("after"), &after)
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.prefixCache.eventsAfter(after, time.Now().Add(-e.config.ReportLag)))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes the body of a request. If it fails, it answers with status 400 and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
