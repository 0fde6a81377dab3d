// Package service is a stand-in of a plain service that counts its effects.
//
// Each call that is not a GET, HEAD or OPTIONS, such as POST /effect, has one effect,
// whatever its path. Every call is answered with an echo of its request identifier, key,
// method, path and body.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"mimosastand.example/mimosastand/standin/fault"
)

const maxBodyBytes = 1 << 20

// Config holds the settings of a plain service.
type Config struct {
	// Delay is the duration of a call.
	Delay time.Duration
	// Limit is the number of concurrent calls that the service reports as its limit. Calls
	// above the limit are served and counted.
	Limit int
	// Effects, if set, is shared with other back ends of the same service, so that an
	// effect that is repeated at a different back end is detected.
	Effects *EffectLog
	// NoReport is set if GET /report is answered with status 404.
	NoReport bool
}

// EffectLog records the identities of all effects so far.
type EffectLog struct {
	mu       sync.Mutex
	keys     map[string]bool
	requests map[string]bool
}

// NewEffectLog returns an empty log.
func NewEffectLog() *EffectLog {
	return &EffectLog{keys: map[string]bool{}, requests: map[string]bool{}}
}

// record records an effect and reports whether an earlier effect had the same key or the
// same request identifier.
func (l *EffectLog) record(key, request string) (keyRepeated, requestRepeated bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	keyRepeated = key != "" && l.keys[key]
	requestRepeated = request != "" && l.requests[request]
	l.keys[key] = true
	l.requests[request] = true
	return keyRepeated, requestRepeated
}

// Stats is what GET /stats shows.
type Stats struct {
	Calls   uint64 `json:"calls"`
	Effects uint64 `json:"effects"`
	// DoubledByKey and DoubledByRequest count the effects after the first one with the same
	// Idempotency-Key or X-Request-Id.
	DoubledByKey     uint64 `json:"doubled_by_key"`
	DoubledByRequest uint64 `json:"doubled_by_request"`
	Running          int    `json:"running"`
	MaxRunning       int    `json:"max_running"`
	// Cancelled counts calls whose caller disconnected before the answer.
	Cancelled uint64 `json:"cancelled"`
	// OverLimit counts calls that exceeded the limit.
	OverLimit uint64 `json:"over_limit"`
}

// Echo is the answer to a call.
type Echo struct {
	Request string `json:"request"`
	Key     string `json:"key,omitempty"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body,omitempty"`
}

// Service is the stand-in.
type Service struct {
	config Config

	mu    sync.Mutex
	stats Stats
}

// New returns a plain service with switchable faults.
func New(config Config) *fault.Switch {
	if config.Effects == nil {
		config.Effects = NewEffectLog()
	}
	s := &Service{config: config}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /report", s.serveReport)
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/", s.serveCall)
	return fault.Wrap(mux, s.snapshot, nil)
}

func (s *Service) snapshot() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Service) serveReport(w http.ResponseWriter, r *http.Request) {
	if s.config.NoReport {
		http.NotFound(w, r)
		return
	}
	s.mu.Lock()
	report := map[string]int{"running": s.stats.Running, "limit": s.config.Limit}
	s.mu.Unlock()
	writeJSON(w, report)
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too long or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	s.beginCall()
	defer s.endCall(r)
	if r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions {
		s.recordEffect(r)
	}
	time.Sleep(s.config.Delay)
	writeJSON(w, Echo{
		Request: r.Header.Get("X-Request-Id"),
		Key:     r.Header.Get("Idempotency-Key"),
		Method:  r.Method,
		Path:    r.URL.Path,
		Body:    string(body),
	})
}

func (s *Service) beginCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	s.stats.Running++
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.stats.Running)
	if s.config.Limit > 0 && s.stats.Running > s.config.Limit {
		s.stats.OverLimit++
	}
}

func (s *Service) endCall(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	if r.Context().Err() != nil {
		s.stats.Cancelled++
	}
}

func (s *Service) recordEffect(r *http.Request) {
	keyRepeated, requestRepeated := s.config.Effects.record(r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-Id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Effects++
	if keyRepeated {
		s.stats.DoubledByKey++
	}
	if requestRepeated {
		s.stats.DoubledByRequest++
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
