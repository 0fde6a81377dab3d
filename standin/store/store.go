// Package store is a stand-in of the weight store and of the origin. It holds objects by
// name and limits the bytes per second that it serves to all callers together.
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
	// Rate limits the bytes served per second; 0 sets no limit.
	Rate float64
}

// Stats is what GET /stats shows.
type Stats struct {
	Objects     int    `json:"objects"`
	StoredBytes uint64 `json:"stored_bytes"`
	Gets        uint64 `json:"gets"`
	Puts        uint64 `json:"puts"`
	// ServedBytes counts all bytes served, ChunkBytes those of chunks.
	ServedBytes uint64 `json:"served_bytes"`
	ChunkBytes  uint64 `json:"chunk_bytes"`
	// Concurrent is the number of GETs in progress, MaxConcurrent its maximum so far.
	Concurrent    int `json:"concurrent"`
	MaxConcurrent int `json:"max_concurrent"`
}

// Store is the stand-in.
type Store struct {
	rateLimiter fault.RateLimiter

	mu      sync.Mutex
	objects map[string][]byte
	stats   Stats
}

// New returns an empty store with switchable faults.
func New(config Config) *fault.Switch {
	s := &Store{objects: map[string][]byte{}}
	s.rateLimiter.PerSecond = config.Rate
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
		http.Error(w, "object too long or truncated", http.StatusRequestEntityTooLarge)
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
	data, ok := s.beginGet(name)
	defer s.endGet()
	if !ok {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	for len(data) > 0 {
		part := data[:min(partBytes, len(data))]
		if s.rateLimiter.Wait(r.Context(), len(part)) != nil {
			return
		}
		if _, err := w.Write(part); err != nil {
			return
		}
		s.countServed(name, len(part))
		data = data[len(part):]
	}
}

// beginGet counts a GET and returns the object, if there is one.
func (s *Store) beginGet(name string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Gets++
	s.stats.Concurrent++
	s.stats.MaxConcurrent = max(s.stats.MaxConcurrent, s.stats.Concurrent)
	data, ok := s.objects[name]
	return data, ok
}

func (s *Store) endGet() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Concurrent--
}

func (s *Store) countServed(name string, n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.ServedBytes += uint64(n)
	if strings.HasPrefix(name, durable.ChunkPrefix) {
		s.stats.ChunkBytes += uint64(n)
	}
}
