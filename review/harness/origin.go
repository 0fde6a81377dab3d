//go:build review

package harness

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Pieces is the number of pieces of a version of the weights, pieceBytes the size of one and originMbps the rate
// of the link of the origin, as on the sheet of klaa-accounts.
const (
	Pieces     = 48
	pieceBytes = 49152
	originMbps = 15
)

// Origin is a stand-in of the origin of weights.
type Origin struct {
	server *httptest.Server
	link   sync.Mutex
}

// NewOrigin starts an origin.
func NewOrigin() *Origin {
	o := &Origin{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/manifest/{model}", serveDigests)
	mux.HandleFunc("GET /-/piece/{model}", o.servePiece)
	o.server = httptest.NewServer(mux)
	return o
}

// Address returns the "ip:port" of the origin.
func (o *Origin) Address() string { return strings.TrimPrefix(o.server.URL, "http://") }

// Close stops the origin.
func (o *Origin) Close() {
	o.server.CloseClientConnections()
	o.server.Close()
}

// piece returns a piece of a version.
func piece(version, index int) []byte {
	text := fmt.Sprintf("version %d piece %d;", version, index)
	return bytes.Repeat([]byte(text), pieceBytes/len(text)+1)[:pieceBytes]
}

// serveDigests answers with the digests of the pieces of a version.
func serveDigests(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("version"))
	var digests []string
	for i := range Pieces {
		sum := sha256.Sum256(piece(version, i))
		digests = append(digests, hex.EncodeToString(sum[:]))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"model": r.PathValue("model"), "version": version, "digests": digests})
}

// servePiece answers with a piece, at the rate of the origin's link. The protocol calls the index of a piece
// "sample_count".
func (o *Origin) servePiece(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.Atoi(r.URL.Query().Get("version"))
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	o.link.Lock()
	time.Sleep(pieceBytes * 8 * time.Second / (originMbps * 1e6))
	o.link.Unlock()
	_, _ = w.Write(piece(version, index))
}
