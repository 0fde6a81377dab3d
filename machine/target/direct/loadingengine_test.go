package direct

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/machine/weightcache"
	"mimosastand.example/mimosastand/weights/pieces"
	"mimosastand.example/mimosastand/zone/catalog"
)

const (
	testModel   = "m"
	testService = "engines"
	testLayers  = 4
	// stagedPieces is the number of pieces of a version.
	stagedPieces = 8
	// settleTimeout bounds how long an engine may take until it serves a version.
	settleTimeout = 20 * time.Second
	// tickInterval is the time between two calls of reconcile in these tests.
	tickInterval = 10 * time.Millisecond
	// checkInterval is the time between two looks at what requests would get.
	checkInterval = 200 * time.Microsecond
)

func versionPiece(version int64, i int) []byte {
	return fmt.Appendf(nil, "piece %d of version %d", i, version)
}

// loadingEngine is an engine with one staging area. It loads the staged pieces as they are when it
// accepts an order, at once.
type loadingEngine struct {
	address string
	// onRead is called before a staged piece is returned, onPut before one is stored, and onOrder before
	// an order is accepted; the call is carried out when it returns. All get the number of such calls,
	// from 1 on.
	onRead  func(n int)
	onPut   func(n, index int)
	onOrder func(n int)
	// reportLag is how old the state in the engine's report is.
	reportLag time.Duration
	// loadTime is for how long the engine is busy with a load and shows no layers.
	loadTime time.Duration
	// beforeAnswer is called when an order has been accepted, before it is answered.
	beforeAnswer func()

	mu                 sync.Mutex
	reads, puts, calls int
	staged             map[int][]byte
	// born, orders and layers are the start of the engine, the orders accepted since, and the number
	// of layers that it holds, of version.
	born, orders int64
	layers       int
	version      int64
	// reported replaces the layers in the report until the engine accepts an order; nil does not.
	reported any
	// bad lists the pieces that were not those of the version when they were loaded.
	bad []int
	// loads counts the loads, badLoads those with a bad piece.
	loads, badLoads int
	// busyUntil is when the last load ends.
	busyUntil time.Time
	// states lists the states since each order and each start, in the order of time.
	states []shownState
	// spoilsReadAfterOrder is set if the first read after an order returns other bytes than are staged.
	spoilsReadAfterOrder bool
}

// newLoadingEngine starts an engine that holds version 1, which is also staged.
func newLoadingEngine(t *testing.T) *loadingEngine {
	e := &loadingEngine{staged: map[int][]byte{}, born: 1, layers: testLayers, version: 1}
	e.states = append(e.states, e.state())
	for i := range stagedPieces {
		e.staged[i] = versionPiece(1, i)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.serveReport)
	mux.HandleFunc("GET /-/stage-get/{model}", e.serveStagedPiece)
	mux.HandleFunc("PUT /-/stage-put/{model}", e.storePiece)
	mux.HandleFunc("POST /-/order", e.serveOrder)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	e.address = strings.TrimPrefix(server.URL, "http://")
	return e
}

// pieceIndex returns the index of the piece that a call names.
func pieceIndex(r *http.Request) int {
	i, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	return i
}

// shownState is what the report shows of the engine from a time on, and later by the lag of reports.
type shownState struct {
	at, busyUntil         time.Time
	born, orders, version int64
	layers                int
}

// state returns the present state; mu must be held.
func (e *loadingEngine) state() shownState {
	return shownState{time.Now(), e.busyUntil, e.born, e.orders, e.version, e.layers}
}

// stateAt returns the state at a time; mu must be held.
func (e *loadingEngine) stateAt(at time.Time) shownState {
	s := e.states[0]
	for _, later := range e.states {
		if !later.at.After(at) {
			s = later
		}
	}
	return s
}

