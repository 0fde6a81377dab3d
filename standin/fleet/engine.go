package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/relay"
)

// modelLayers is the number of layers of the model.
const modelLayers = 16

const topicTargets = "keyed.servers"

// Engine is a stand-in of a model engine, or of a plain service if Model is empty. Its
// exported fields may be set before Start.
type Engine struct {
	ID, Service, Zone, Model string
	Slots                    int
	// EventCount is the number of events of a stream, and EventInterval the time between
	// two of them. CallDuration is the time that a call to a plain service takes.
	EventCount                  int
	EventInterval, CallDuration time.Duration
	// If UseRelay is set, the engine is reached through Relay, which Start creates.
	UseRelay bool
	Relay    *relay.TCP

	store  *Store
	server *httptest.Server
	born   int64

	mu sync.Mutex
	// state is what the engine last published.
	state   string
	version int64
	staged  map[int][]byte
	running int
	seq     int64
	// runCounts holds the number of runs of each attempt.
	runCounts map[string]int
	// cutAfter is the number of events after which the next stream is cut; negative means
	// never.
	cutAfter int
	// unresponsive is set if requests get no answer.
	unresponsive bool
	// losesAnswers is set if requests run and their connections are closed without an
	// answer.
	losesAnswers bool
	// loaded lists "version:index:hash" of every piece that was ever loaded.
	loaded []string
	// runLog lists the runs in the order of their start.
	runLog []Run
	// rateLimit is the limit that answers name, in requests a second; empty for none.
	rateLimit string
	// arrivals lists all requests in order of arrival, but for those meant for others.
	arrivals []Arrival
}

// Run describes a run of an attempt: the version of the weights it runs with and when it
// started.
type Run struct {
	AttemptID string
	Version   int64
	StartedAt time.Time
}

// Start starts the server of the engine and adds the engine to the target list.
func (e *Engine) Start(store *Store, version int64) error {
	e.store, e.version, e.born = store, version, time.Now().UnixMilli()
	e.staged, e.runCounts, e.cutAfter = map[int][]byte{}, map[string]int{}, -1
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.serveReport)
	mux.HandleFunc("PUT /-/stage-put/{model}", e.serveStagePut)
	mux.HandleFunc("GET /-/stage-get/{model}", e.serveStageGet)
	mux.HandleFunc("POST /-/order", e.serveOrder)
	mux.HandleFunc("/", e.serveRequest)
	e.server = httptest.NewServer(mux)
	if e.UseRelay {
		tcpRelay, err := relay.NewTCP("127.0.0.1:0", strings.TrimPrefix(e.server.URL, "http://"))
		if err != nil {
			return err
		}
		e.Relay = tcpRelay
	}
	e.Publish("ready")
	return nil
}

// Address returns the "ip:port" at which the engine is reached.
func (e *Engine) Address() string {
	if e.Relay != nil {
		return e.Relay.Address()
	}
	return strings.TrimPrefix(e.server.URL, "http://")
}

// Stop stops the engine as a crash does: its entry stays in the target list.
func (e *Engine) Stop() {
	if e.Relay != nil {
		e.Relay.Close()
	}
	e.server.CloseClientConnections()
	e.server.Close()
}

// Publish writes the engine's entry in the target list, with a state such as "ready".
func (e *Engine) Publish(state string) {
	e.mu.Lock()
	e.state = state
	e.seq++
	entry := map[string]any{
		"service": e.Service, "address": e.Address(), "zone": e.Zone, "version": "v1", "slots": e.Slots,
		"state": state, "cold_left_ms": 0, "seq_no": e.seq, "born": e.born,
	}
	if e.Model != "" {
		e.addModel(entry)
	}
	e.mu.Unlock()
	data, _ := json.Marshal(entry)
	e.store.Put(topicTargets, e.ID, string(data))
}

// addModel adds what the engine has loaded to an entry of the target list or a report; mu
// must be held.
func (e *Engine) addModel(entry map[string]any) {
	entry["stage"] = "both"
	entry["models"] = []map[string]any{}
	entry["layers"] = []map[string]any{}
	if e.version > 0 {
		entry["models"] = []map[string]any{{"name": e.Model, "version": e.version, "adapters": []string{}}}
		entry["layers"] = []map[string]any{{"from": 0, "to": modelLayers, "version": e.version}}
	}
}

