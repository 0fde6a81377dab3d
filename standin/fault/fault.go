// Package fault adds switchable faults (POST /fault) and statistics in JSON (GET /stats) to a
// stand-in.
package fault

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Kind names a fault.
type Kind string

// The faults that every stand-in has. A stand-in may have others of its own, such as "cold".
const (
	// None switches off all faults that are still active; see Request.Count.
	None Kind = "none"
	// Down answers with status 503 without handling the call.
	Down Kind = "down"
	// Slow delays the handling of the call.
	Slow Kind = "slow"
	// LostReply handles the call and then closes the connection without a reply.
	LostReply Kind = "lost_reply"
	// Corrupt inverts one byte in each write of the reply.
	Corrupt Kind = "corrupt"
	// Stall stops in the middle of the first write of the reply, holds the call and then
	// closes the connection. The call is held until the time of the fault is over, the fault
	// is switched off or the caller disconnects.
	Stall Kind = "stall"
	// Frozen accepts the call, holds it without an answer for as long as Stall does, and
	// then closes the connection.
	Frozen Kind = "frozen"
)

// Request is the body of POST /fault.
type Request struct {
	Fault Kind `json:"fault"`
	// ForMS is the number of milliseconds after which the fault ends; 0 means no limit.
	ForMS int64 `json:"for_ms"`
	// Count is the number of matching calls after which the fault is no longer active; 0
	// means no limit. It does not release the calls that the fault holds, and None does not
	// reach them any more.
	Count int `json:"count"`
	// DelayMS is the delay of Slow in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Method and Path, if set, restrict the fault to calls with that method and with that
	// path prefix.
	Method string `json:"method"`
	Path   string `json:"path"`
}

// activeFault is a fault that is switched on.
type activeFault struct {
	Request
	// until is when the time of the fault is over, or zero. callsLeft is the number of
	// matching calls after which it is no longer active, if Count is set.
	until     time.Time
	callsLeft int
	// switchedOff is closed when the fault is switched off while it is active, and not when
	// its time is over or its calls are used up.
	switchedOff chan struct{}
}

func (a *activeFault) matches(r *http.Request) bool {
	return (a.Method == "" || a.Method == r.Method) && strings.HasPrefix(r.URL.Path, a.Path)
}

// Switch holds the faults of a stand-in. It is an http.Handler that serves POST /fault and
// GET /stats itself, and passes all other calls to the handler of the stand-in.
type Switch struct {
	next      http.Handler
	stats     func() any
	ownFaults map[Kind]func()

	mu     sync.Mutex
	active []*activeFault
}

// Wrap adds switchable faults to a handler. The function stats returns the value that
// GET /stats encodes as JSON. The functions in ownFaults trigger the stand-in's own faults,
// which take effect once.
func Wrap(next http.Handler, stats func() any, ownFaults map[Kind]func()) *Switch {
	return &Switch{next: next, stats: stats, ownFaults: ownFaults}
}

// Set switches a fault on, or all active faults off if the fault is None. It reports whether
// the fault is known.
func (s *Switch) Set(r Request) bool {
	if trigger, ok := s.ownFaults[r.Fault]; ok {
		trigger()
		return true
	}
	switch r.Fault {
	case None:
		s.deactivateAll()
	case Down, Slow, LostReply, Corrupt, Stall, Frozen:
		s.activate(r)
	default:
		return false
	}
	return true
}

func (s *Switch) activate(r Request) {
	a := &activeFault{Request: r, callsLeft: r.Count, switchedOff: make(chan struct{})}
	if r.ForMS > 0 {
		a.until = time.Now().Add(time.Duration(r.ForMS) * time.Millisecond)
	}
	s.mu.Lock()
	s.active = append(s.active, a)
	s.mu.Unlock()
}

// deactivateAll switches off all active faults and releases the calls that they hold.
func (s *Switch) deactivateAll() {
	s.mu.Lock()
	for _, a := range s.active {
		close(a.switchedOff)
	}
	s.active = nil
	s.mu.Unlock()
}

// matchFaults returns the faults that apply to a call, and counts the call for each of them.
// It removes faults whose time is over or whose calls are used up.
func (s *Switch) matchFaults(r *http.Request) map[Kind]*activeFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	found := map[Kind]*activeFault{}
	stillActive := s.active[:0]
	for _, a := range s.active {
		if !a.until.IsZero() && now.After(a.until) {
			continue
		}
		if a.matches(r) {
			found[a.Fault] = a
			a.callsLeft--
		}
		if a.Count == 0 || a.callsLeft > 0 {
			stillActive = append(stillActive, a)
		}
	}
	s.active = stillActive
	return found
}

// ServeHTTP implements http.Handler.
func (s *Switch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "POST /fault":
		s.serveFault(w, r)
	case "GET /stats":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.stats())
	default:
		s.serveNext(w, r)
	}
}

func (s *Switch) serveFault(w http.ResponseWriter, r *http.Request) {
	var req Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.Set(req) {
		http.Error(w, "unknown fault", http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Switch) serveNext(w http.ResponseWriter, r *http.Request) {
	faults := s.matchFaults(r)
	if a := faults[Frozen]; a != nil {
		a.waitUntilEnd(r)
		panic(http.ErrAbortHandler)
	}
	if faults[Down] != nil {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	if a := faults[Slow]; a != nil {
		a.wait(r, time.Duration(a.DelayMS)*time.Millisecond)
	}
	if faults[LostReply] != nil {
		s.next.ServeHTTP(&discardWriter{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	if a := faults[Corrupt]; a != nil {
		w = &corruptWriter{ResponseWriter: w}
	}
	if a := faults[Stall]; a != nil {
		w = &stallWriter{ResponseWriter: w, fault: a, request: r}
	}
	s.next.ServeHTTP(w, r)
}

// wait blocks for d, or until the caller disconnects or the fault is switched off while it is
// active.
func (a *activeFault) wait(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.switchedOff:
	case <-r.Context().Done():
	}
}

// waitUntilEnd blocks until the caller disconnects, the time of the fault is over or the
// fault is switched off while it is active; a fault without a time holds for maxWait at most.
func (a *activeFault) waitUntilEnd(r *http.Request) {
	const maxWait = 24 * time.Hour
	timeLeft := maxWait
	if !a.until.IsZero() {
		timeLeft = time.Until(a.until)
	}
	a.wait(r, timeLeft)
}