func (e *loadingEngine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	at, s := time.Now(), e.state()
	if e.reportLag > 0 {
		at = at.Add(-e.reportLag)
		s = e.stateAt(at)
	}
	isBusy := at.Before(s.busyUntil)
	report := map[string]any{"busy": isBusy, "seq_no": s.orders, "born": s.born, "models": []any{}, "layers": nil}
	if s.layers > 0 && !isBusy {
		report["models"] = []any{map[string]any{"name": testModel, "version": s.version}}
		report["layers"] = map[string]any{"from": 0, "to": s.layers, "version": s.version}
	}
	if e.reported != nil {
		report["layers"] = e.reported
	}
	_ = json.NewEncoder(w).Encode(report)
}

func (e *loadingEngine) serveStagedPiece(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.reads++
	n := e.reads
	data, ok := e.staged[pieceIndex(r)]
	e.mu.Unlock()
	if e.onRead != nil {
		e.onRead(n)
	}
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	e.mu.Lock()
	if e.spoilsReadAfterOrder && e.orders > 0 {
		e.spoilsReadAfterOrder, data = false, []byte("spoilt")
	}
	e.mu.Unlock()
	_, _ = w.Write(data)
}

func (e *loadingEngine) storePiece(_ http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	e.puts++
	n := e.puts
	e.mu.Unlock()
	if e.onPut != nil {
		e.onPut(n, pieceIndex(r))
	}
	e.setStaged(pieceIndex(r), data)
}

// serveOrder carries out an order to hold a range of layers, all if it names none.
func (e *loadingEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	order := struct {
		Version int64  `json:"version"`
		From    *int   `json:"from"`
		To      *int   `json:"to"`
		Expect  *int64 `json:"expect"`
	}{}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		return
	}
	e.mu.Lock()
	e.calls++
	n := e.calls
	e.mu.Unlock()
	if e.onOrder != nil {
		e.onOrder(n)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	layers := testLayers
	if order.To != nil {
		layers = *order.To
	}
	switch {
	case order.Expect != nil && *order.Expect != e.orders:
		w.WriteHeader(http.StatusConflict)
	case e.layers == layers && (layers == 0 || e.version == order.Version):
		w.WriteHeader(http.StatusOK)
	default:
		e.accept(order.Version, layers)
		if e.beforeAnswer != nil {
			e.mu.Unlock()
			e.beforeAnswer()
			e.mu.Lock()
		}
		w.WriteHeader(http.StatusAccepted)
	}
}

// accept loads the staged pieces of the layers that it does not hold of the version, as they are, or gives
// up all layers; mu must be held.
func (e *loadingEngine) accept(version int64, layers int) {
	held := e.layers
	if version != e.version || layers == 0 {
		held, e.bad = 0, nil
	}
	e.orders++
	e.layers, e.version, e.reported = layers, version, nil
	defer func() { e.states = append(e.states, e.state()) }()
	if layers == 0 {
		return
	}
	for i := held * stagedPieces / testLayers; i < stagedPieces; i++ {
		if !bytes.Equal(e.staged[i], versionPiece(version, i)) {
			e.bad = append(e.bad, i)
		}
	}
	e.busyUntil = time.Now().Add(e.loadTime)
	e.loads++
	if len(e.bad) > 0 {
		e.badLoads++
	}
}

// readCount returns the number of pieces that have been read.
func (e *loadingEngine) readCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reads
}

func (e *loadingEngine) setStaged(i int, data []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[i] = data
}

// loadSound has the engine load the sound pieces of a version by an order of another process.
func (e *loadingEngine) loadSound(version int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range stagedPieces {
		e.staged[i] = versionPiece(version, i)
	}
	e.accept(version, testLayers)
}

// restart starts the engine anew, without layers and without staged pieces.
func (e *loadingEngine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born++
	e.orders, e.layers, e.version, e.bad = 0, 0, 0, nil
	e.staged = map[int][]byte{}
	e.states = append(e.states, e.state())
}

// holdsSound reports whether the engine holds a version whole and without a bad piece.
func (e *loadingEngine) holdsSound(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version == version && e.layers == testLayers && len(e.bad) == 0
}

