// Package logservice is a stand-in of the platform's append-only log.
package logservice

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/standin/fault"
)

const (
	maxRecordBytes  = 1 << 20
	maxBatchRecords = 512
	maxBatchBytes   = 4 << 20
	maxWait         = time.Minute
)

// Config holds the settings of a log service.
type Config struct {
	// AppendRate limits the appends per second over all streams; 0 sets no limit.
	AppendRate float64
	// Retention is the number of records of a stream that are retained; 0 means all.
	Retention int
	// Delay is the duration of an append.
	Delay time.Duration
}

// Stats is what GET /stats shows.
type Stats struct {
	Appends       uint64 `json:"appends"`
	AppendedBytes uint64 `json:"appended_bytes"`
	Throttled     uint64 `json:"throttled"`
	Reads         uint64 `json:"reads"`
	ServedBytes   uint64 `json:"served_bytes"`
}

// stream holds the retained records of a stream.
type stream struct {
	// trimmedTo is the offset of the newest record that is past retention.
	trimmedTo contract.Offset
	records   []durable.Record
	// changed is closed and replaced at each append.
	changed chan struct{}
}

// newest returns the offset of the newest record.
func (s *stream) newest() contract.Offset {
	return s.trimmedTo + contract.Offset(len(s.records))
}

// Service is the stand-in.
type Service struct {
	config        Config
	appendLimiter fault.RateLimiter

	mu      sync.Mutex
	streams map[string]*stream
	stats   Stats
}

// New returns an empty log service with switchable faults.
func New(config Config) *fault.Switch {
	const burstSeconds = 0.1
	s := &Service{config: config, streams: map[string]*stream{}}
	s.appendLimiter.PerSecond = config.AppendRate
	s.appendLimiter.Burst = config.AppendRate * burstSeconds
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", s.serveAppend)
	mux.HandleFunc("GET /log/{stream}", s.serveRead)
	return fault.Wrap(mux, s.snapshot, nil)
}

func (s *Service) snapshot() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// stream returns a stream, which it creates if need be; mu must be held.
func (s *Service) stream(name string) *stream {
	found := s.streams[name]
	if found == nil {
		found = &stream{changed: make(chan struct{})}
		s.streams[name] = found
	}
	return found
}

func (s *Service) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRecordBytes))
	if err != nil {
		http.Error(w, "record too long or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	if !s.appendLimiter.Allow(1) {
		s.mu.Lock()
		s.stats.Throttled++
		s.mu.Unlock()
		http.Error(w, "append rate exceeded", http.StatusTooManyRequests)
		return
	}
	time.Sleep(s.config.Delay)
	offset := s.appendRecord(r.PathValue("stream"), data)
	writeJSON(w, map[string]contract.Offset{"offset": offset})
}

func (s *Service) appendRecord(name string, data []byte) contract.Offset {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	offset := st.newest() + 1
	st.records = append(st.records, durable.Record{Offset: offset, Time: time.Now().UTC(), Data: data})
	if excess := len(st.records) - s.config.Retention; s.config.Retention > 0 && excess > 0 {
		st.records = append([]durable.Record(nil), st.records[excess:]...)
		st.trimmedTo += contract.Offset(excess)
	}
	close(st.changed)
	st.changed = make(chan struct{})
	s.stats.Appends++
	s.stats.AppendedBytes += uint64(len(data))
	return offset
}

func (s *Service) serveRead(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	waitMS, waitErr := strconv.ParseInt("0"+r.FormValue("wait_ms"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "after and wait_ms must be whole numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWait)
	batch, ok := s.waitForBatch(r, contract.Offset(after), wait)
	if !ok {
		http.Error(w, "past retention", http.StatusGone)
		return
	}
	writeJSON(w, batch)
}

// waitForBatch returns records after an offset. It waits for the first one if there is none.
// It returns false if some of the records after the offset are past retention.
func (s *Service) waitForBatch(r *http.Request, after contract.Offset, wait time.Duration) (durable.Batch, bool) {
	s.mu.Lock()
	s.stats.Reads++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		batch, isRetained, changed := s.batchAfter(r.PathValue("stream"), after)
		if !isRetained || len(batch.Records) > 0 {
			return batch, isRetained
		}
		select {
		case <-changed:
		case <-timer.C:
			return batch, true
		case <-r.Context().Done():
			return batch, true
		}
	}
}

// batchAfter returns the retained records after an offset, up to the limits of a batch,
// whether all records after the offset are retained, and a channel that is closed at the
// next append.
func (s *Service) batchAfter(name string, after contract.Offset) (durable.Batch, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	batch := durable.Batch{Oldest: st.trimmedTo + 1, Newest: st.newest(), Records: []durable.Record{}}
	if after < st.trimmedTo {
		return batch, false, nil
	}
	size := 0
	for i := int(min(after, st.newest()) - st.trimmedTo); i < len(st.records) && len(batch.Records) < maxBatchRecords; i++ {
		size += len(st.records[i].Data)
		if size > maxBatchBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, st.records[i])
		s.stats.ServedBytes += uint64(len(st.records[i].Data))
	}
	return batch, true, st.changed
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
