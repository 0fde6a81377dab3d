//go:build review

package harness

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"
)

// membersTopic holds the addresses of the system's own processes.
const membersTopic = "keyed.members"

// LateWrites is an address of the store at which the answer of one write can be lost. The write is then done
// seconds later, as the pages say: "A call that receives no response may have been executed, or may be executed
// seconds later if its condition still holds."
type LateWrites struct {
	server *httptest.Server
	store  http.Handler
	record *Record

	mu sync.Mutex
	// machine is the machine whose next member record is written late; empty for none.
	machine string
	// late holds the body of that write, sent at lateSentAt, until it is done. writes counts all writes.
	late       []byte
	lateSentAt time.Time
	isDone     bool
	writes     int
}

// NewLateWrites opens the address in front of the deployment's store. Machines that are made later use it.
func (d *Deployment) NewLateWrites() *LateWrites {
	l := &LateWrites{store: d.Store.Config.Handler, record: d.Record}
	l.server = httptest.NewServer(l)
	d.StoreAddress = strings.TrimPrefix(l.server.URL, "http://")
	return l
}

// Close closes the address.
func (l *LateWrites) Close() {
	l.server.CloseClientConnections()
	l.server.Close()
}

// LoseNext has the answer of the next write of a machine's member record be lost, and the write be done late.
func (l *LateWrites) LoseNext(machine string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.machine, l.writes = machine, 0
}

// Writes returns the number of writes since LoseNext.
func (l *LateWrites) Writes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writes
}

// LateSentAt returns when the write was sent whose answer was lost; zero if there was none yet.
func (l *LateWrites) LateSentAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lateSentAt
}

// ServeHTTP implements http.Handler.
func (l *LateWrites) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/log-append" {
		l.store.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if l.isLost(r, body) {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	l.store.ServeHTTP(w, r)
	if r.URL.Query().Get("topic") == membersTopic {
		l.doLateWrite(recordKey(body))
	}
}

// isLost counts a write, and reports whether its answer is lost.
func (l *LateWrites) isLost(r *http.Request, body []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes++
	if r.URL.Query().Get("topic") == membersTopic {
		l.record.Printf("store: a member record is written: %s", recordKey(body))
	}
	if l.machine == "" || recordKey(body) != l.machine {
		return false
	}
	l.record.Printf("store: the answer to the write of %s is lost", l.machine)
	l.machine, l.late, l.lateSentAt = "", body, time.Now()
	return true
}

// recordKey returns the key of the first record of a write to a keyed topic.
func recordKey(body []byte) string {
	const lengthBytes = 4
	if len(body) <= lengthBytes || len(body) < lengthBytes+1+int(body[lengthBytes]) {
		return ""
	}
	return string(body[lengthBytes+1 : lengthBytes+1+int(body[lengthBytes])])
}

// minLate and maxLate bound how late a write is done: "late (done 1 to 6 s later)".
const (
	minLate = time.Second
	maxLate = 6 * time.Second
)

// doLateWrite does the write whose answer was lost, if a write of the same key has just been done and it is
// time: the newer one came first.
func (l *LateWrites) doLateWrite(key string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age := time.Since(l.lateSentAt)
	if l.late == nil || recordKey(l.late) != key || age < minLate || age > maxLate {
		return
	}
	request := httptest.NewRequest(http.MethodPost, "/-/log-append?topic="+membersTopic+"&part=0", bytes.NewReader(l.late))
	l.store.ServeHTTP(httptest.NewRecorder(), request)
	l.late, l.isDone = nil, true
	l.record.Printf("store: the late write of %s is done, %d ms after it was sent", key, age.Milliseconds())
}

// IsLateWriteDone reports whether the write whose answer was lost has been done.
func (l *LateWrites) IsLateWriteDone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isDone
}
