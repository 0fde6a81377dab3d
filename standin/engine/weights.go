package engine

import (
	"io"
	"net/http"
	"strconv"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/weights"
)

// stagedVersion is a version whose chunks are being staged.
type stagedVersion struct {
	manifest  *weights.Manifest
	held      []bool
	heldCount int
}

func (s *stagedVersion) isComplete() bool {
	return s != nil && s.heldCount == len(s.held)
}

func (e *Engine) serveManifest(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "manifest too long or truncated", http.StatusRequestEntityTooLarge)
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
		e.staging[digest] = &stagedVersion{manifest: manifest, held: make([]bool, manifest.Chunks())}
	}
	w.WriteHeader(http.StatusNoContent)
}

func (e *Engine) serveChunk(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "chunk too long or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	index, err := strconv.Atoi(r.PathValue("index"))
	if err != nil {
		http.Error(w, "index must be a whole number", http.StatusBadRequest)
		return
	}
	status := e.stageChunk(contract.Digest(r.PathValue("digest")), index, data)
	w.WriteHeader(status)
}

// stageChunk verifies a chunk, marks it as held and returns the status of the reply.
func (e *Engine) stageChunk(digest contract.Digest, index int, data []byte) int {
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
		s.heldCount++
	}
	e.stats.ChunksStaged++
	return http.StatusNoContent
}
