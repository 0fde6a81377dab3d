package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Origin is a stand-in of the origin of weights.
type Origin struct {
	loopbackServer
	pieceCount int

	mu sync.Mutex
	// piecesServed counts the pieces sent. Every corruptEvery-th of them is corrupt; 0 means
	// none.
	piecesServed int
	corruptEvery int
	// corruptLists is how many further lists of digests are corrupt, all alike.
	corruptLists int
	// unresponsive is set if requests get no answer.
	unresponsive bool
	// down is set if connections are closed without an answer.
	down bool
	// pieceTime is how long the link of the origin takes for one piece; link is held meanwhile.
	pieceTime time.Duration
	link      sync.Mutex
}

// NewOrigin starts an origin whose versions consist of the given number of pieces.
func NewOrigin(pieceCount int) *Origin {
	o := &Origin{pieceCount: pieceCount}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/manifest/{model}", o.serveManifest)
	mux.HandleFunc("GET /-/piece/{model}", o.servePiece)
	o.loopbackServer = newLoopbackServer(o.withFault(mux))
	return o
}

// SetUnresponsive sets whether the origin leaves requests unanswered.
func (o *Origin) SetUnresponsive(unresponsive bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unresponsive = unresponsive
}

// SetDown sets whether the origin closes connections without an answer.
func (o *Origin) SetDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
}

// SetPieceTime sets how long the link of the origin takes for one piece, of all callers together.
func (o *Origin) SetPieceTime(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pieceTime = d
}

// withFault wraps a handler with the faults of an origin that is unresponsive or down.
func (o *Origin) withFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o.mu.Lock()
		unresponsive, down := o.unresponsive, o.down
		o.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if unresponsive {
			<-r.Context().Done()
			return
		}
		next.ServeHTTP(w, r)
	})
}

// PiecesServed returns the number of pieces sent.
func (o *Origin) PiecesServed() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.piecesServed
}

// CorruptEvery has the origin corrupt every n-th piece; 0 means none.
func (o *Origin) CorruptEvery(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corruptEvery = n
}

// CorruptDigests has the origin corrupt the first digest of its next n lists, in the same way.
func (o *Origin) CorruptDigests(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.corruptLists = n
}

// Piece returns a piece of a version.
func Piece(version int64, index int) []byte {
	return []byte(strings.Repeat(fmt.Sprintf("v%d piece %d;", version, index), 200))
}

// PieceDigest returns the SHA-256 digest of a piece, in hexadecimal.
func PieceDigest(version int64, index int) string {
	sum := sha256.Sum256(Piece(version, index))
	return hex.EncodeToString(sum[:])
}

// serveManifest answers with the digests of the pieces of a version.
func (o *Origin) serveManifest(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	var digests []string
	for i := range o.pieceCount {
		digests = append(digests, PieceDigest(version, i))
	}
	o.mu.Lock()
	if o.corruptLists > 0 {
		o.corruptLists--
		digests[0] = strings.Repeat("0", len(digests[0]))
	}
	o.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"model": r.PathValue("model"), "version": version, "digests": digests})
}

// servePiece answers with a piece. The protocol calls the index of the piece "sample_count".
func (o *Origin) servePiece(w http.ResponseWriter, r *http.Request) {
	version, _ := strconv.ParseInt(r.URL.Query().Get("version"), 10, 64)
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	o.mu.Lock()
	o.piecesServed++
	corrupt := o.corruptEvery > 0 && o.piecesServed%o.corruptEvery == 0
	pieceTime := o.pieceTime
	o.mu.Unlock()
	if pieceTime > 0 {
		o.link.Lock()
		time.Sleep(pieceTime)
		o.link.Unlock()
	}
	data := Piece(version, index)
	if corrupt {
		data = append([]byte("!"), data[1:]...)
	}
	_, _ = w.Write(data)
}
