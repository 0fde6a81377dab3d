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

// work is a running generation.
type work struct {
	stopped chan struct{}
	// abort is set if the stream is aborted without an end event.
	abort bool
	ended bool
}

// stop ends the work. The engine's mu must be held.
func (w *work) stop(abort bool) {
	if w.ended {
		return
	}
	w.ended = true
	w.abort = abort
	close(w.stopped)
}

func (e *Engine) serveGenerate(w http.ResponseWriter, r *http.Request) {
	var req generateRequest
	if !readJSON(w, r, &req) {
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	req.MaxTokens = min(req.MaxTokens, maxTokensLimit)
	work, prefill, status := e.startWork(req)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	defer e.endWork(req.ID, work)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	s := &streamer{engine: e, work: work, request: req, w: w, r: r}
	s.run(prefill)
}

// startWork starts the work of a request, unless it returns a status other than 200. It
// returns the work and the time until its first token.
func (e *Engine) startWork(req generateRequest) (*work, time.Duration, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.updateWarmth(now)
	if e.active == "" {
		return nil, 0, http.StatusServiceUnavailable
	}
	if req.Digest != e.active {
		e.stats.Mismatches++
		return nil, 0, http.StatusConflict
	}
	if len(e.running) >= e.limit() {
		e.recordOverrun(now)
		return nil, 0, http.StatusServiceUnavailable
	}
	if _, running := e.running[req.ID]; running {
		e.stats.Doubled++
		return nil, 0, http.StatusConflict
	}
	if _, _, added := e.attemptIDs.insert(req.ID, ""); !added {
		e.stats.Doubled++
	}
	started := &work{stopped: make(chan struct{})}
	e.running[req.ID] = started
	e.recordStart()
	e.recordSnapshot(now)
	return started, e.prefillDelay(req, now), http.StatusOK
}

// recordOverrun counts a request above the limit. During a cold start it slows the engine.
func (e *Engine) recordOverrun(now time.Time) {
	if e.warm {
		e.stats.Overloads++
		return
	}
	e.stats.Overruns++
	e.slowUntil = now.Add(slowDuration)
}

func (e *Engine) recordStart() {
	e.stats.Generated++
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.running))
	if !e.warm {
		e.stats.ColdMaxRunning = max(e.stats.ColdMaxRunning, len(e.running))
	}
}

// prefillDelay returns the time until the first token. It is zero if the KV cache of the
// attempt was imported, and shorter if the prefix is cached.
func (e *Engine) prefillDelay(req generateRequest, now time.Time) time.Duration {
	const cachedDivisor = 4
	cached := e.prefixCache.insert(Prefix(req.Prompt), now)
	_, imported := e.kvCaches.texts[req.ID]
	e.kvCaches.insert(req.ID, req.Prompt[:min(prefixBytes, len(req.Prompt))])
	switch {
	case imported:
		return 0
	case cached:
		return e.config.PrefillDelay / cachedDivisor
	default:
		return e.config.PrefillDelay
	}
}

func (e *Engine) endWork(id string, w *work) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if e.running[id] == w {
		delete(e.running, id)
	}
	e.coldEnded++
	e.updateWarmth(now)
	e.recordSnapshot(now)
}

// nextToken counts a token. It returns the active digest, which makes the token, and the
// delay after it.
func (e *Engine) nextToken() (contract.Digest, time.Duration) {
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

// streamer writes an answer as a stream of events.
type streamer struct {
	engine  *Engine
	work    *work
	request generateRequest
	w       http.ResponseWriter
	r       *http.Request
	mixed   bool
}

func (s *streamer) run(prefill time.Duration) {
	if !s.wait(prefill) {
		return
	}
	digest := s.request.Digest
	for i := s.request.ResumeAt; i < s.request.MaxTokens; i++ {
		var delay time.Duration
		digest, delay = s.engine.nextToken()
		s.mixed = s.mixed || digest != s.request.Digest
		s.sendEvent("token", map[string]any{"at": i, "text": Token(s.request.Prompt, digest, i)})
		if !s.wait(delay) {
			return
		}
	}
	if s.mixed {
		s.engine.mu.Lock()
		s.engine.stats.Mixed++
		s.engine.mu.Unlock()
	}
	s.sendEvent("end", map[string]any{"tokens": s.request.MaxTokens, "digest": digest})
}

// wait waits for d and reports whether the work continues.
func (s *streamer) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.work.stopped:
		if s.work.abort {
			panic(http.ErrAbortHandler)
		}
		return false
	case <-s.r.Context().Done():
		s.engine.recordCancelled()
		return false
	}
}

func (e *Engine) recordCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Cancelled++
}

func (s *streamer) sendEvent(name string, v any) {
	data, _ := json.Marshal(v)
	_, _ = fmt.Fprintf(s.w, "event: %s\ndata: %s\n\n", name, data)
	if f, ok := s.w.(http.Flusher); ok {
		f.Flush()
	}
}

// serveExport answers with the KV cache of an attempt, for import by a different engine.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	blob, ok := e.kvCaches.texts[r.PathValue("id")]
	e.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = io.WriteString(w, blob)
}

// serveImport stores the KV cache of an attempt, which then needs no prefill.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	blob, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "body too long or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kvCaches.insert(r.PathValue("id"), string(blob[:min(prefixBytes, len(blob))]))
	w.WriteHeader(http.StatusNoContent)
}
