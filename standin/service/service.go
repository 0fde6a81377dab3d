// Package service is a stand-in of a plain service that counts its effects.
//
// POST /effect makes one effect and echoes the body and the request identifier;
// a GET of any other path echoes the path.
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
	// Delay is the time that a call takes.
	Delay time.Duration
	// Limit is how many calls the service reports that it bears.
	Limit int
	// Books, if set, are shared with other back ends of the same service, so that
	// an effect is seen to double over all of them.
	Effects *EffectLog
	// NoReport leaves GET /report unanswered with 404.
	NoReport bool
}

// Books hold the identities of all effects made so far.
type EffectLog struct {
	mu       sync.Mutex
	keys     map[string]bool
	requests map[string]bool
}

// NewBooks returns empty books.
func NewEffectLog() *EffectLog {
	return &EffectLog{keys: map[string]bool{}, requests: map[string]bool{}}
}

// enter notes an effect and reports whether its key and its request came before.
func (b *EffectLog) enter(key, request string) (keyDoubled, requestDoubled bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keyDoubled = key != "" && b.keys[key]
	requestDoubled = request != "" && b.requests[request]
	b.keys[key] = true
	b.requests[request] = true
	return keyDoubled, requestDoubled
}

// Stats is what GET /stats shows.
type Stats struct {
	Calls   uint64 `json:"calls"`
	Effects uint64 `json:"effects"`
	// DoubledByKey and DoubledByRequest count effects beyond the first with the
	// same Idempotency-Key or X-Request-Id.
	DoubledByKey     uint64 `json:"doubled_by_key"`
	DoubledByRequest uint64 `json:"doubled_by_request"`
	Running          int    `json:"running"`
	MaxRunning       int    `json:"max_running"`
	// Cancelled counts calls whose caller went away before the answer.
	Cancelled uint64 `json:"cancelled"`
	// OverLimit counts calls that arrived above the limit.
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
		http.Error(w, "body too long or cut", http.StatusRequestEntityTooLarge)
		return
	}
	s.begin()
	defer s.end(r)
	if r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodOptions {
		s.effect(r)
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

func (s *Service) begin() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Calls++
	s.stats.Running++
	s.stats.MaxRunning = max(s.stats.MaxRunning, s.stats.Running)
	if s.config.Limit > 0 && s.stats.Running > s.config.Limit {
		s.stats.OverLimit++
	}
}

func (s *Service) end(r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Running--
	if r.Context().Err() != nil {
		s.stats.Cancelled++
	}
}

func (s *Service) effect(r *http.Request) {
	keyDoubled, requestDoubled := s.config.Effects.enter(r.Header.Get("Idempotency-Key"), r.Header.Get("X-Request-Id"))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Effects++
	if keyDoubled {
		s.stats.DoubledByKey++
	}
	if requestDoubled {
		s.stats.DoubledByRequest++
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
