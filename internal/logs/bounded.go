package logs

import (
	"bytes"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
)

const (
	// queueLines limits the number of lines that wait for a slow reader.
	queueLines = 2048
	// routineQuota and failureQuota limit the lines of one message within quotaWindow:
	// routineQuota those of level info or below, failureQuota those of level warn or above.
	// Failures take precedence, so their quota is larger.
	routineQuota = 60
	failureQuota = 120
	quotaWindow  = time.Second
	// reservedLines is the part of the queue that is reserved for failures.
	reservedLines = queueLines / 4
	// droppedLinesMessage is the message of the line that reports how many lines of another
	// message were dropped.
	droppedLinesMessage = "log: lines left out"
)

// BoundedHandler is a log handler that never blocks its callers. Lines go through a bounded
// queue to a single writer, and each message has a quota of lines per second. Lines that
// exceed the quota or the queue are dropped and counted. It is safe for concurrent use.
type BoundedHandler struct {
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	quotas map[string]*quota
	now    func() time.Time
	// dropped counts the lines dropped because of the quota or a full queue.
	dropped atomic.Uint64
}

// quota counts the lines of one message in the current window.
type quota struct {
	windowStart time.Time
	count       int
	// dropped counts the lines over the quota.
	dropped int
}

// NewBoundedHandler returns a handler that writes to w in its own goroutine until Close.
func NewBoundedHandler(w io.Writer) *BoundedHandler {
	b := &BoundedHandler{lines: make(chan []byte, queueLines), done: make(chan struct{}), quotas: map[string]*quota{}, now: time.Now}
	go b.write(w)
	return b
}

func (b *BoundedHandler) write(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if line == nil {
			return
		}
		// A closed reader must not end the process, so write errors are ignored and the
		// lines are lost.
		_, _ = w.Write(line)
	}
}

// Close waits until the lines in the queue are written, but no longer than timeout. Lines
// that are logged after Close are lost.
func (b *BoundedHandler) Close(timeout time.Duration) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case b.lines <- nil:
	case <-timer.C:
		return
	}
	select {
	case <-b.done:
	case <-timer.C:
	}
}

// DroppedLines returns the number of lines dropped so far.
func (b *BoundedHandler) DroppedLines() uint64 { return b.dropped.Load() }

// HandleLog implements log.Handler.
func (b *BoundedHandler) HandleLog(e *log.Entry) error {
	failure := e.Level >= log.WarnLevel
	if !b.admit(e, failure) {
		b.dropped.Add(1)
		return nil
	}
	line, err := encode(e)
	if err != nil {
		return err
	}
	b.enqueue(line, failure)
	return nil
}

// admit counts a line against its message's quota and reports whether it is within it. The
// first line of a window triggers the report of the lines dropped in the previous one.
func (b *BoundedHandler) admit(e *log.Entry, failure bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	q, ok := b.quotas[e.Message]
	if !ok {
		q = &quota{windowStart: now}
		b.quotas[e.Message] = q
	}
	if now.Sub(q.windowStart) >= quotaWindow {
		b.reportDropped(e, q)
		*q = quota{windowStart: now}
	}
	limit := routineQuota
	if failure {
		limit = failureQuota
	}
	q.count++
	if q.count > limit {
		q.dropped++
		return false
	}
	return true
}

// reportDropped logs how many lines of a message were dropped in the last window.
func (b *BoundedHandler) reportDropped(e *log.Entry, q *quota) {
	if q.dropped == 0 {
		return
	}
	report := log.Entry{
		Logger:    e.Logger,
		Fields:    log.Fields{"event": e.Message, "count": q.dropped, fieldMachine: e.Fields.Get(fieldMachine)},
		Level:     log.WarnLevel,
		Timestamp: e.Timestamp,
		Message:   droppedLinesMessage,
	}
	if line, err := encode(&report); err == nil {
		b.enqueue(line, true)
	}
}

func encode(e *log.Entry) ([]byte, error) {
	var out bytes.Buffer
	err := logfmt.New(&out).HandleLog(e)
	return out.Bytes(), err
}

// enqueue adds a line to the queue. Without room, the line is dropped and counted; a line that
// is no failure may not use the reserved part.
func (b *BoundedHandler) enqueue(line []byte, failure bool) {
	if !failure && len(b.lines) >= queueLines-reservedLines {
		b.dropped.Add(1)
		return
	}
	select {
	case b.lines <- line:
	default:
		b.dropped.Add(1)
	}
}
