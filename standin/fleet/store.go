// Package fleet contains stand-ins of the platform's log store, model engines, plain
// services and origin of weights. They speak the platform's published protocols. Tests and
// the demo run the real processes against them.
package fleet

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const topicMembers = "keyed.members"

// Store is a stand-in of the platform's log store. Its faults may be set at any time.
type Store struct {
	loopbackServer

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
	// down is set if all calls are refused.
	down  bool
	calls int
	// recordsServed counts the records in the replies to reads.
	recordsServed int
	// writeDelay, if not 0, is the time from a write until its records appear; the reply
	// to the write is lost.
	writeDelay time.Duration
	// wakeupsDisabled is set if waiting reads are not woken.
	wakeupsDisabled bool
	// era is reported in all answers unless eraHidden is set; writes lists all writes, from
	// which an older copy is made.
	era       int64
	eraHidden bool
	writes    []write
}

type topic struct {
	// first is the offset of the first of the retained records, writtenAt holds the time of
	// the newest record of each key.
	first     int64
	records   [][]byte
	writtenAt map[string]time.Time
	// newest holds the offset of the newest record of each key, and values its value.
	newest map[string]int64
	values map[string][]byte
}

// NewStore starts a store on a loopback address.
func NewStore() *Store {
	s := &Store{topics: map[string]*topic{}, changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	s.loopbackServer = newLoopbackServer(s.withFault(mux))
	return s
}

// SetDown sets whether the store refuses all calls.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wakeReaders()
}

// SetWriteDelay has the store lose the replies to writes and apply the writes after a
// delay; 0 ends the fault.
func (s *Store) SetWriteDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeDelay = delay
}

// SetWakeupsDisabled sets whether waiting reads are left unwoken by writes. They then wait
// until their time is over.
func (s *Store) SetWakeupsDisabled(disabled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.wakeupsDisabled = disabled
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// RecordsServed returns the number of records in the replies to reads so far.
func (s *Store) RecordsServed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recordsServed
}

// AccessPoint is an additional address of a store that can be down on its own. The store is
// then unavailable to the hosts that use this address.
type AccessPoint struct {
	loopbackServer
	down atomic.Bool

	mu sync.Mutex
	// privateAddr is the address in a member's record that publicAddr replaces.
	privateAddr, publicAddr string
}

// NewAccessPoint opens an additional address of the store.
func (s *Store) NewAccessPoint() *AccessPoint {
	a := &AccessPoint{}
	a.loopbackServer = newLoopbackServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if r.URL.Query().Get("topic") == topicMembers {
			r.Body = a.withPublicAddress(r.Body)
		}
		s.Config.Handler.ServeHTTP(w, r)
	}))
	return a
}

