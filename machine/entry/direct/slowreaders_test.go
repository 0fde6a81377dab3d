package direct

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mimosastand.example/mimosastand/internal/testserver"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	// unreadTimeout is how long an engine lets an answer stay unread.
	unreadTimeout = 2 * time.Second
	slowEvents    = 300
)

// slowEvent is an event of about 1 KiB with a number.
func slowEvent(id int) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("w", 1000))
}

// impatientEngine answers with a stream of slowEvents events, and cuts an answer that stays unread
// for unreadTimeout. It returns its address and the number of answers that it has cut.
func impatientEngine(t *testing.T) (address string, cuts *atomic.Int64) {
	t.Helper()
	cuts = new(atomic.Int64)
	return testserver.ServeConns(t, func(conn net.Conn) { sendImpatiently(conn.(*net.TCPConn), cuts) }), cuts
}

// slowAnswer is the answer of an impatientEngine to a request named a.
var slowAnswer = sync.OnceValue(func() []byte {
	var events strings.Builder
	for id := range slowEvents {
		events.WriteString(slowEvent(id + 1))
	}
	return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\nWeight-Versions: 3\r\nContent-Length: %d\r\n\r\n%s", events.Len(), events.String())
})

// sendImpatiently reads one request and sends the answer. It uses little memory, since the test
// measures that of the whole process.
func sendImpatiently(conn *net.TCPConn, cuts *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	// What the kernel holds counts as read.
	_ = conn.SetWriteBuffer(4 << 10)
	if _, err := conn.Read(make([]byte, 512)); err != nil {
		return
	}
	const partBytes = 1 << 10
	for part := range slices.Chunk(slowAnswer(), partBytes) {
		_ = conn.SetWriteDeadline(time.Now().Add(unreadTimeout))
		if _, err := conn.Write(part); err != nil {
			if os.IsTimeout(err) {
				cuts.Add(1)
			}
			return
		}
	}
}

// stuckWriter is a caller that takes nothing until it is released.
type stuckWriter struct {
	discardWriter
	released <-chan struct{}
	body     *strings.Builder
}

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.released
	return w.body.Write(p)
}

// Guards against callers that read slowly and so hold engines, and against memory for them that
// grows with their number: engines cut the answers that stayed unread, which counted as failures
// of the engines, and the retries of all callers were used up. The load is 1,000 callers that do
// not read their streams of 300 KB for 5 s, beside 100 that do.
func TestSlowReadersHoldNoEngine(t *testing.T) {
	const slowCallers, otherCallers, stuckTime, maxBytes, otherBound = 1000, 100, 5 * time.Second, 100_000_000, 2 * time.Second
	e := newQuietEntry()
	address, cuts := impatientEngine(t)
	released := make(chan struct{})
	var slow, others sync.WaitGroup
	var failures, late atomic.Int64
	start := func(w http.ResponseWriter) (attempts.Outcome, *exchange) {
		c, _ := boundedCall(e, catalog.Streaming)
		c.w, c.deadline = w, time.Now().Add(time.Minute)
		p := &attemptPair{call: c, ctx: context.Background(), current: c.beginAttempt(context.Background(), placement.Choice{ID: "target-1", Address: address}), checks: make(chan struct{}, 1)}
		p.recordStart()
		defer p.endAll()
		outcome, _ := p.forward()
		return outcome, p.current
	}
	var given atomic.Int64
	peak := peakMemory(func() {
		for range slowCallers {
			time.Sleep(time.Millisecond)
			slow.Go(func() {
				body := &strings.Builder{}
				outcome, x := start(stuckWriter{discardWriter{http.Header{}}, released, body})
				if outcome == attempts.Lost {
					given.Add(1)
					if x.isTargetFailure() {
						failures.Add(1)
					}
				}
				n := strings.Count(body.String(), "id: ")
				if outcome != attempts.Lost && n != slowEvents || !strings.HasPrefix(body.String(), slowEvent(1)) || !strings.HasSuffix(body.String(), slowEvent(n)) {
					t.Errorf("outcome %v with %d events, want all %d, or the first ones of an attempt that was given up", outcome, n, slowEvents)
				}
			})
		}
		time.Sleep(stuckTime / 2)
		for range otherCallers {
			others.Go(func() {
				started := time.Now()
				if outcome, _ := start(discardWriter{http.Header{}}); outcome != attempts.Completed || time.Since(started) > otherBound {
					late.Add(1)
				}
			})
		}
		others.Wait()
		time.Sleep(stuckTime / 2)
	})
	close(released)
	slow.Wait()
	t.Logf("%.1f MB, %d answers given up, %d cut", float64(peak)/1e6, given.Load(), cuts.Load())
	if peak > maxBytes {
		t.Errorf("%d slow callers cost %.1f MB, want %.0f at most", slowCallers, float64(peak)/1e6, maxBytes/1e6)
	}
	if n := late.Load(); n > 0 {
		t.Errorf("%d of %d other callers served late or not at all, want none", n, otherCallers)
	}
	if n := cuts.Load(); n > 0 {
		t.Errorf("%d answers stayed unread for %v, want none: they are read on or given up", n, unreadTimeout)
	}
	if n := failures.Load(); n > 0 {
		t.Errorf("%d failures of the target recorded, want none: its callers were slow", n)
	}
}

