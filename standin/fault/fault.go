// Package fault wraps a stand-in with switchable faults and its statistics.
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

// The faults that every stand-in has. Others, such as "cold", are the
// stand-in's own.
const (
	// None ends all faults.
	None Kind = "none"
	// Down answers 503 without any effect.
	Down Kind = "down"
	// Slow waits for the delay before the call is handled.
	Slow Kind = "slow"
	// LostReply handles the call and then cuts the connection without a reply.
	LostReply Kind = "lost_reply"
	// Corrupt flips one byte in each part of a reply.
	Corrupt Kind = "corrupt"
	// Stall stops in the middle of a reply until the fault ends.
	Stall Kind = "stall"
	// Frozen takes the call and never answers until the fault ends.
	Frozen Kind = "frozen"
)

// Request is the body of POST /fault.
type Request struct {
	Fault Kind `json:"fault"`
	// ForMS ends the fault after that many milliseconds; 0 means no such end.
	ForMS int64 `json:"for_ms"`
	// Count ends the fault after that many calls; 0 means no such end.
	Count int `json:"count"`
	// DelayMS is the delay of Slow in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Method and Path, if set, restrict the fault to calls with that method and
	// that prefix of the path.
	Method string `json:"method"`
	Path   string `json:"path"`
}

type active struct {
	Request
	until time.Time
	left  int
	ended chan struct{}
}

func (a *active) matches(r *http.Request) bool {
	return (a.Method == "" || a.Method == r.Method) && strings.HasPrefix(r.URL.Path, a.Path)
}

// Switch holds the faults of one stand-in and serves POST /fault and GET /stats
// before its handler.
type Switch struct {
	next  http.Handler
	stats func() any
	own   map[Kind]func()

	mu     sync.Mutex
	active []*active
}

// Wrap returns next with switchable faults. The function stats gives the JSON
// value of GET /stats; own holds the stand-in's own faults, which act once.
func Wrap(next http.Handler, stats func() any, own map[Kind]func()) *Switch {
	return &Switch{next: next, stats: stats, own: own}
}

// Set switches a fault on, or all off for None. It reports whether the fault is known.
func (s *Switch) Set(r Request) bool {
	if act, ok := s.own[r.Fault]; ok {
		act()
		return true
	}
	switch r.Fault {
	case None:
		s.clear()
	case Down, Slow, LostReply, Corrupt, Stall, Frozen:
		s.add(r)
	default:
		return false
	}
	return true
}

func (s *Switch) add(r Request) {
	a := &active{Request: r, left: r.Count, ended: make(chan struct{})}
	if r.ForMS > 0 {
		a.until = time.Now().Add(time.Duration(r.ForMS) * time.Millisecond)
	}
	s.mu.Lock()
	s.active = append(s.active, a)
	s.mu.Unlock()
}

func (s *Switch) clear() {
	s.mu.Lock()
	for _, a := range s.active {
		close(a.ended)
	}
	s.active = nil
	s.mu.Unlock()
}

// take returns the faults that apply to one call and counts it.
func (s *Switch) take(r *http.Request) map[Kind]*active {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	found := map[Kind]*active{}
	kept := s.active[:0]
	for _, a := range s.active {
		if !a.until.IsZero() && now.After(a.until) {
			continue
		}
		if a.matches(r) {
			found[a.Fault] = a
			a.left--
		}
		if a.Count == 0 || a.left > 0 {
			kept = append(kept, a)
		}
	}
	s.active = kept
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
	faults := s.take(r)
	if a := faults[Frozen]; a != nil {
		a.hold(r)
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
		s.next.ServeHTTP(&discard{header: http.Header{}}, r)
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

// wait blocks for d, or until the caller goes away or the fault is cleared.
func (a *active) wait(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.ended:
	case <-r.Context().Done():
	}
}

// hold blocks until the caller goes away or the fault ends.
func (a *active) hold(r *http.Request) {
	const forever = 24 * time.Hour
	rest := forever
	if !a.until.IsZero() {
		rest = time.Until(a.until)
	}
	a.wait(r, rest)
}
