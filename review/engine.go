//go:build review

package review

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// ModelService is the service of the model engines.
	ModelService = "drafting-models"
	// reportInterval is the time between two entries that an engine writes to the list, and
	// listedReports the intervals of silence after which its entry is removed.
	reportInterval = 1200 * time.Millisecond
	listedReports  = 3
	// loadTime is how long an engine loads all layers.
	loadTime = 300 * time.Millisecond
	// engineSlots is how many requests an engine runs at once.
	engineSlots = 16
	// streamEvents is the number of events of a stream, eventInterval the time between two.
	streamEvents  = 8
	eventInterval = 20 * time.Millisecond
	// firstVersion is the version that engines hold when the system starts.
	firstVersion = 1
)

// Engine is a stand-in of a model engine beside a target process.
type Engine struct {
	id, zone, address string
	store             *Store
	record            *Record
	// onStageGet, if set, is called before a staged piece is returned, with its index.
	onStageGet func(index int)

	mu     sync.Mutex
	server *server
	// born is the start of the current lifetime, in Unix milliseconds; seq counts its reports.
	born, seq int64
	stopBeat  chan struct{}
	// version is the version of the loaded weights, 0 if none; busy is set while it loads.
	version int64
	busy    bool
	staged  map[int]stagedPiece
	orders  int
	running int
	// badLoads lists, for the loaded weights, each piece that was not sound when the order
	// was accepted.
	badLoads []BadPiece
}

// stagedPiece is a piece in the staging area. spoiltAt is when it turned bad, zero if it has not.
type stagedPiece struct {
	data     []byte
	spoiltAt time.Time
}

// BadPiece is a piece that was loaded although it was missing or spoilt.
type BadPiece struct {
	Index  int
	Reason string
	// BadFor is for how long the piece had been bad when the order was accepted; zero for
	// one that is missing.
	BadFor time.Duration
}

// NewEngine starts an engine that holds the first version, which is also staged.
func NewEngine(id, zone, address string, store *Store, record *Record) (*Engine, error) {
	e := &Engine{id: id, zone: zone, address: address, store: store, record: record}
	staged := map[int]stagedPiece{}
	for i := range pieceCount {
		staged[i] = stagedPiece{data: piece(firstVersion, i)}
	}
	return e, e.start(firstVersion, staged)
}

// start begins a lifetime of the engine.
func (e *Engine) start(version int64, staged map[int]stagedPiece) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.serveReport)
	mux.HandleFunc("PUT /-/stage-put/{model}", e.serveStagePut)
	mux.HandleFunc("GET /-/stage-get/{model}", e.serveStageGet)
	mux.HandleFunc("POST /-/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	server, err := listenAndServe(e.address, mux)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.server, e.born, e.seq = server, time.Now().UnixMilli(), 0
	e.version, e.staged, e.busy, e.orders, e.running, e.badLoads = version, staged, false, 0, 0, nil
	e.stopBeat = make(chan struct{})
	go e.reportToStore(e.stopBeat)
	e.mu.Unlock()
	return nil
}

// LosePower ends the engine: it holds neither layers nor staged pieces afterwards.
func (e *Engine) LosePower() {
	e.mu.Lock()
	server := e.server
	close(e.stopBeat)
	e.mu.Unlock()
	server.close()
}

// Restart starts the engine again after a loss of power, with the same id.
func (e *Engine) Restart() error { return e.start(0, map[int]stagedPiece{}) }

// reportToStore writes the engine's entry in the list until stop is closed. The platform
// removes it after listedReports intervals of silence.
func (e *Engine) reportToStore(stop chan struct{}) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		e.publish()
		select {
		case <-ticker.C:
		case <-stop:
			return
		}
	}
}

func (e *Engine) publish() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": ModelService, "address": e.address, "zone": e.zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_left_ms": 0, "seq_no": e.seq, "born": e.born,
	}
	e.addModel(entry)
	e.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	e.store.Put(TopicServers, e.id, data)
}

// addModel adds what the engine holds; mu must be held.
func (e *Engine) addModel(entry map[string]any) {
	entry["stage"] = "both"
	entry["models"], entry["layers"] = []any{}, []any{}
	if e.version > 0 {
		entry["models"] = []any{map[string]any{"name": Model, "version": e.version, "adapters": []string{}}}
		entry["layers"] = []any{map[string]any{"from": 0, "to": modelLayers, "version": e.version}}
	}
}

