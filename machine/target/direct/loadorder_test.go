package direct

import (
	"bytes"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/weights/pieces"
)

const (
	stagedPieces = 8
	// freezeTime is for how long the process stands still in these tests.
	freezeTime = 4 * time.Second
)

// stagingEngine is an engine with staged pieces. It loads them as they are when it gets an order.
type stagingEngine struct {
	mu     sync.Mutex
	staged map[int][]byte
	// reads counts the pieces that were read, orders the orders.
	reads, orders int
	// loadedBad lists the pieces that were bad when they were loaded.
	loadedBad []int
	// onRead is called before a piece is returned, and onClock before the process reads its clock,
	// both with the number of reads so far. bootTime is that clock.
	onRead, onClock func(reads int)
	bootTime        time.Duration
}

func stagedPiece(i int) []byte { return fmt.Appendf(nil, "piece %d of version 2", i) }

// newOrderingReconciler starts an engine at which the pieces of a candidate are staged, and returns
// the reconciler that orders it to load them.
func newOrderingReconciler(t *testing.T, e *stagingEngine) (*reconciler, *candidate) {
	e.staged = map[int][]byte{}
	var digests [][]byte
	for i := range stagedPieces {
		e.staged[i] = stagedPiece(i)
		digest := sha256.Sum256(stagedPiece(i))
		digests = append(digests, digest[:])
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/stage-get/{model}", e.serveStagedPiece)
	mux.HandleFunc("PUT /-/stage-put/{model}", e.storePiece)
	mux.HandleFunc("POST /-/order", e.load)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	c := &candidate{version: weightcache.Version{Model: "m", Number: 2}, set: pieces.NewSet(digests)}
	for i := range stagedPieces {
		if _, err := c.set.Add(i, stagedPiece(i)); err != nil {
			t.Fatal(err)
		}
	}
	r := &reconciler{
		target:   &Target{meters: newMeters(tally.NoopScope)},
		engine:   platform.NewEngineClient(strings.TrimPrefix(server.URL, "http://")),
		log:      &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
		bootTime: e.readClock,
	}
	return r, c
}

// readClock is the clock of the process.
func (e *stagingEngine) readClock() time.Duration {
	if e.onClock != nil {
		e.onClock(e.readCount())
	}
	return e.now()
}

func (e *stagingEngine) readCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads
}

func (e *stagingEngine) now() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootTime
}

// freeze lets time pass in which the process stands still and staged pieces turn bad.
func (e *stagingEngine) freeze(d time.Duration, turnBad ...int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootTime += d
	for _, i := range turnBad {
		e.staged[i] = []byte("bad")
	}
}

func pieceIndex(r *http.Request) int {
	i, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	return i
}

func (e *stagingEngine) serveStagedPiece(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.reads++
	reads, data := e.reads, e.staged[pieceIndex(r)]
	e.mu.Unlock()
	if e.onRead != nil {
		e.onRead(reads)
	}
	_, _ = w.Write(data)
}

func (e *stagingEngine) storePiece(_ http.ResponseWriter, r *http.Request) {
	data, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[pieceIndex(r)] = data
}

func (e *stagingEngine) load(w http.ResponseWriter, r *http.Request) {
	if order, err := io.ReadAll(r.Body); err != nil || !bytes.Contains(order, []byte(`"start"`)) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders++
	for i := range stagedPieces {
		if !bytes.Equal(e.staged[i], stagedPiece(i)) {
			e.loadedBad = append(e.loadedBad, i)
		}
	}
	w.WriteHeader(http.StatusAccepted)
}

// Guards against tokens made with pieces that turned bad after their verification (WHOLE): the
// process stands still before the engine accepts the order to load.
func TestPiecesAreVerifiedAgainAfterFreeze(t *testing.T) {
	for name, c := range map[string]struct {
		// readsBefore is the number of pieces that have been read when the process stands still.
		readsBefore int
		hook        func(*stagingEngine, func(reads int))
	}{
		"while the pieces are read":    {stagedPieces - 2, func(e *stagingEngine, f func(int)) { e.onRead = f }},
		"while the order is connected": {stagedPieces, func(e *stagingEngine, f func(int)) { e.onClock = f }},
	} {
		t.Run(name, func(t *testing.T) {
			e := &stagingEngine{}
			var once sync.Once
			c.hook(e, func(reads int) {
				if reads == c.readsBefore {
					once.Do(func() { e.freeze(freezeTime, 1, 3) })
				}
			})
			r, candidate := newOrderingReconciler(t, e)
			r.orderLoad(context.Background(), candidate)
			if e.orders != 1 || len(e.loadedBad) > 0 {
				t.Errorf("%d orders, loaded the bad pieces %v, want 1 order and none", e.orders, e.loadedBad)
			}
			if e.now() != freezeTime {
				t.Errorf("the process stood still for %v, want %v", e.now(), freezeTime)
			}
		})
	}
}

// Guards against an order on an expired verification (WHOLE) where each verification takes too
// long: no order is sent, and the next call tries again.
func TestNoOrderWithoutRecentVerification(t *testing.T) {
	e := &stagingEngine{}
	var isQuick atomic.Bool
	e.onRead = func(int) {
		if !isQuick.Load() {
			e.freeze(maxVerificationAge / (stagedPieces - 1))
		}
	}
	r, c := newOrderingReconciler(t, e)
	r.orderLoad(context.Background(), c)
	if want := maxVerifications * stagedPieces; e.orders != 0 || e.reads != want {
		t.Errorf("%d orders after %d reads, want none after %d", e.orders, e.reads, want)
	}
	isQuick.Store(true)
	r.orderLoad(context.Background(), c)
	if e.orders != 1 {
		t.Errorf("%d orders once verification is quick again, want 1", e.orders)
	}
}
