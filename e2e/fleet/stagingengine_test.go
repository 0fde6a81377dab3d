package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// excusedBadTime is how long a piece may have been bad when an engine takes it.
	excusedBadTime = 3 * time.Second
	// loadTime is the time that an engine takes to load its weights.
	loadTime     = 150 * time.Millisecond
	engineLayers = 16
	// enginePublishInterval is the time between two writes of an engine to the target list.
	enginePublishInterval = 300 * time.Millisecond
)

// stagedPiece is a piece in the staging area of an engine.
type stagedPiece struct {
	data  string
	badAt time.Time // when it turned bad; zero if it has not
}

// engineLoad is one load of an engine: what was wrong with its pieces when the order was accepted, and
// how many requests were answered with them.
type engineLoad struct {
	engine  string
	version int64
	faults  []string
	answers int
}

// stagingEngine is a stand-in of a model engine that keeps the rules of staged pieces and orders: it
// takes the staged pieces as they are when it accepts an order, also when the caller has gone meanwhile.
type stagingEngine struct {
	id, zone, address string
	store             *standins.Store
	server            *http.Server
	// onPut and onOrder, if not nil, are called before a call is carried out, and onGet after a piece
	// has been read. Calls are numbered from 1 since the hooks were set.
	onPut, onGet, onOrder func(n, index int)

	mu                sync.Mutex
	born, orders, seq int64
	version           int64 // of the layers, 0 if there are none
	loadingUntil      time.Time
	stalledUntil      time.Time
	isUnlisted        bool // if set, the engine does not write to the target list
	staged            map[int]stagedPiece
	puts, gets, calls int
	loads             []*engineLoad
	current           *engineLoad
	served            int
}

// startStagingEngine starts an engine that holds version 1, and lists it until ctx of the rig ends.
func (r *rig) startStagingEngine(id, zone string) *stagingEngine {
	r.t.Helper()
	e := &stagingEngine{id: id, zone: zone, store: r.store, born: time.Now().UnixMilli(), version: 1, staged: map[int]stagedPiece{}}
	for i := range stagingPieces {
		e.staged[i] = stagedPiece{data: string(standins.Piece(1, i))}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.serveReport)
	mux.HandleFunc("PUT /-/stage-put/{model}", e.servePut)
	mux.HandleFunc("GET /-/stage-get/{model}", e.serveGet)
	mux.HandleFunc("POST /-/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		r.t.Fatal(err)
	}
	e.address, e.server = listener.Addr().String(), &http.Server{Handler: mux}
	go func() { _ = e.server.Serve(listener) }()
	r.t.Cleanup(func() { _ = e.server.Close() })
	r.wg.Go(func() {
		for r.ctx.Err() == nil {
			e.publish()
			time.Sleep(enginePublishInterval)
		}
	})
	return e
}

// setHooks sets the hooks; nil stands for none.
func (e *stagingEngine) setHooks(onPut, onGet, onOrder func(n, index int)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onPut, e.onGet, e.onOrder = onPut, onGet, onOrder
	e.puts, e.gets, e.calls = 0, 0, 0
}

// state returns what the engine says of itself; mu must be held.
func (e *stagingEngine) state() map[string]any {
	isLoading := time.Now().Before(e.loadingUntil)
	state := map[string]any{
		"service": standins.ModelService, "address": e.address, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready",
		"cold_left_ms": 0, "born": e.born, "stage": "both", "models": []any{}, "layers": []any{},
	}
	if e.version > 0 && !isLoading {
		state["models"] = []any{map[string]any{"name": standins.Model, "version": e.version, "adapters": []string{}}}
		state["layers"] = []any{map[string]any{"from": 0, "to": engineLayers, "version": e.version}}
	}
	return state
}

// stall has the engine stand still for a time: it reads calls and carries them out later.
func (e *stagingEngine) stall(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stalledUntil = time.Now().Add(d)
}

// unlistFor has the engine write nothing to the target list for a time, and its state at the end.
func (e *stagingEngine) unlistFor(d time.Duration) {
	e.setUnlisted(true)
	time.AfterFunc(d, func() {
		e.setUnlisted(false)
		e.publish()
	})
}

func (e *stagingEngine) setUnlisted(isUnlisted bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.isUnlisted = isUnlisted
}

// awaitStall waits while the engine stands still.
func (e *stagingEngine) awaitStall() {
	e.mu.Lock()
	until := e.stalledUntil
	e.mu.Unlock()
	time.Sleep(time.Until(until))
}

func (e *stagingEngine) publish() {
	e.awaitStall()
	e.mu.Lock()
	if e.isUnlisted {
		e.mu.Unlock()
		return
	}
	e.seq++
	state := e.state()
	state["seq_no"] = e.seq
	e.mu.Unlock()
	data, _ := json.Marshal(state)
	e.store.Put(standins.TopicTargets, e.id, string(data))
}

func (e *stagingEngine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.awaitStall()
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.state()
	state["busy"], state["seq_no"], state["in_flight"], state["queue_depth"] = time.Now().Before(e.loadingUntil), e.orders, 0, 0
	_ = json.NewEncoder(w).Encode(state)
}