// badAnswers reports whether the engine would answer from unsound weights a request that expects a
// version, and from which pieces.
func (e *loadingEngine) badAnswers(version int64) []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.version != version {
		return nil
	}
	return e.bad
}

// newCandidate returns a candidate with all pieces of a version.
func newCandidate(t *testing.T, version int64) *candidate {
	t.Helper()
	set, err := pieces.NewSet(pieceDigests(version), stagedPieces)
	if err != nil {
		t.Fatal(err)
	}
	c := &candidate{version: weightcache.Version{Model: testModel, Number: version}, set: set}
	for i := range stagedPieces {
		if _, err := c.set.Add(i, versionPiece(version, i)); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

// newTargetOf returns the process beside an engine, which has heard of version 1 only.
func newTargetOf(t *testing.T, e *loadingEngine) *Target {
	t.Helper()
	const unreachable = "127.0.0.1:1"
	return newTargetWith(t, config.Fleet{Store: unreachable, EngineAddress: e.address})
}

// newTargetWith returns the process beside an engine, with the addresses of the store and the engine.
func newTargetWith(t *testing.T, addresses config.Fleet) *Target {
	t.Helper()
	target, err := New(&config.Process{Machine: "side-1", Zone: "zone-a", Region: "region-a", Fleet: &config.Fleet{
		Store: addresses.Store, LinkAddress: "127.0.0.1:0", EngineAddress: addresses.EngineAddress, EngineService: testService,
		Bounds: config.Bounds{OldVersionGrace: 8 * time.Second},
	}})
	if err != nil {
		t.Fatal(err)
	}
	target.manifest = catalog.New(catalog.Manifest{Version: 1, Services: []catalog.Service{
		{Name: testService, Engine: &catalog.Engine{Layers: testLayers, Chunks: stagedPieces, Models: []string{testModel}}},
	}})
	return target
}

// announce announces a version of which the process has all pieces.
func announce(t *testing.T, target *Target, version int64) {
	t.Helper()
	announceVersion(target, version)
	r := target.reconciler
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := findCandidate(r.candidates, version); c != nil {
		c.set = newCandidate(t, version).set
		return
	}
	r.candidates = append(r.candidates, newCandidate(t, version))
	r.candidates = r.candidates[max(len(r.candidates)-maxCandidates, 0):]
}

// announceVersion announces a version of which the process has no pieces yet.
func announceVersion(target *Target, version int64) {
	target.mu.Lock()
	defer target.mu.Unlock()
	target.announced.ForModel(testModel).ApplyRecord(target.bootClock(), version, target.bootClock())
}

// wouldBeSentRequests returns, for entries that know nothing of an earlier process, the version that requests expect which entries may send to the engine; 0
// if they may send none.
func wouldBeSentRequests(target *Target) int64 {
	s := target.reconciler.status()
	if s == nil || !s.Up || s.Changing {
		return 0
	}
	return s.Version
}

// reconcileUntil calls reconcile until the engine holds a version whole, sound and in use. It fails
// when requests may be sent to the engine while it holds a bad piece of the version that they expect.
func reconcileUntil(t *testing.T, target *Target, e *loadingEngine, version int64) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	wg.Go(func() { checkAnswers(ctx, t, target, e) })
	for end := time.Now().Add(settleTimeout); time.Now().Before(end) && !t.Failed(); time.Sleep(tickInterval) {
		target.reconciler.reconcile(t.Context())
		if wouldBeSentRequests(target) == version && e.holdsSound(version) {
			return
		}
	}
	t.Errorf("version %d is not served within %v: %+v", version, settleTimeout, target.reconciler.status())
}

// checkAnswers fails the test if requests are answered from bad pieces before ctx ends.
func checkAnswers(ctx context.Context, t *testing.T, target *Target, e *loadingEngine) {
	for ; ctx.Err() == nil; time.Sleep(checkInterval) {
		sent := wouldBeSentRequests(target)
		if bad := e.badAnswers(sent); sent > 0 && len(bad) > 0 {
			t.Errorf("requests that expect version %d are answered from the bad pieces %v", sent, bad)
			return
		}
	}
}
