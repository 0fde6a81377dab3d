package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mimosastand.example/mimosastand/internal/relay"
)

// modelLayers is the number of layers of the model.
const modelLayers = 16

// TopicTargets is the target list: a record for each target that serves.
const TopicTargets = "keyed.servers"

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

	store *Store
	// address is where the engine's server listens; connections are its open ones.
	address     string
	handler     http.Handler
	connections connections

	mu sync.Mutex
	// server is nil while the engine is down.
	server *http.Server
	// listener is that of server.
	listener net.Listener
	// born is the time of the start of the current incarnation, in milliseconds.
	born int64
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
	// orders counts the orders that were accepted since the start.
	orders int64
	// loaded lists "version:index:hash" of every piece that was ever loaded.
	loaded []string
	// runLog lists the runs in the order of their start.
	runLog []Run
	// rateLimit is the limit that answers name, in requests a second; empty for none.
	rateLimit string
	// arrivals lists all requests in order of arrival, but for those meant for others.
	arrivals []Arrival
	crash    crashState
	refusal  refusalState
	framing  Framing
	endless  EndlessKind
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
	e.handler = mux
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	if err := e.serve(listener); err != nil {
		return err
	}
	if e.UseRelay {
		tcpRelay, err := relay.NewTCP("127.0.0.1:0", e.address)
		if err != nil {
			return err
		}
		e.Relay = tcpRelay
	}
	e.Publish("ready")
	return nil
}

// serve starts the server of the engine with a listener, unless the engine was stopped.
func (e *Engine) serve(listener net.Listener) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crash.stopped {
		return listener.Close()
	}
	server := &http.Server{Handler: e.handler}
	e.server, e.listener = server, listener
	go func() { _ = server.Serve(e.connections.track(listener)) }()
	return nil
}

// Address returns the "ip:port" at which the engine is reached.
func (e *Engine) Address() string {
	if e.Relay != nil {
		return e.Relay.Address()
	}
	return e.address
}

// Stop stops the engine as a crash for good does: its entry stays in the target list.
func (e *Engine) Stop() {
	if e.Relay != nil {
		e.Relay.Close()
	}
	e.mu.Lock()
	server := e.server
	e.crash.stopped = true
	e.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
	e.connections.closeAll()
}

// Publish writes the engine's entry in the target list, with a state such as "ready". An
// engine that is down writes it once it is back.
func (e *Engine) Publish(state string) {
	e.mu.Lock()
	e.state = state
	if e.server == nil {
		e.mu.Unlock()
		return
	}
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
	e.store.Put(TopicTargets, e.ID, string(data))
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
	arrival := Arrival{AttemptID: attempt, At: time.Now(), Parts: promptParts(r.Header), Key: RequestKey(r.Method, r.RequestURI, r.Header.Get("Tenant"), string(body))}
	full := !misdirected && e.refusal.refuses(w.Header(), arrival) || e.running >= e.Slots
	unresponsive, losesAnswers, version := e.unresponsive, e.losesAnswers, e.version
	born, framing, endless := e.born, e.framing, e.endless
	crashes := e.crash.isCausedBy(arrival)
	if e.rateLimit != "" {
		w.Header().Set("Server-Limit", e.rateLimit)
	}
	if !misdirected {
		e.arrivals = append(e.arrivals, arrival)
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
	defer e.endRun(born)
	if losesAnswers {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Server-Stamp", "stamp-"+e.ID+"-"+attempt)
	if framing != FramedAnswers {
		// The server of net/http then neither sends chunks nor a length.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	if e.Model != "" {
		w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	}
	if endless != EndlessNone {
		sendEndless(w, endless)
		return
	}
	if crashes {
		e.crashWhileServing(w, r, attempt)
		return
	}
	if e.Model == "" {
		time.Sleep(e.CallDuration)
		_, _ = fmt.Fprintf(w, "%s %s %s tenant=%s", r.Method, r.RequestURI, body, r.Header.Get("Tenant"))
		return
	}
	e.serveStream(w, r, version, framing)
}

// serveStream sends events that name the version of the weights that made them. It begins
// after the event that the request gives in Last-Event-Id.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, version int64, framing Framing) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	e.mu.Lock()
	cut := e.cutAfter
	e.cutAfter = -1
	e.mu.Unlock()
	if framing == UnframedAnswersCut {
		cut = max(1, (e.EventCount-after)/2)
	}
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
