//go:build review

package review

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
)

const (
	// Model is the name of the only model.
	Model = "daka"
	// pieceCount and pieceBytes are the size of a version of the weights, as on the sheet of
	// Kalahari.
	pieceCount = 48
	pieceBytes = 49_152
	// modelLayers is the number of layers of the model.
	modelLayers = 16
)

// piece returns a piece of a version of the weights.
func piece(version int64, index int) []byte {
	text := fmt.Appendf(nil, "version %d piece %d;", version, index)
	return bytes.Repeat(text, pieceBytes/len(text)+1)[:pieceBytes]
}

// Origin is a stand-in of the origin of weights.
type Origin struct {
	server *server
}

// NewOrigin starts an origin.
func NewOrigin(address string) (*Origin, error) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/manifest/{model}", serveDigests)
	mux.HandleFunc("GET /-/piece/{model}", servePiece)
	server, err := listenAndServe(address, mux)
	return &Origin{server: server}, err
}

// Crash ends the origin for good: its port refuses connections.
func (o *Origin) Crash() { o.server.close() }

func serveDigests(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	var digests []string
	for i := range pieceCount {
		sum := sha256.Sum256(piece(version, i))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	writeJSON(w, map[string]any{
		"model": r.PathValue("model"), "version": version, "chunk_bytes": pieceBytes, "layers": modelLayers, "digests": digests,
	})
}

// servePiece answers with a piece. The protocol calls its index "sample_count".
func servePiece(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	index, err := strconv.Atoi(r.URL.Query().Get("sample_count"))
	if err != nil || index < 0 || index >= pieceCount {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(piece(version, index))
}
