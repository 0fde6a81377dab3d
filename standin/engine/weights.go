package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"lukechampine.com/blake3"

	"mimosastand.example/mimosastand/contract"
)

// chunkInfo is what a manifest says of one chunk.
type chunkInfo struct {
	Digest contract.Digest `json:"digest"`
	Size   int64           `json:"size"`
}

// decodeManifest returns the chunks that a manifest lists.
func decodeManifest(data []byte) ([]chunkInfo, error) {
	var manifest struct {
		Chunks []chunkInfo `json:"chunks"`
	}
	err := json.Unmarshal(data, &manifest)
	return manifest.Chunks, err
}

// staging is a version on its way into the engine.
type staging struct {
	chunks []chunkInfo
	held   []bool
	count  int
}

func (s *staging) whole() bool {
	return s != nil && s.count == len(s.chunks)
}

func (e *Engine) serveManifest(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "manifest too long or cut", http.StatusRequestEntityTooLarge)
		return
	}
	digest := contract.Digest(r.PathValue("digest"))
	chunks, err := decodeManifest(data)
	if err != nil || contract.NewDigest(blake3.Sum256(data)) != digest {
		http.Error(w, "manifest does not match its digest", http.StatusUnprocessableEntity)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.staging[digest] == nil {
		e.staging[digest] = &staging{chunks: chunks, held: make([]bool, len(chunks))}
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
	sum := contract.NewDigest(blake3.Sum256(data))
	status := e.stage(contract.Digest(r.PathValue("digest")), index, sum)
	w.WriteHeader(status)
}

// stage marks a chunk as held and returns the status of the call.
func (e *Engine) stage(digest contract.Digest, index int, sum contract.Digest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.staging[digest]
	if s == nil || index < 0 || index >= len(s.chunks) {
		return http.StatusNotFound
	}
	if s.chunks[index].Digest != sum {
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
