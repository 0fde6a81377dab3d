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

// The faults of an engine beyond those of package fault.
const (
	// FaultCold makes the engine forget its warmth without changing its boot.
	FaultCold fault.Kind = "cold"
	// FaultRestart makes the engine lose its weights and all work.
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

	// coldSince and coldWork tell how far a cold start has come.
	warm      bool
	coldSince time.Time
	coldWork  int
	slowUntil time.Time

	running map[string]*work
	ids     *ring[string]
	staging map[contract.Digest]*staging
	kv      *ring[string]
	cache   *prefixCache

	seq       uint64
	snapshots []snapshot
}

// New returns an engine with switchable faults.
func New(config Config) *fault.Switch {
	e := &Engine{config: config, role: config.Role, active: config.Digest}
	e.reset()
	e.warm = config.Digest != ""
	e.observe(time.Now())
	own := map[fault.Kind]func(){FaultCold: e.turnCold, FaultRestart: e.restart}
	return fault.Wrap(e.routes(), e.statsPage, own)
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

// reset puts the engine into the state after its start.
func (e *Engine) reset() {
	e.boot = fmt.Sprintf("%016x", rand.Uint64())
	e.stats.Boots++
	e.fence = 0
	e.running = map[string]*work{}
	e.ids = newRing[string](keptIDs)
	e.staging = map[contract.Digest]*staging{}
	e.kv = newRing[string](keptKV)
	e.cache = newPrefixCache()
	e.snapshots = nil
	e.beginCold(time.Now())
}

func (e *Engine) beginCold(now time.Time) {
	e.warm = false
	e.coldSince = now
	e.coldWork = 0
}

func (e *Engine) turnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.beginCold(time.Now())
	e.observe(time.Now())
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
	e.observe(time.Now())
}

// refresh ends the cold start when its time is over.
func (e *Engine) refresh(now time.Time) {
	if e.warm || e.active == "" {
		return
	}
	cold := now.Sub(e.coldSince)
	worked := cold >= e.config.ColdStart && e.coldWork > 0
	if worked || cold >= idleFactor*e.config.ColdStart {
		e.warm = true
		e.observe(now)
	}
}

func (e *Engine) limit() int {
	if e.warm {
		return e.config.WarmLimit
	}
	return e.config.ColdLimit
}

func (e *Engine) statsPage() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refresh(time.Now())
	stats := e.stats
	stats.Running = len(e.running)
	stats.Digest = e.active
	stats.Adapters = e.adapters
	stats.Warm = e.warm
	return stats
}

// snapshot is the state of the engine at one time, for the lagging report.
type snapshot struct {
	at      time.Time
	digest  contract.Digest
	role    string
	warm    bool
	running int
	limit   int
}

// observe keeps a snapshot and drops those that no report needs any more.
func (e *Engine) observe(now time.Time) {
	e.snapshots = append(e.snapshots, snapshot{
		at: now, digest: e.active, role: e.role, warm: e.warm, running: len(e.running), limit: e.limit(),
	})
	e.shown(now)
}

// shown returns the newest snapshot that is at least as old as the lag.
func (e *Engine) shown(now time.Time) snapshot {
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
	e.refresh(now)
	e.seq++
	s := e.shown(now)
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
	writeJSON(w, e.cache.published(after, time.Now().Add(-e.config.ReportLag)))
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readJSON decodes a body and answers 400 if it cannot.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}
