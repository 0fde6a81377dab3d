// Package fleet holds stand-ins of the users' platform that speak its published
// protocol: the log store, model engines, plain services and the origin of
// weights. Tests and the demo run the real processes against them.
package fleet

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const topicMembers = "keyed.members"

// Store is a stand-in of the platform's store. Its faults may be set at any time.
type Store struct {
	server *httptest.Server

	mu     sync.Mutex
	topics map[string]*topic
	grown  chan struct{}
	// down refuses all calls.
	down  bool
	calls int
	// told counts the records that replies to reads have carried.
	told int
	// late, if not 0, is how long after a write its records appear; its answer is lost.
	late time.Duration
	// asleep keeps reads that wait from being woken.
	asleep bool
}

type topic struct {
	first   int64
	records [][]byte
	// newest holds the offset of each key's newest record, and values the records.
	newest map[string]int64
	values map[string][]byte
}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{topics: map[string]*topic{}, grown: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.append)
	mux.HandleFunc("GET /-/log-read", s.read)
	mux.HandleFunc("GET /-/log-newest", s.newest)
	s.server = httptest.NewServer(s.guard(mux))
	return s
}

// Address is the store's "ip:port".
func (s *Store) Address() string { return strings.TrimPrefix(s.server.URL, "http://") }

// Close stops the store.
func (s *Store) Close() {
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetDown has the store refuse all calls, or take them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// SetLate has the store lose the answers to writes and apply them so much later; 0 ends
// that.
func (s *Store) SetWriteDelay(late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.late = late
}

// SetAsleep keeps reads that wait from being woken by writes, or lets them be.
func (s *Store) SetWakeupsDisabled(asleep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asleep = asleep
}

// Calls is the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Records is the number of records that replies to reads have carried so far.
func (s *Store) RecordsServed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told
}

// Door is another address of a store, which can refuse on its own: the store turns
// away the machines that use it.
type AccessPoint struct {
	server *httptest.Server
	closed atomic.Bool

	mu sync.Mutex
	// private and public are the address in a member's record and what takes its place.
	private, public string
}

// NewDoor opens another address of the store.
func (s *Store) NewAccessPoint() *AccessPoint {
	d := &AccessPoint{}
	d.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.closed.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Get("topic") == topicMembers {
			r.Body = d.published(r.Body)
		}
		s.server.Config.Handler.ServeHTTP(w, r)
	}))
	return d
}

// Publish has the machine's own record name another address of the same length, so that
// a relay can stand before its links.
func (d *AccessPoint) ReplaceAddress(private, public string) error {
	if len(private) != len(public) {
		return fmt.Errorf("standin: %q and %q differ in length", private, public)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.private, d.public = private, public
	return nil
}

// published puts the public address in the place of the private one.
func (d *AccessPoint) published(body io.ReadCloser) io.ReadCloser {
	d.mu.Lock()
	private, public := d.private, d.public
	d.mu.Unlock()
	data, err := io.ReadAll(body)
	if err != nil || private == "" {
		return io.NopCloser(bytes.NewReader(data))
	}
	return io.NopCloser(bytes.NewReader(bytes.ReplaceAll(data, []byte(private), []byte(public))))
}

// Address is the door's "ip:port".
func (d *AccessPoint) Address() string { return strings.TrimPrefix(d.server.URL, "http://") }

// SetClosed has the door refuse all calls, or take them again. Calls that wait
// are cut.
func (d *AccessPoint) SetDown(closed bool) {
	d.closed.Store(closed)
	d.server.CloseClientConnections()
}

// Close ends the door.
func (d *AccessPoint) Close() {
	d.server.CloseClientConnections()
	d.server.Close()
}

func (s *Store) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		down := s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// wake tells the reads that wait; mu must be held.
func (s *Store) wake() {
	if s.asleep {
		return
	}
	close(s.grown)
	s.grown = make(chan struct{})
}

func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int64{}, values: map[string][]byte{}}
		s.topics[name] = t
	}
	return t
}

// Put writes a record of a keyed topic, as operators and targets do.
func (s *Store) Put(topicName, key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	return s.add(topicName, append(record, value...))
}

// Compact drops the history of a topic; the newest record of each key stays.
func (s *Store) Compact(topicName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.first += int64(len(t.records))
	t.records = nil
}

func (s *Store) add(topicName string, record []byte) int64 {
	t := s.topic(topicName)
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, record)
	if strings.HasPrefix(topicName, "keyed.") {
		key := string(record[1 : 1+int(record[0])])
		value := record[1+int(record[0]):]
		t.newest[key], t.values[key] = offset, value
		if len(value) == 0 {
			delete(t.newest, key)
			delete(t.values, key)
		}
	}
	s.wake()
	return offset
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	late := s.late
	s.mu.Unlock()
	if late > 0 {
		time.AfterFunc(late, func() { s.addAll(name, body) })
		panic(http.ErrAbortHandler)
	}
	first, end := s.addAll(name, body)
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": first, "end_offset": end})
}

// addAll adds the records of a write and returns the offset of the first one and that
// of the next to come.
func (s *Store) addAll(name string, body []byte) (first, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = -1
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		offset := s.add(name, append([]byte(nil), body[4:4+n]...))
		if first < 0 {
			first = offset
		}
		body = body[4+n:]
	}
	t := s.topic(name)
	return first, t.first + int64(len(t.records))
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(query.Get("topic"))
		end, first, grown, down := t.first+int64(len(t.records)), t.first, s.grown, s.down
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
			s.told += len(records)
		}
		s.mu.Unlock()
		left := time.Until(until)
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from < first:
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"first": first})
			return
		case len(records) > 0 || left <= 0:
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-grown:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

func writeRecords(w io.Writer, end, first int64, records [][]byte) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	after := r.URL.Query().Get("after")
	for key, offset := range t.newest {
		if key <= after {
			continue
		}
		s.told++
		items = append(items, item{Key: key, Value: t.values[key], Offset: offset})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items": items, "has_more": false, "end_offset": t.first + int64(len(t.records)),
	})
}
