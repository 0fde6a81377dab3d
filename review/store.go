//go:build review

// Package review contains the stand-ins of the review cases: the platform's log store, model
// engines, the origin of weights and clients. It also starts the project's processes. The
// stand-ins follow the users' protocol page and know nothing of the project's code.
package review

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// newestPageItems and newestPageBytes bound one page of the newest records of a topic.
	newestPageItems = 500
	newestPageBytes = 1 << 20
)

// Topics that the platform itself writes.
const (
	TopicOperators = "keyed.op"
	TopicServers   = "keyed.servers"
)

// Store is a stand-in of the platform's log store. All topics are keyed and have one partition.
type Store struct {
	address string
	keep    time.Duration

	mu      sync.Mutex
	topics  map[string]*topic
	changed chan struct{}
}

// record is one record of a keyed topic. A record without a value drops its key.
type record struct {
	offset    int64
	key       string
	value     []byte
	writtenAt time.Time
}

type topic struct {
	// history holds the records that have not expired; end is the next offset.
	history []record
	end     int64
	newest  map[string]record
}

// NewStore starts a store whose history expires after keep.
func NewStore(address string, keep time.Duration) (*Store, error) {
	s := &Store{address: address, keep: keep, topics: map[string]*topic{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", s.serveAppend)
	mux.HandleFunc("GET /-/log-read", s.serveRead)
	mux.HandleFunc("GET /-/log-newest", s.serveNewest)
	_, err := listenAndServe(address, mux)
	return s, err
}

// Put writes a record, as operators and engines do.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(topicName, key, value)
}

// Keys returns the number of keys of a topic.
func (s *Store) Keys(topicName string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(topicName).newest)
}

// FirstOffset returns the offset of the oldest record of a topic that has not expired.
func (s *Store) FirstOffset(topicName string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.expire(s.keep)
	return t.first()
}

// topic returns a topic, which it creates if need be; mu must be held.
func (s *Store) topic(name string) *topic {
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]record{}}
		s.topics[name] = t
	}
	return t
}

func (t *topic) first() int64 { return t.end - int64(len(t.history)) }

// expire drops the history that is older than keep. The newest record of each key stays.
func (t *topic) expire(keep time.Duration) {
	n := 0
	for n < len(t.history) && time.Since(t.history[n].writtenAt) > keep {
		n++
	}
	t.history = t.history[n:]
}

// append adds a record and wakes waiting reads; mu must be held.
func (s *Store) append(topicName, key string, value []byte) int64 {
	t := s.topic(topicName)
	r := record{offset: t.end, key: key, value: value, writtenAt: time.Now()}
	t.history = append(t.history, r)
	t.end++
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return r.offset
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	first, end := s.appendAll(r.URL.Query().Get("topic"), body)
	writeJSON(w, map[string]int64{"offset": first, "end_offset": end})
}

// appendAll appends the records of a call: each is preceded by its length.
func (s *Store) appendAll(name string, body []byte) (first, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first = s.topic(name).end
	for len(body) >= 4 {
		n := binary.BigEndian.Uint32(body)
		key, value := splitKey(body[4 : 4+n])
		s.append(name, key, value)
		body = body[4+n:]
	}
	return first, s.topic(name).end
}

// splitKey splits the length of a key, the key and the value.
func splitKey(data []byte) (key string, value []byte) {
	n := 1 + int(data[0])
	return string(data[1:n]), data[n:]
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for expired := false; ; {
		records, first, end, changed := s.recordsFrom(query.Get("topic"), from)
		switch {
		case from < first:
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]int64{"first": first})
			return
		case len(records) > 0 || expired || waitMS == 0:
			_, _ = w.Write(encodeBatch(records, first, end))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

// recordsFrom returns the records of a topic from an offset on, and a channel that is closed
// by the next append.
func (s *Store) recordsFrom(name string, from int64) (records []record, first, end int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.expire(s.keep)
	if from >= t.first() && from < t.end {
		records = slices.Clone(t.history[from-t.first():])
	}
	return records, t.first(), t.end, s.changed
}

// encodeBatch returns the answer to a read: the end, the first offset, and the records.
func encodeBatch(records []record, first, end int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(append(out, byte(len(r.key))), r.key...)
		out = append(out, r.value...)
	}
	return out
}

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// serveNewest answers with the newest record of each key, in the order of the keys, a page of
// at most newestPageItems or newestPageBytes at a time.
func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	after := r.URL.Query().Get("after")
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, strings.Compare)
	items, bytes := []newestItem{}, 0
	for _, key := range keys {
		value := t.newest[key].value
		if len(items) == newestPageItems || bytes+len(value) > newestPageBytes {
			break
		}
		bytes += len(value)
		items = append(items, newestItem{Key: key, Value: value, Offset: t.newest[key].offset})
	}
	writeJSON(w, map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": t.end})
}

func writeJSON(w http.ResponseWriter, value any) { _ = json.NewEncoder(w).Encode(value) }