// ReplaceAddress replaces an address in the member records that are written through the
// access point, so that the links to the member can be led through a relay. Both addresses
// must have the same length.
func (a *AccessPoint) ReplaceAddress(privateAddr, publicAddr string) error {
	if len(privateAddr) != len(publicAddr) {
		return fmt.Errorf("standin: addresses %q and %q differ in length", privateAddr, publicAddr)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.privateAddr, a.publicAddr = privateAddr, publicAddr
	return nil
}

// withPublicAddress returns a body in which the public address replaces the private one.
func (a *AccessPoint) withPublicAddress(body io.ReadCloser) io.ReadCloser {
	a.mu.Lock()
	privateAddr, publicAddr := a.privateAddr, a.publicAddr
	a.mu.Unlock()
	data, err := io.ReadAll(body)
	if err != nil || privateAddr == "" {
		return io.NopCloser(bytes.NewReader(data))
	}
	return io.NopCloser(bytes.NewReader(bytes.ReplaceAll(data, []byte(privateAddr), []byte(publicAddr))))
}

// SetDown sets whether the access point refuses all calls. It closes the connections of
// waiting calls.
func (a *AccessPoint) SetDown(down bool) {
	a.down.Store(down)
	a.CloseClientConnections()
}

// withFault wraps a handler with the fault of a store that is down, and counts the calls.
func (s *Store) withFault(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		down := s.down
		if !s.eraHidden {
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		}
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// wakeReaders wakes the waiting reads; mu must be held.
func (s *Store) wakeReaders() {
	if s.wakeupsDisabled {
		return
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// topic returns a topic, which it creates if need be; mu must be held.
func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int64{}, values: map[string][]byte{}, writtenAt: map[string]time.Time{}}
		s.topics[name] = t
	}
	return t
}

// Put writes a record to a keyed topic, as operators and targets do, and returns its offset.
func (s *Store) Put(topicName, key, value string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	return s.appendRecord(topicName, append(record, value...))
}

// Compact drops the history of a topic. The newest record of each key stays.
func (s *Store) Compact(topicName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.first += int64(len(t.records))
	t.records = nil
}

// appendRecord appends a record and returns its offset. A record with an empty value
// removes its key from the newest records of a keyed topic. mu must be held.
func (s *Store) appendRecord(topicName string, record []byte) int64 {
	s.writes = append(s.writes, write{topicName, record, time.Now()})
	return s.applyWrite(s.writes[len(s.writes)-1])
}

// applyWrite applies a write and returns its offset. mu must be held.
func (s *Store) applyWrite(wr write) int64 {
	topicName, record := wr.topic, wr.record
	t := s.topic(topicName)
	offset := t.first + int64(len(t.records))
	t.records = append(t.records, record)
	if strings.HasPrefix(topicName, "keyed.") {
		key := string(record[1 : 1+int(record[0])])
		value := record[1+int(record[0]):]
		t.newest[key], t.values[key], t.writtenAt[key] = offset, value, wr.at
		if len(value) == 0 {
			delete(t.newest, key)
			delete(t.values, key)
		}
	}
	s.wakeReaders()
	return offset
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	delay := s.writeDelay
	s.mu.Unlock()
	if delay > 0 {
		time.AfterFunc(delay, func() { s.appendRecords(name, body) })
		panic(http.ErrAbortHandler)
	}
	first, end := s.appendRecords(name, body)
	_ = json.NewEncoder(w).Encode(map[string]int64{"offset": first, "end_offset": end})
}

// appendRecords appends the records of a write. It returns the offset of the first of them
// and that of the next record to be written.
func (s *Store) appendRecords(name string, body []byte) (first, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = -1
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		offset := s.appendRecord(name, append([]byte(nil), body[4:4+n]...))
		if first < 0 {
			first = offset
		}
		body = body[4+n:]
	}
	t := s.topic(name)
	return first, t.first + int64(len(t.records))
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		w.Header().Del("Store-Era")
		if !s.eraHidden {
			w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
		}
		t := s.topic(query.Get("topic"))
		end, first, changed, down := t.first+int64(len(t.records)), t.first, s.changed, s.down
		var records [][]byte
		if from >= first && from < end {
			records = t.records[from-first:]
			s.recordsServed += len(records)
		}
		s.mu.Unlock()
		left := time.Until(until)
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case from < first, from > end:
			w.WriteHeader(http.StatusGone)
			_ = json.NewEncoder(w).Encode(map[string]int64{"first": first})
			return
		case len(records) > 0 || left <= 0:
			writeRecords(w, end, first, records)
			return
		}
		select {
		case <-changed:
		case <-time.After(left):
		case <-r.Context().Done():
			return
		}
	}
}

// writeRecords writes the reply to a read: the end offset and the first offset, then the
// records, each after its length.
func writeRecords(w io.Writer, end, first int64, records [][]byte) {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r)))
		out = append(out, r...)
	}
	_, _ = w.Write(out)
}

// maxPageItems and maxPageBytes bound a page of the newest records.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// serveNewest answers with a page of the newest records, in the order of their keys.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
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
	size, hasMore := 0, false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		size += len(t.values[key])
		if hasMore = len(items) > 0 && (len(items) == maxPageItems || size > maxPageBytes); hasMore {
			break
		}
		s.recordsServed++
		items = append(items, item{Key: key, Value: t.values[key], Offset: t.newest[key]})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{
		"items": items, "has_more": hasMore, "end_offset": t.first + int64(len(t.records)),
	})
}
