package engine

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"mimosastand.example/mimosastand/contract"
)

// generateRequest is the body of POST /v1/generate.
type generateRequest struct {
	ID        string          `json:"id"`
	Prompt    string          `json:"prompt"`
	MaxTokens uint64          `json:"max_tokens"`
	Priority  int             `json:"priority"`
	ResumeAt  uint64          `json:"resume_at"`
	Digest    contract.Digest `json:"digest"`
}

// work is one running generation.
type work struct {
	stopped chan struct{}
	// cut tells that the stream ends without an end event.
	cut   bool
	ended bool
}

// stop ends the work; the caller holds the engine's lock.
func (w *work) stop(cut bool) {
	if w.ended {
		return
	}
	w.ended = true
	w.cut = cut
	close(w.stopped)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req generateRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultTokens
	}
	req.MaxTokens = min(req.MaxTokens, maxTokens)
	work, prefill, status := e.begin(req)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.end(req.ID, work)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s := &streamer{engine: e, work: work, request: req, w: w, r: r}
	s.run(prefill)
}

// begin admits one unit of work and returns the time until its first token.
func (e *Engine) begin(req generateRequest) (*work, time.Duration, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.refresh(now)
	if e.active == "" {
		return nil, 0, http.StatusServiceUnavailable
	}
	if req.Digest != e.active {
		e.stats.Mismatches++
		return nil, 0, http.StatusConflict
	}
	if len(e.running) >= e.limit() {
		e.overrun(now)
		return nil, 0, http.StatusServiceUnavailable
	}
	if _, running := e.running[req.ID]; running {
		e.stats.Doubled++
		return nil, 0, http.StatusConflict
	}
	if _, _, added := e.ids.put(req.ID, ""); !added {
		e.stats.Doubled++
	}
	started := &work{stopped: make(chan struct{})}
	e.running[req.ID] = started
	e.countRunning()
	e.observe(now)
	return started, e.prefill(req, now), http.StatusOK
}

func (e *Engine) overrun(now time.Time) {
	if e.warm {
		e.stats.Overloads++
		return
	}
	e.stats.Overruns++
	e.slowUntil = now.Add(slowTime)
}

func (e *Engine) countRunning() {
	e.stats.Generated++
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	if !e.warm {
		e.stats.ColdMaxRunning = max(e.stats.ColdMaxRunning, len(e.running))
	}
}

// prefill returns the time until the first token: short if the KV cache was
// imported or the prefix is cached.
func (e *Engine) prefill(req generateRequest, now time.Time) time.Duration {
	const cachedDivisor = 4
	cached := e.cache.use(Prefix(req.Prompt), now)
	_, imported := e.kv.texts[req.ID]
	e.kv.put(req.ID, req.Prompt[:min(prefixBytes, len(req.Prompt))])
	switch {
	case imported:
		return 0
	case cached:
		return e.config.PrefillDelay / cachedDivisor
	default:
		return e.config.PrefillDelay
	}
}

func (e *Engine) end(id string, w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.running[id] == w {
		delete(e.running, id)
	}
	e.coldWork++
	e.refresh(now)
	e.observe(now)
}

// pace returns the active digest and the time to the next token.
func (e *Engine) pace() (contract.Digest, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Tokens++
	if time.Now().Before(e.slowUntil) {
		return e.active, slowFactor * e.config.TokenDelay
	}
	return e.active, e.config.TokenDelay
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ID string `json:"id"`
	}
	if !readJSON(w, r, &body) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if found := e.running[body.ID]; found != nil {
		found.stop(true)
		e.stats.Cancelled++
	}
}

// streamer writes one answer.
type streamer struct {
	engine  *Engine
	work    *work
	request generateRequest
	w       http.ResponseWriter
	r       *http.Request
	mixed   bool
}

func (s *streamer) run(prefill time.Duration) {
	if !s.sleep(prefill) {
		return
	}
	digest := s.request.Digest
	for i := s.request.ResumeAt; i < s.request.MaxTokens; i++ {
		var delay time.Duration
		digest, delay = s.engine.pace()
		s.mixed = s.mixed || digest != s.request.Digest
		s.send("token", map[string]any{"at": i, "text": Token(s.request.Prompt, digest, i)})
		if !s.sleep(delay) {
			return
		}
	}
	if s.mixed {
		s.engine.mu.Lock()
		s.engine.stats.Mixed++
		s.engine.mu.Unlock()
	}
	s.send("end", map[string]any{"tokens": s.request.MaxTokens, "digest": digest})
}

// sleep waits and reports whether the work goes on.
func (s *streamer) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.work.stopped:
		if s.work.cut {
			panic(http.ErrAbortHandler)
		}
		return false
	case <-s.r.Context().Done():
		s.engine.callerGone()
		return false
	}
}

func (e *Engine) callerGone() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

func (s *streamer) send(name string, v any) {
	data, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", name, data)
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	blob, ok := e.kv.texts[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = io.WriteString(w, blob)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	blob, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too long or cut", http.StatusRequestEntityTooLarge)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kv.put(r.PathValue("id"), string(blob[:min(prefixBytes, len(blob))]))
	w.WriteHeader(http.StatusNoContent)
}
