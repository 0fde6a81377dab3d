// Package hostlist is a stand-in of the platform's host list, which lags.
//
// In addition to the platform's GET /hosts it serves PUT /hosts, which replaces the list, and
// POST /hosts/{machine} with {"state":"live|leaving|gone"}, which changes a host.
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
	// Lag is the age of the list that callers see.
	Lag time.Duration
}

// Stats is what GET /stats shows.
type Stats struct {
	Gets    uint64 `json:"gets"`
	Version uint64 `json:"version"`
	Hosts   int    `json:"hosts"`
}

// version is a version of the list and the time when it was made.
type version struct {
	at   time.Time
	list hostlist.List
}

// List is the stand-in.
type List struct {
	config Config

	mu sync.Mutex
	// formerLists holds the lists that callers saw before, the oldest first. versions holds
	// the list that callers see, followed by the later ones.
	formerLists []hostlist.List
	versions    []version
	gets        uint64
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

// newest returns the newest list; mu must be held.
func (l *List) newest() hostlist.List {
	return l.versions[len(l.versions)-1].list
}

// addVersion adds a version with the given hosts; mu must be held.
func (l *List) addVersion(hosts []hostlist.Host) {
	list := hostlist.List{Version: l.newest().Version + 1, Hosts: hosts}
	l.versions = append(l.versions, version{at: time.Now(), list: list})
}

// maxFormerLists is the number of former lists that are retained as the base of a change.
const maxFormerLists = 64

// pollInterval is the interval at which a waiting call checks for a change.
const pollInterval = 20 * time.Millisecond

// serveGet answers with the change since a version, and waits for a change if the caller
// requests it.
func (l *List) serveGet(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("wait_ms"))
	deadline := time.Now().Add(time.Duration(wait) * time.Millisecond)
	l.countGet()
	change := l.visibleChange(after)
	for change.Version == after && after != 0 && time.Now().Before(deadline) && r.Context().Err() == nil {
		time.Sleep(pollInterval)
		change = l.visibleChange(after)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(change)
}

func (l *List) countGet() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gets++
}

// visibleChange returns the change from a version to the list that callers see now.
func (l *List) visibleChange(after uint64) hostlist.Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	visibleAt := time.Now().Add(-l.config.Lag)
	for len(l.versions) > 1 && !l.versions[1].at.After(visibleAt) {
		l.formerLists = append(l.formerLists, l.versions[0].list)
		l.formerLists = l.formerLists[max(0, len(l.formerLists)-maxFormerLists):]
		l.versions = l.versions[1:]
	}
	return l.changeSince(after)
}

// changeSince returns the change from a version that a caller has seen, or the complete list
// if that version is unknown; mu must be held.
func (l *List) changeSince(after uint64) hostlist.Change {
	visible := l.versions[0].list
	if after == visible.Version && after != 0 {
		return hostlist.Change{Version: after, BaseVersion: after, Hosts: []hostlist.Host{}}
	}
	for _, older := range l.formerLists {
		if older.Version == after && after != 0 {
			return visible.ChangeSince(older)
		}
	}
	return hostlist.Change{Version: visible.Version, Hosts: visible.Hosts}
}

func (l *List) servePut(w http.ResponseWriter, r *http.Request) {
	var list hostlist.List
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addVersion(list.Hosts)
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
	l.addVersion(hosts)
	w.WriteHeader(http.StatusNoContent)
}
