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
	// queueLines bounds the lines that wait for a slow reader.
	queueLines = 2048
	// routineQuota is how many lines of one message and of level info or below are
	// written in a second, failureQuota how many above: failures go first.
	routineQuota = 60
	failureQuota = 120
	quotaWindow  = time.Second
	// reservedLines of the queue take failures only.
	reservedLines = queueLines / 4
	// leftOutMessage is the line that counts what was left out.
	leftOutMessage = "log: lines left out"
)

// Bounded is a log handler whose callers never wait: lines go through a bounded
// queue to one writer, each message has a quota a second, and what does not fit is
// counted. It is safe for concurrent use.
type BoundedHandler struct {
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	quotas map[string]*quota
	now    func() time.Time
	// leftOut counts lines dropped for the quota or for a full queue.
	leftOut atomic.Uint64
}

// quota counts the lines of one message in the present window.
type quota struct {
	since time.Time
	count int
	// leftOut counts those over the quota.
	leftOut int
}

// NewBounded returns a handler that writes to w in its own goroutine until Close.
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
		// A reader that is gone must not end the process; the lines are lost.
		_, _ = w.Write(line)
	}
}

// Close waits until the lines in the queue are written, for at most limit. Lines
// that are logged later are lost.
func (b *BoundedHandler) Close(limit time.Duration) {
	timer := time.NewTimer(limit)
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

// LeftOut is the number of lines that were left out so far.
func (b *BoundedHandler) DroppedLines() uint64 { return b.leftOut.Load() }

// HandleLog implements log.Handler.
func (b *BoundedHandler) HandleLog(e *log.Entry) error {
	failure := e.Level >= log.WarnLevel
	if !b.admit(e, failure) {
		b.leftOut.Add(1)
		return nil
	}
	line, err := encode(e)
	if err != nil {
		return err
	}
	b.push(line, failure)
	return nil
}

// admit counts a line against its message's quota. The first line of a window
// tells how many the last one left out.
func (b *BoundedHandler) admit(e *log.Entry, failure bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	q, ok := b.quotas[e.Message]
	if !ok {
		q = &quota{since: now}
		b.quotas[e.Message] = q
	}
	if now.Sub(q.since) >= quotaWindow {
		b.tellLeftOut(e, q)
		*q = quota{since: now}
	}
	limit := routineQuota
	if failure {
		limit = failureQuota
	}
	q.count++
	if q.count > limit {
		q.leftOut++
		return false
	}
	return true
}

// tellLeftOut writes how many lines of a message the last window left out.
func (b *BoundedHandler) tellLeftOut(e *log.Entry, q *quota) {
	if q.leftOut == 0 {
		return
	}
	note := log.Entry{
		Logger:    e.Logger,
		Fields:    log.Fields{"event": e.Message, "count": q.leftOut, fieldMachine: e.Fields.Get(fieldMachine)},
		Level:     log.WarnLevel,
		Timestamp: e.Timestamp,
		Message:   leftOutMessage,
	}
	if line, err := encode(&note); err == nil {
		b.push(line, true)
	}
}

func encode(e *log.Entry) ([]byte, error) {
	var out bytes.Buffer
	err := logfmt.New(&out).HandleLog(e)
	return out.Bytes(), err
}

// push queues a line, or counts it if there is no room for its kind.
func (b *BoundedHandler) push(line []byte, failure bool) {
	if !failure && len(b.lines) >= queueLines-reservedLines {
		b.leftOut.Add(1)
		return
	}
	select {
	case b.lines <- line:
	default:
		b.leftOut.Add(1)
	}
}
