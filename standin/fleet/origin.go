package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
)

// Origin is a stand-in of the origin of weights.
type Origin struct {
	server *httptest.Server
	chunks int

	mu sync.Mutex
	// drawn counts the pieces sent; corrupt spoils every so manieth.
	drawn   int
	corrupt int
	// away keeps all requests without an answer.
	away bool
}

// NewOrigin starts an origin whose versions have a number of chunks.
func NewOrigin(chunks int) *Origin {
	o := &Origin{chunks: chunks}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/manifest/{model}", o.manifest)
	mux.HandleFunc("GET /-/piece/{model}", o.piece)
	o.server = httptest.NewServer(o.guard(mux))
	return o
}

// Address is the origin's "ip:port".
func (o *Origin) Address() string { return strings.TrimPrefix(o.server.URL, "http://") }

// Close stops the origin.
func (o *Origin) Close() {
	o.server.CloseClientConnections()
	o.server.Close()
}

// SetAway has the origin answer nothing, or answer again.
func (o *Origin) SetUnresponsive(away bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.away = away
}

func (o *Origin) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.mu.Lock()
		away := o.away
		o.mu.Unlock()
		if away {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Drawn is the number of pieces sent.
func (o *Origin) PiecesServed() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.drawn
}

// CorruptEvery spoils every n-th piece; 0 spoils none.
func (o *Origin) CorruptEvery(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corrupt = n
}

// Piece is a piece of a version.
func Piece(version int64, index int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("v%d piece %d;", version, index), 200))
}

// Digest is the hash of a piece, in hexadecimal.
func PieceDigest(version int64, index int) string {
	sum := sha256.Sum256(Piece(version, index))
	return hex.EncodeToString(sum[:])
}

func (o *Origin) manifest(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	var digests []string
	for i := range o.chunks {
		digests = append(digests, PieceDigest(version, i))
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"model": r.PathValue("model"), "version": version, "digests": digests})
}

func (o *Origin) piece(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	o.mu.Lock()
	o.drawn++
	spoil := o.corrupt > 0 && o.drawn%o.corrupt == 0
	o.mu.Unlock()
	data := Piece(version, index)
	if spoil {
		data = append([]byte("!"), data[1:]...)
	}
	_, _ = w.Write(data)
}
