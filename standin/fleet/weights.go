package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// LoadedCorruptPieces lists the pieces that were loaded although they are not the ones of
// their version.
func (e *Engine) LoadedCorruptPieces() []string {
	var corrupt []string
	for _, loaded := range e.LoadedPieces() {
		var version int64
		var index int
		var sum string
		_, err := fmt.Sscanf(strings.ReplaceAll(loaded, ":", " "), "%d %d %s", &version, &index, &sum)
		if err != nil || sum != PieceDigest(version, index) {
			corrupt = append(corrupt, loaded)
		}
	}
	return corrupt
}

// CorruptStagedPieces replaces all staged pieces by corrupt data.
func (e *Engine) CorruptStagedPieces() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.staged {
		e.staged[i] = []byte("rotten")
	}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{"busy": false, "seq_no": e.orders, "queue_depth": 0, "in_flight": e.running, "born": e.born}
	e.addModel(entry)
	_ = json.NewEncoder(w).Encode(entry)
}

// serveStagePut stages a piece. The protocol calls the index of the piece "sample_count".
func (e *Engine) serveStagePut(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.withLock(func() { e.staged[index] = data })
	w.WriteHeader(http.StatusOK)
}

// serveStageGet answers with a staged piece, whose index is "sample_count".
func (e *Engine) serveStageGet(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	e.mu.Lock()
	data, ok := e.staged[index]
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(data)
}

// serveOrder carries out an order to hold all layers, loaded from the staged pieces without verifying
// them, or none.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op      string `json:"op"`
		Version int64  `json:"version"`
		To      *int   `json:"to"`
		Expect  *int64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if order.Expect != nil && *order.Expect != e.orders {
		e.mu.Unlock()
		w.WriteHeader(http.StatusConflict)
		return
	}
	e.orders++
	if order.To != nil && *order.To == 0 {
		e.version = 0
	} else {
		e.loadStaged(order.Version)
	}
	state := e.state
	e.mu.Unlock()
	e.Publish(state)
	w.WriteHeader(http.StatusAccepted)
}

// loadStaged loads the staged pieces as a version; mu must be held.
func (e *Engine) loadStaged(version int64) {
	for i := range len(e.staged) {
		sum := sha256.Sum256(e.staged[i])
		e.loaded = append(e.loaded, fmt.Sprintf("%d:%d:%s", version, i, hex.EncodeToString(sum[:])))
	}
	e.version = version
}

// LoadedPieces lists "version:index:hash" of every piece that was ever loaded.
func (e *Engine) LoadedPieces() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}
