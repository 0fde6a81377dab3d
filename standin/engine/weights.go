package engine

import (
	"io"
	"net/http"
	"strconv"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights"
)

// staging is a version on its way into the engine.
type staging struct {
	manifest *weights.Manifest
	held     []bool
	count    int
}

func (s *staging) whole() bool {
	return s != nil && s.count == len(s.held)
}

func (e *Engine) serveManifest(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "manifest too long or cut", http.StatusRequestEntityTooLarge)
		return
	}
	digest := contract.Digest(r.PathValue("digest"))
	manifest, err := weights.DecodeManifest(data, digest)
	if err != nil {
		http.Error(w, err.Error(), http.StatusUnprocessableEntity)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staging[digest] == nil {
		e.staging[digest] = &staging{manifest: manifest, held: make([]bool, manifest.Chunks())}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveChunk(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "chunk too long or cut", http.StatusRequestEntityTooLarge)
		return
	}
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		http.Error(w, "index must be a whole number", http.StatusBadRequest)
		return
	}
	status := e.stage(contract.Digest(r.PathValue("digest")), index, data)
	w.WriteHeader(status)
}

// stage marks a chunk as held and returns the status of the call.
func (e *Engine) stage(digest contract.Digest, index int, data []byte) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.staging[digest]
	if s == nil || index < 0 || index >= len(s.held) {
		return http.StatusNotFound
	}
	if s.manifest.Verify(index, data) != nil {
		e.stats.ChunksRefused++
		return http.StatusUnprocessableEntity
	}
	if !s.held[index] {
		s.held[index] = true
		s.count++
	}
	e.stats.ChunksStaged++
	return http.StatusNoContent
}
