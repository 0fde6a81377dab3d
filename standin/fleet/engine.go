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

// layers is the number of layers of the model.
const layers = 16

const topicTargets = "keyed.servers"

// Engine is a stand-in of a model engine, or of a plain service if Model is
// empty. Its exported fields may be set before it serves.
type Engine struct {
	ID, Service, Zone, Model string
	Slots                    int
	// Events is the length of a stream, Gap the time between two events; Work is
	// the time of a plain call.
	EventCount                  int
	EventInterval, CallDuration time.Duration
	// Relayed has everyone reach the engine through Path.
	UseRelay bool
	Relay    *relay.TCP

	store  *Store
	server *httptest.Server
	born   int64

	mu      sync.Mutex
	version int64
	staged  map[int][]byte
	running int
	seq     int64
	// runs counts the runs of each attempt.
	runs map[string]int
	// cutAfter ends the next stream after so many events; hang answers nothing; mute
	// runs a call and closes the connection.
	cutAfter int
	hang     bool
	mute     bool
	loaded   []string
	// begins are the runs in their order.
	begins []Run
}

// Begin is one run of an attempt: the version it runs on and when it began.
type Run struct {
	AttemptID string
	Version   int64
	StartedAt time.Time
}

// Start begins to serve and enters the engine in the list.
func (e *Engine) Start(store *Store, version int64) error {
	e.store, e.version, e.born = store, version, time.Now().UnixMilli()
	e.staged, e.runs, e.cutAfter = map[int][]byte{}, map[string]int{}, -1
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/report", e.report)
	mux.HandleFunc("PUT /-/stage-put/{model}", e.stagePut)
	mux.HandleFunc("GET /-/stage-get/{model}", e.stageGet)
	mux.HandleFunc("POST /-/order", e.order)
	mux.HandleFunc("/", e.serve)
	e.server = httptest.NewServer(mux)
	if e.UseRelay {
		path, err := relay.NewTCP("127.0.0.1:0", strings.TrimPrefix(e.server.URL, "http://"))
		if err != nil {
			return err
		}
		e.Relay = path
	}
	e.Publish("ready")
	return nil
}

// Address is the "ip:port" at which the engine is reached.
func (e *Engine) Address() string {
	if e.Relay != nil {
		return e.Relay.Address()
	}
	return strings.TrimPrefix(e.server.URL, "http://")
}

// Stop ends the engine as a crash does.
func (e *Engine) Stop() {
	if e.Relay != nil {
		e.Relay.Close()
	}
	e.server.CloseClientConnections()
	e.server.Close()
}

// List writes the engine's entry in the list.
func (e *Engine) Publish(state string) {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": e.Service, "address": e.Address(), "zone": e.Zone, "version": "v1", "slots": e.Slots,
		"state": state, "cold_left_ms": 0, "seq_no": e.seq, "born": e.born,
	}
	if e.Model != "" {
		e.describe(entry)
	}
	e.mu.Unlock()
	data, _ := json.Marshal(entry)
	e.store.Put(topicTargets, e.ID, string(data))
}

func (e *Engine) describe(entry map[string]any) {
	entry["stage"] = "both"
	entry["models"] = []map[string]any{}
	entry["layers"] = []map[string]any{}
	if e.version > 0 {
		entry["models"] = []map[string]any{{"name": e.Model, "version": e.version, "adapters": []string{}}}
		entry["layers"] = []map[string]any{{"from": 0, "to": layers, "version": e.version}}
	}
}

// CutAfter ends the next stream after n events.
func (e *Engine) CutNextStreamAfter(n int) { e.set(func() { e.cutAfter = n }) }

// Hang has the engine answer no request.
func (e *Engine) SetUnresponsive(on bool) { e.set(func() { e.hang = on }) }

// Mute has the engine run calls and lose their answers.
func (e *Engine) SetLosesAnswers(on bool) { e.set(func() { e.mute = on }) }

func (e *Engine) set(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
}

// Version is that of the loaded weights.
func (e *Engine) Version() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Runs is how often an attempt ran.
func (e *Engine) RunCount(attempt string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[attempt]
}

// AllRuns is the number of runs.
func (e *Engine) TotalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		n += r
	}
	return n
}

// Begins lists all runs in their order.
func (e *Engine) RunLog() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.begins...)
}

// Unverified lists the pieces that were loaded although they are not those of their
// version.
func (e *Engine) CorruptLoadedPieces() []string {
	var bad []string
	for _, loaded := range e.LoadedPieces() {
		var version int64
		var index int
		var sum string
		_, err := fmt.Sscanf(strings.ReplaceAll(loaded, ":", " "), "%d %d %s", &version, &index, &sum)
		if err != nil || sum != PieceDigest(version, index) {
			bad = append(bad, loaded)
		}
	}
	return bad
}

// Spoil turns the staged pieces bad.
func (e *Engine) CorruptStagedPieces() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range e.staged {
		e.staged[i] = []byte("rotten")
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := map[string]any{"busy": false, "seq_no": len(e.loaded), "queue_depth": 0, "in_flight": e.running, "born": e.born}
	e.describe(entry)
	_ = json.NewEncoder(w).Encode(entry)
}

func (e *Engine) stagePut(w http.ResponseWriter, r *http.Request) {
	index, _ := strconv.Atoi(r.URL.Query().Get("sample_count"))
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.set(func() { e.staged[index] = data })
	w.WriteHeader(http.StatusOK)
}

func (e *Engine) stageGet(w http.ResponseWriter, r *http.Request) {
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

// order loads what is staged as it lies there.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
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
	e.mu.Unlock()
	e.Publish("ready")
	w.WriteHeader(http.StatusAccepted)
}

// Loaded lists version, index and hash of every piece that was ever loaded.
func (e *Engine) LoadedPieces() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.loaded...)
}

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Instance-Id", e.ID)
	e.mu.Lock()
	expected := r.Header.Get("Expect-Version")
	misdirected := r.Header.Get("Expect-Instance") != e.ID || expected != "" && expected != strconv.FormatInt(e.version, 10)
	full := e.running >= e.Slots
	hang, mute, version := e.hang, e.mute, e.version
	if !misdirected && !full && !hang {
		e.running++
		e.runs[attempt]++
		e.begins = append(e.begins, Run{AttemptID: attempt, Version: e.version, StartedAt: time.Now()})
	}
	e.mu.Unlock()
	switch {
	case misdirected:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case hang:
		<-r.Context().Done()
		return
	case full:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.set(func() { e.running-- })
	if mute {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Stamp", "stamp-"+e.ID+"-"+attempt)
	if e.Model == "" {
		time.Sleep(e.CallDuration)
		_, _ = fmt.Fprintf(w, "%s %s %s tenant=%s", r.Method, r.RequestURI, body, r.Header.Get("Tenant"))
		return
	}
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	e.stream(w, r, version)
}

// stream sends events that name the version they were made with.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, version int64) {
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
