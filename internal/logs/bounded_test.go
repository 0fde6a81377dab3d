package logs

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apex/log"
)

// syncBuffer is a buffer that is safe for concurrent writes.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (c *syncBuffer) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.text.Write(p)
}

func logger(b *BoundedHandler) *log.Logger { return &log.Logger{Handler: b, Level: log.DebugLevel} }

func TestHandlerWritesLinesInOrder(t *testing.T) {
	out := &syncBuffer{}
	b := NewBoundedHandler(out)
	for i := range 10 {
		logger(b).WithField("n", i).Info("one")
	}
	b.Close(time.Minute)
	lines := strings.Split(strings.TrimSpace(out.text.String()), "\n")
	if len(lines) != 10 || !strings.Contains(lines[9], "n=9") {
		t.Errorf("lines = %q, want 10 lines, the last one with n=9", lines)
	}
}

// A pipe that nobody reads fills up and blocks its writer. Logging to it must drop lines
// instead of blocking, or a stalled log reader would hold up requests.
func TestLoggingDoesNotBlockWithoutReader(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	b := NewBoundedHandler(writer)
	now := time.Unix(1000, 0)
	b.now = func() time.Time { now = now.Add(time.Second); return now }
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 5 * queueLines {
			logger(b).WithField("pad", strings.Repeat("x", 100)).Warn(fmt.Sprintf("event %d", i%7))
		}
	}()
	<-done
	if b.DroppedLines() == 0 {
		t.Error("DroppedLines() = 0 for a pipe that nobody reads, want more")
	}
	go func() { _, _ = io.Copy(io.Discard, reader) }()
	b.Close(time.Minute)
	_ = writer.Close()
}

func TestQuotaIsPerMessageAndReportsDroppedLines(t *testing.T) {
	out := &syncBuffer{}
	b := NewBoundedHandler(out)
	now := time.Unix(1000, 0)
	b.now = func() time.Time { return now }
	for range routineQuota + 5 {
		logger(b).WithField(fieldMachine, "entry-1").Info("routine")
	}
	logger(b).Warn("failure")
	now = now.Add(quotaWindow)
	logger(b).WithField(fieldMachine, "entry-1").Info("routine")
	b.Close(time.Minute)
	text := out.text.String()
	if got := strings.Count(text, "message=routine"); got != routineQuota+1 {
		t.Errorf("%d routine lines written, want the quota and one in the next window", got)
	}
	if !strings.Contains(text, "message=failure") {
		t.Error("failure dropped, want its message counted against a quota of its own")
	}
	if !strings.Contains(text, droppedLinesMessage) || !strings.Contains(text, "count=5 event=routine machine=entry-1") {
		t.Errorf("log has no report of 5 dropped lines of entry-1; it ends with %s", text[len(text)-300:])
	}
}

func BenchmarkLine(b *testing.B) {
	bounded := NewBoundedHandler(io.Discard)
	l := logger(bounded)
	for i := range b.N {
		l.WithField("request", "9c41d07be2a35f68").WithField("status", 503).Info(fmt.Sprintf("event %d", i))
	}
	bounded.Close(time.Minute)
}