// Version returns the version of the loaded weights, 0 if there is none.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// SpoilStaged has a staged piece turn bad.
func (e *Engine) SpoilStaged(index int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.staged[index]
	if !ok {
		return
	}
	data := bytes.Clone(p.data)
	data[len(data)/2] ^= 1
	e.staged[index] = stagedPiece{data: data, spoiltAt: time.Now()}
}

func (e *Engine) serveReport(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	report := map[string]any{
		"busy": e.busy, "seq_no": e.orders, "queue_depth": 0, "in_flight": e.running, "kv_used": 0, "kv_total": 1000,
		"handles": 0, "born": e.born,
	}
	e.addModel(report)
	writeJSON(w, report)
}

// serveStagePut stages a piece. The protocol calls its index "sample_count".
func (e *Engine) serveStagePut(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.staged[index] = stagedPiece{data: data}
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) serveStageGet(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	e.mu.Lock()
	p, ok := e.staged[index]
	e.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if e.onStageGet != nil {
		e.onStageGet(index)
	}
	_, _ = w.Write(p.data)
}

// SetOnStageGet sets a function that is called before a staged piece is returned. It must be
// set before the processes start.
func (e *Engine) SetOnStageGet(f func(index int)) { e.onStageGet = f }

// serveOrder accepts an order to load the staged pieces, as they are at that moment.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order struct {
		Op      string `json:"op"`
		Version int64  `json:"version"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil || order.Op != "start" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy {
		w.WriteHeader(http.StatusConflict)
		return
	}
	bad := e.badPieces(order.Version)
	e.orders++
	e.busy = true
	born := e.born
	e.record.Printf("engine %s accepted the order to load version %d; pieces that were not sound: %d", e.id, order.Version, len(bad))
	time.AfterFunc(loadTime, func() { e.finishLoad(born, order.Version, bad) })
	w.WriteHeader(http.StatusAccepted)
}

// badPieces lists the staged pieces that are not those of a version; mu must be held.
func (e *Engine) badPieces(version int64) []BadPiece {
	var list []BadPiece
	for i := range pieceCount {
		p, ok := e.staged[i]
		switch {
		case !ok:
			list = append(list, BadPiece{Index: i, Reason: "missing"})
		case !p.spoiltAt.IsZero():
			list = append(list, BadPiece{Index: i, Reason: "spoilt", BadFor: time.Since(p.spoiltAt)})
		case !bytes.Equal(p.data, piece(version, i)):
			list = append(list, BadPiece{Index: i, Reason: "not of the version"})
		}
	}
	return list
}

// finishLoad ends the load of a version, unless the engine has restarted since.
func (e *Engine) finishLoad(born, version int64, bad []BadPiece) {
	e.mu.Lock()
	isCurrent := e.born == born
	if isCurrent {
		e.version, e.busy, e.badLoads = version, false, bad
	}
	e.mu.Unlock()
	if isCurrent {
		e.record.Printf("engine %s holds version %d", e.id, version)
		e.publish()
	}
}

// serveRequest serves a stream.
func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Instance-Id", e.id)
	version, bad, status := e.admit(r.Header)
	if status != http.StatusOK {
		if status == http.StatusServiceUnavailable {
			w.Header().Set("Not-Executed", "1")
		}
		w.WriteHeader(status)
		return
	}
	defer e.end()
	w.Header().Set("Server-Stamp", "stamp-"+e.id+"-"+attempt)
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.Header().Set("Content-Type", "text/event-stream")
	e.record.AddRun(Run{Attempt: attempt, Engine: e.id, Version: version, Bad: bad})
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for i := after + 1; i <= streamEvents; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: event %d of %s\n\n", i, i, attempt)
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// admit decides whether a request runs. An engine that does not hold the layers or the expected
// version answers 421, one that is full or loads 503.
func (e *Engine) admit(h http.Header) (version int64, bad []BadPiece, status int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	expected := h.Get("Expect-Version")
	switch {
	case h.Get("Expect-Instance") != e.id, e.version == 0, expected != "" && expected != strconv.FormatInt(e.version, 10):
		return 0, nil, http.StatusMisdirectedRequest
	case e.busy, e.running >= engineSlots:
		return 0, nil, http.StatusServiceUnavailable
	}
	e.running++
	return e.version, e.badLoads, http.StatusOK
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}
