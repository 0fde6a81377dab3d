// Package store is a stand-in of the weight store and of the origin: objects
// by name, paced in bytes a second over all callers together.
package store

import (
	"io"
	"net/http"
	"strings"
	"sync"

	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/standin/fault"
)

const (
	maxObjectBytes = 64 << 20
	partBytes      = 16 << 10
)

// Config holds the settings of a store.
type Config struct {
	// Rate is the pace of bytes served a second; 0 sets no limit.
	Rate float64
}

// Stats is what GET /stats shows.
type Stats struct {
	Objects     int    `json:"objects"`
	StoredBytes uint64 `json:"stored_bytes"`
	Gets        uint64 `json:"gets"`
	Puts        uint64 `json:"puts"`
	// ServedBytes counts all bytes sent, ChunkBytes those of chunks.
	ServedBytes uint64 `json:"served_bytes"`
	ChunkBytes  uint64 `json:"chunk_bytes"`
	// Concurrent and MaxConcurrent count Gets in progress.
	Concurrent    int `json:"concurrent"`
	MaxConcurrent int `json:"max_concurrent"`
}

// Store is the stand-in.
type Store struct {
	pace fault.RateLimiter

	mu      sync.Mutex
	objects map[string][]byte
	stats   Stats
}

// New returns an empty store with switchable faults.
func New(config Config) *fault.Switch {
	s := &Store{objects: map[string][]byte{}}
	s.pace.PerSecond = config.Rate
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{name...}", s.serveGet)
	mux.HandleFunc("PUT /store/{name...}", s.servePut)
	return fault.Wrap(mux, s.snapshot, nil)
}

func (s *Store) snapshot() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		http.Error(w, "object too long or cut", http.StatusRequestEntityTooLarge)
		return
	}
	name := r.PathValue("name")
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Puts++
	s.stats.StoredBytes += uint64(len(data)) - uint64(len(s.objects[name]))
	s.objects[name] = data
	s.stats.Objects = len(s.objects)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	data, ok := s.begin(name)
	defer s.end()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	for len(data) > 0 {
		part := data[:min(partBytes, len(data))]
		if s.pace.Wait(r.Context(), len(part)) != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		s.count(name, len(part))
		data = data[len(part):]
	}
}

func (s *Store) begin(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Gets++
	s.stats.Concurrent++
	s.stats.MaxConcurrent = max(s.stats.MaxConcurrent, s.stats.Concurrent)
	data, ok := s.objects[name]
	return data, ok
}

func (s *Store) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Concurrent--
}

func (s *Store) count(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.ServedBytes += uint64(n)
	if strings.HasPrefix(name, durable.ChunkPrefix) {
		s.stats.ChunkBytes += uint64(n)
	}
}