// begin counts a call and calls its hook.
func (e *stagingEngine) begin(count *int, hook *func(n, index int), index int) {
	e.mu.Lock()
	*count++
	n, f := *count, *hook
	e.mu.Unlock()
	if f != nil {
		f(n, index)
	}
	e.awaitStall()
}

func (e *stagingEngine) servePut(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.begin(&e.puts, &e.onPut, index)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = stagedPiece{data: string(data)}
	w.WriteHeader(http.StatusOK)
}

func (e *stagingEngine) serveGet(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	e.mu.Lock()
	piece, ok := e.staged[index]
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
	} else {
		_, _ = io.WriteString(w, piece.data)
	}
	e.begin(&e.gets, &e.onGet, index)
}

func (e *stagingEngine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Version int64  `json:"version"`
		To      *int   `json:"to"`
		Expect  *int64 `json:"expect"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.begin(&e.calls, &e.onOrder, 0)
	e.mu.Lock()
	defer e.mu.Unlock()
	isUnload := order.To != nil && *order.To == 0
	switch {
	case order.Expect != nil && *order.Expect != e.orders, time.Now().Before(e.loadingUntil):
		w.WriteHeader(http.StatusConflict)
		return
	case isUnload && e.version == 0, !isUnload && e.version == order.Version:
		w.WriteHeader(http.StatusOK)
		return
	case isUnload:
		e.version, e.current = 0, nil
	default:
		e.load(order.Version)
	}
	e.orders++
	w.WriteHeader(http.StatusAccepted)
}

// load takes the staged pieces as they are; mu must be held.
func (e *stagingEngine) load(version int64) {
	l := &engineLoad{engine: e.id, version: version}
	for i := range stagingPieces {
		if fault := e.pieceFault(version, i); fault != "" {
			l.faults = append(l.faults, fmt.Sprintf("%s:%d", fault, i))
		}
	}
	e.version, e.current, e.loadingUntil = version, l, time.Now().Add(loadTime)
	e.loads = append(e.loads, l)
}

// pieceFault returns what is wrong with a staged piece of a version, empty for nothing; mu must be held.
func (e *stagingEngine) pieceFault(version int64, i int) string {
	piece, ok := e.staged[i]
	switch {
	case !ok:
		return "missing"
	case !piece.badAt.IsZero() && time.Since(piece.badAt) > excusedBadTime:
		return "bad"
	case piece.badAt.IsZero() && piece.data != string(standins.Piece(version, i)):
		return "other version"
	default:
		return ""
	}
}

// spoil has a staged piece turn bad.
func (e *stagingEngine) spoil(i int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if piece, ok := e.staged[i]; ok && piece.badAt.IsZero() {
		e.staged[i] = stagedPiece{data: "bad", badAt: time.Now()}
	}
}

// restart has the engine start again at once, without layers.
func (e *stagingEngine) restart(keepsStaged bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born, e.orders, e.version, e.current, e.loadingUntil = max(time.Now().UnixMilli(), e.born+1), 0, 0, nil, time.Time{}
	if !keepsStaged {
		e.staged = map[int]stagedPiece{}
	}
}

func (e *stagingEngine) serveRequest(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.awaitStall()
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Instance-Id", e.id)
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := r.Header.Get("Expect-Version")
	switch {
	case time.Now().Before(e.loadingUntil):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case e.version == 0, expected != "" && expected != strconv.FormatInt(e.version, 10), r.Header.Get("Expect-Instance") != e.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	default:
		e.served++
		if e.current != nil {
			e.current.answers++
		}
		w.Header().Set("Server-Stamp", "stamp-"+e.id)
		w.Header().Set("Weight-Versions", strconv.FormatInt(e.version, 10))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprintf(w, "id: 1\ndata: version %d\n\n", e.version)
	}
}

// heldVersion returns the version that the engine holds; 0 while it loads.
func (e *stagingEngine) heldVersion() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.loadingUntil) {
		return 0
	}
	return e.version
}

// unsoundLoads lists the loads of pieces that were not sound.
func (e *stagingEngine) unsoundLoads() []engineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []engineLoad
	for _, l := range e.loads {
		if len(l.faults) > 0 {
			list = append(list, *l)
		}
	}
	return list
}

// failOnUnsoundAnswers fails the test if requests were answered with unsound weights.
func failOnUnsoundAnswers(t *testing.T, engines []*stagingEngine) {
	t.Helper()
	for _, e := range engines {
		for _, l := range e.unsoundLoads() {
			if l.answers > 0 {
				t.Errorf("%s answered %d requests with version %d, of which these pieces were not sound: %s",
					l.engine, l.answers, l.version, strings.Join(l.faults, ", "))
			}
		}
	}
}

// servedCount returns the number of requests that the engine answered.
func (e *stagingEngine) servedCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// servesSoundly reports whether the engine has answered requests with sound weights of a version.
func (e *stagingEngine) servesSoundly(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.current
	return l != nil && l.version == version && len(l.faults) == 0 && l.answers > 0
}
