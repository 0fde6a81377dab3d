package fleet

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// crashDelay is the time from the head of an answer to the crash that its request causes.
	crashDelay = 50 * time.Millisecond
	// DefaultDowntime is how long an engine is down after a crash.
	DefaultDowntime = time.Second
	// listenRetryInterval is the time between two tries to listen at the former address.
	listenRetryInterval = 10 * time.Millisecond
)

// Crash describes a crash of an engine.
type Crash struct {
	At time.Time
	// AttemptID is the attempt that caused the crash; empty for another cause.
	AttemptID string
}

// crashState is what an engine knows of its crashes. The mutex of the engine guards it.
type crashState struct {
	causes   CrashCauses
	downtime time.Duration
	crashes  []Crash
	// events is how many events of the answer come before the crash that a prompt causes.
	events int
	// stopped is set if the engine does not come back.
	stopped bool
}

// CrashCauses are the requests that make engines crash.
type CrashCauses struct {
	// Parts are parts of prompts that do, unless they come last in a prompt.
	Parts []string
	// Requests are whole requests that do, as RequestKey returns them.
	Requests []string
}

// SetCrashCauses sets which requests make the engine crash; none ends the fault.
func (e *Engine) SetCrashCauses(causes CrashCauses) { e.withLock(func() { e.crash.causes = causes }) }

// RequestKey names a request by what it has in common with its repeats.
func RequestKey(method, uri, team, body string) string {
	return strings.Join([]string{method, uri, team, body}, " ")
}

// SetEventsBeforeCrash sets how many events of an answer come before the crash that its prompt
// causes.
func (e *Engine) SetEventsBeforeCrash(n int) { e.withLock(func() { e.crash.events = n }) }

// SetDowntime sets how long the engine is down after a crash; 0 stands for DefaultDowntime.
func (e *Engine) SetDowntime(d time.Duration) { e.withLock(func() { e.crash.downtime = d }) }

// Crashes lists the crashes in order of their time.
func (e *Engine) Crashes() []Crash {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.crash.crashes)
}

// Crash has the engine crash. All its connections end, nothing listens at its address and
// nothing is published until it is back, after its downtime, as a new incarnation with the
// same weights.
func (e *Engine) Crash() { e.crashBy("") }

// crashBy has the engine crash because of an attempt, unless it is down.
func (e *Engine) crashBy(attempt string) {
	e.mu.Lock()
	server, listener := e.server, e.listener
	if server == nil || e.crash.stopped {
		e.mu.Unlock()
		return
	}
	e.server, e.running = nil, 0
	e.crash.crashes = append(e.crash.crashes, Crash{At: time.Now(), AttemptID: attempt})
	downtime := e.crash.downtime
	e.mu.Unlock()
	if downtime == 0 {
		downtime = DefaultDowntime
	}
	if e.Relay != nil {
		e.Relay.Suspend()
	}
	// When a process dies, its port refuses as soon as its connections end.
	_ = listener.Close()
	e.connections.breakAll()
	_ = server.Close()
	time.AfterFunc(downtime, e.comeBack)
}

// comeBack starts a new incarnation at the same address and lists it.
func (e *Engine) comeBack() {
	listener, err := net.Listen("tcp", e.address)
	if err == nil && e.Relay != nil {
		err = e.Relay.Resume()
	}
	if err != nil {
		if listener != nil {
			_ = listener.Close()
		}
		time.AfterFunc(listenRetryInterval, e.comeBack)
		return
	}
	e.withLock(func() { e.born, e.orders = time.Now().UnixMilli(), 0 })
	if err := e.serve(listener); err != nil {
		return
	}
	e.mu.Lock()
	stopped, state := e.crash.stopped, e.state
	e.mu.Unlock()
	if !stopped {
		e.Publish(state)
	}
}

// crashWhileServing has the engine crash and returns once the connection has ended. A model engine
// sends the head of an answer and its first events before.
func (e *Engine) crashWhileServing(w http.ResponseWriter, r *http.Request, attempt string) {
	if e.Model != "" {
		e.beginCrashingStream(w)
	}
	time.AfterFunc(crashDelay, func() { e.crashBy(attempt) })
	<-r.Context().Done()
}

func (e *Engine) beginCrashingStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	e.mu.Lock()
	events := e.crash.events
	e.mu.Unlock()
	for id := range events {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: crash\n\n", id+1)
	}
	_ = http.NewResponseController(w).Flush()
}

// endRun ends a run of the incarnation that was born at a time. Runs of former incarnations
// ended with them.
func (e *Engine) endRun(born int64) {
	e.withLock(func() {
		if e.born == born && e.server != nil {
			e.running--
		}
	})
}

// isCausedBy reports whether a request makes the engine crash; the mutex of the engine must be
// held.
func (c *crashState) isCausedBy(a Arrival) bool {
	return slices.Contains(c.causes.Requests, a.Key) || c.isCausedByPart(a.Parts)
}

func (c *crashState) isCausedByPart(parts []string) bool {
	for i, part := range parts {
		if i < len(parts)-1 && slices.Contains(c.causes.Parts, part) {
			return true
		}
	}
	return false
}

// PromptPart is a part of a prompt. Requests whose prompts have the same part give it the
// same ID.
type PromptPart struct {
	ID     string
	Tokens int
}

// setPrompt sets the headers that describe a prompt of these parts.
func setPrompt(h http.Header, parts []PromptPart) {
	var list []string
	tokens := 0
	for _, p := range parts {
		list = append(list, p.ID+":"+strconv.Itoa(p.Tokens))
		tokens += p.Tokens
	}
	h.Set("Prompt-Prefix", strings.Join(list, ","))
	h.Set("Token-Count", strconv.Itoa(tokens)+","+strconv.Itoa(maxOutputTokens))
}

// maxOutputTokens is how many tokens a caller asks for at most.
const maxOutputTokens = 32

// promptParts returns the IDs of the parts of a request's prompt, in order.
func promptParts(h http.Header) []string {
	value := h.Get("Prompt-Prefix")
	if value == "" {
		return nil
	}
	var ids []string
	for entry := range strings.SplitSeq(value, ",") {
		id, _, _ := strings.Cut(strings.TrimSpace(entry), ":")
		ids = append(ids, id)
	}
	return ids
}
