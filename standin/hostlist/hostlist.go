// Package hostlist is a stand-in of the platform's lagging host list.
//
// Besides the platform's GET /hosts it takes PUT /hosts with a whole list and
// POST /hosts/{machine} with {"state":"live|leaving|gone"}.
package hostlist

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/zone/hostlist"
)

// stateGone removes a host from the list.
const stateGone hostlist.State = "gone"

// Config holds the settings of a host list.
type Config struct {
	// Lag is how old the list is that callers see.
	Lag time.Duration
}

// Stats is what GET /stats shows.
type Stats struct {
	Gets    uint64 `json:"gets"`
	Version uint64 `json:"version"`
	Hosts   int    `json:"hosts"`
}

type version struct {
	at   time.Time
	list hostlist.List
}

// List is the stand-in.
type List struct {
	config Config

	mu sync.Mutex
	// past holds the lists that callers saw before, oldest first; versions the
	// list that they see and all later ones.
	past     []hostlist.List
	versions []version
	gets     uint64
}

// New returns an empty list with switchable faults.
func New(config Config) *fault.Switch {
	l := &List{config: config, versions: []version{{list: hostlist.List{Hosts: []hostlist.Host{}}}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /hosts", l.serveGet)
	mux.HandleFunc("PUT /hosts", l.servePut)
	mux.HandleFunc("POST /hosts/{machine}", l.servePost)
	return fault.Wrap(mux, l.snapshot, nil)
}

func (l *List) snapshot() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.newest()
	return Stats{Gets: l.gets, Version: newest.Version, Hosts: len(newest.Hosts)}
}

func (l *List) newest() hostlist.List {
	return l.versions[len(l.versions)-1].list
}

// change adds a version with the given hosts.
func (l *List) change(hosts []hostlist.Host) {
	list := hostlist.List{Version: l.newest().Version + 1, Hosts: hosts}
	l.versions = append(l.versions, version{at: time.Now(), list: list})
}

// maxPast is how many former lists a change can start from.
const maxPast = 64

// look is how often a waiting call looks for a change.
const look = 20 * time.Millisecond

// serveGet answers with what changed, and waits for a change if the caller asks.
func (l *List) serveGet(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	l.countGet()
	change := l.visible(after)
	for change.Version == after && after != 0 && time.Now().Before(end) && r.Context().Err() == nil {
		time.Sleep(look)
		change = l.visible(after)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(change)
}

func (l *List) countGet() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gets++
}

// visible returns the change from a version to what callers see now.
func (l *List) visible(after uint64) hostlist.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	shown := time.Now().Add(-l.config.Lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(shown) {
		l.past = append(l.past, l.versions[0].list)
		l.past = l.past[max(0, len(l.past)-maxPast):]
		l.versions = l.versions[1:]
	}
	return l.since(after)
}

// since returns the change from a version that a caller has seen, or the whole
// list if that version is not known.
func (l *List) since(after uint64) hostlist.Change {
	shown := l.versions[0].list
	if after == shown.Version && after != 0 {
		return hostlist.Change{Version: after, BaseVersion: after, Hosts: []hostlist.Host{}}
	}
	for _, older := range l.past {
		if older.Version == after && after != 0 {
			return shown.ChangeSince(older)
		}
	}
	return hostlist.Change{Version: shown.Version, Hosts: shown.Hosts}
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var list hostlist.List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.change(list.Hosts)
	w.WriteHeader(http.StatusNoContent)
}

func (l *List) servePost(w http.ResponseWriter, r *http.Request) {
	var body struct {
		State hostlist.State `json:"state"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	machine := contract.MachineID(r.PathValue("machine"))
	hosts := slices.Clone(l.newest().Hosts)
	i := slices.IndexFunc(hosts, func(h hostlist.Host) bool { return h.Machine == machine })
	if i < 0 {
		http.Error(w, "no such machine", http.StatusNotFound)
		return
	}
	switch body.State {
	case stateGone:
		hosts = slices.Delete(hosts, i, i+1)
	case hostlist.Live, hostlist.Leaving:
		hosts[i].State = body.State
	default:
		http.Error(w, "unknown state", http.StatusBadRequest)
		return
	}
	l.change(hosts)
	w.WriteHeader(http.StatusNoContent)
}