// deadlineWriter is a caller that takes everything, and notes until when it may be written to.
type deadlineWriter struct {
	discardWriter
	deadline *time.Time
}

func (w deadlineWriter) SetWriteDeadline(t time.Time) error {
	*w.deadline = t
	return nil
}

// Guards against complete responses that take the room of others for as long as their callers do
// not read them.
func TestCompleteResponseIsWrittenUntilDeadline(t *testing.T) {
	e := newQuietEntry()
	c, _ := boundedCall(e, catalog.Idempotent)
	var got time.Time
	c.w = deadlineWriter{discardWriter{http.Header{}}, &got}
	body := newChunkBuffer(&e.buffers)
	c.writeResponse(&bufferedResponse{status: http.StatusOK, header: http.Header{}, body: body})
	if want := c.deadline.Add(writeGrace); !got.Equal(want) {
		t.Errorf("response written until %v, want %v", got, want)
	}
}

// Guards against a caller that reads a little at a time and whose answer is given up nonetheless,
// and against parts in another order: what waits is sent in the order in which it arrived.
func TestSteadySlowReaderGetsWholeAnswer(t *testing.T) {
	e := newQuietEntry()
	// Other answers leave no room for parts that wait.
	if !e.buffers.takeBytes(0, maxBufferedBytes-partOverheadBytes-2000) {
		t.Fatal("room for other answers not taken")
	}
	address, cuts := impatientEngine(t)
	c, _ := boundedCall(e, catalog.Streaming)
	body := &strings.Builder{}
	released := make(chan struct{})
	go func() {
		defer close(released)
		for range slowEvents / 10 {
			select {
			case released <- struct{}{}:
			case <-t.Context().Done():
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	c.w, c.deadline = stuckWriter{discardWriter{http.Header{}}, released, body}, time.Now().Add(time.Minute)
	outcome, _ := c.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: address})
	answer := slowAnswer()
	if outcome != attempts.Completed || !strings.HasSuffix(string(answer), "\r\n\r\n"+body.String()) {
		t.Errorf("outcome %v with %d of %d bytes, want 0 (Completed) and the whole answer", outcome, body.Len(), len(answer))
	}
	if cuts.Load() > 0 {
		t.Error("the answer was cut, want it read in time")
	}
	if got, want := e.buffers.bytes, maxBufferedBytes-partOverheadBytes-2000; got != want {
		t.Errorf("%d bytes taken after the answer, want the %d of other answers", got, want)
	}
}