// CutNextStreamAfter has the engine cut the next stream after n events.
func (e *Engine) CutNextStreamAfter(n int) { e.withLock(func() { e.cutAfter = n }) }

// SetUnresponsive sets whether the engine leaves requests unanswered.
func (e *Engine) SetUnresponsive(on bool) { e.withLock(func() { e.unresponsive = on }) }

// SetLosesAnswers sets whether the engine runs requests and loses their answers.
func (e *Engine) SetLosesAnswers(on bool) { e.withLock(func() { e.losesAnswers = on }) }

// withLock calls f with mu held.
func (e *Engine) withLock(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// Version returns the version of the loaded weights.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// RunCount returns how often an attempt has run.
func (e *Engine) RunCount(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runCounts[attempt]
}

// TotalRuns returns the number of runs of all attempts.
func (e *Engine) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runCounts {
		n += r
	}
	return n
}

// RunLog lists all runs in the order of their start.
func (e *Engine) RunLog() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runLog...)
}

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
	entry := map[string]any{"busy": false, "seq_no": len(e.loaded), "queue_depth": 0, "in_flight": e.running, "born": e.born}
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

// serveOrder loads the staged pieces without verifying them.
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
	for i := range len(e.staged) {
		sum := sha256.Sum256(e.staged[i])
		e.loaded = append(e.loaded, fmt.Sprintf("%d:%d:%s", order.Version, i, hex.EncodeToString(sum[:])))
	}
	e.version = order.Version
	state := e.state
	e.mu.Unlock()
	e.Publish(state)
	w.WriteHeader(http.StatusAccepted)
}

// LoadedPieces lists "version:index:hash" of every piece that was ever loaded.
func (e *Engine) LoadedPieces() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}

// serveRequest serves a request of an entry: as a stream if the stand-in is a model engine,
// otherwise with an echo of the request.
func (e *Engine) serveRequest(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Instance-Id", e.ID)
	e.mu.Lock()
	expected := r.Header.Get("Expect-Version")
	misdirected := r.Header.Get("Expect-Instance") != e.ID || expected != "" && expected != strconv.FormatInt(e.version, 10)
	full := e.running >= e.Slots
	unresponsive, losesAnswers, version := e.unresponsive, e.losesAnswers, e.version
	if e.rateLimit != "" {
		w.Header().Set("Server-Limit", e.rateLimit)
	}
	if !misdirected {
		e.arrivals = append(e.arrivals, Arrival{AttemptID: attempt, At: time.Now()})
	}
	if !misdirected && !full && !unresponsive {
		e.running++
		e.runCounts[attempt]++
		e.runLog = append(e.runLog, Run{AttemptID: attempt, Version: e.version, StartedAt: time.Now()})
	}
	e.mu.Unlock()
	switch {
	case misdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case unresponsive:
		<-r.Context().Done()
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.withLock(func() { e.running-- })
	if losesAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Stamp", "stamp-"+e.ID+"-"+attempt)
	if e.Model == "" {
		time.Sleep(e.CallDuration)
		_, _ = fmt.Fprintf(w, "%s %s %s tenant=%s", r.Method, r.RequestURI, body, r.Header.Get("Tenant"))
		return
	}
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	e.serveStream(w, r, version)
}

// serveStream sends events that name the version of the weights that made them. It begins
// after the event that the request gives in Last-Event-Id.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, version int64) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	e.mu.Lock()
	cut := e.cutAfter
	e.cutAfter = -1
	e.mu.Unlock()
	control := http.NewResponseController(w)
	for i := after + 1; i <= e.EventCount; i++ {
		if cut == 0 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: ha", i)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		cut--
		_, _ = fmt.Fprintf(w, "id: %d\ndata: piece %d of version %d\n\n", i, i, version)
		_ = control.Flush()
		select {
		case <-time.After(e.EventInterval):
		case <-r.Context().Done():
			return
		}
	}
}
