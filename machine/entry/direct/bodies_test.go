package direct

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// largeBodies is how many requests with a body of largeBodyBytes arrive at once, and
	// maxLargeBodyMemory how much memory they may cost together: what an entry host has is 284 MB.
	largeBodies        = 80
	largeBodyBytes     = 4_000_000
	maxLargeBodyMemory = 200_000_000
)

// Guards against an entry that is killed for its memory, so that every request in flight ends without
// an answer (LOST, review/1): the bodies of many callers, each within its bound, added up.
func TestLargeBodiesAreBoundedTogether(t *testing.T) {
	target := scriptedTarget(t, func(_ int, r *http.Request) string { return answerText(200, r.Header.Get("Attempt-Id"), "", "ok") })
	e := newRoutedEntry(t, "non_idempotent", target)
	e.callerConns = newConnTracker(e.log, e.meters)
	_, callers := startCallerServer(t, e, callerHandler{e}, nil)
	body := bytes.Repeat([]byte("x"), largeBodyBytes)
	var mu sync.Mutex
	statuses := map[int]int{}
	var smallErr error
	peak := peakMemory(func() {
		var large sync.WaitGroup
		for i := range largeBodies {
			large.Go(func() {
				status := postSlowly(callers.Addr().String(), fmt.Sprint("large-", i), body)
				mu.Lock()
				defer mu.Unlock()
				statuses[status]++
			})
		}
		time.Sleep(300 * time.Millisecond)
		if status := postSlowly(callers.Addr().String(), "small", body[:100_000]); status != http.StatusOK {
			smallErr = errors.Newf("status %d", status)
		}
		large.Wait()
	})
	t.Logf("%.1f MB, answers by status (0: none) %v", float64(peak)/1e6, statuses)
	if peak > maxLargeBodyMemory {
		t.Errorf("%d bodies cost %.1f MB, want at most %.0f", largeBodies, float64(peak)/1e6, maxLargeBodyMemory/1e6)
	}
	if smallErr != nil {
		t.Errorf("a request with a body of 100 kB beside them: %v, want 200", smallErr)
	}
	if statuses[http.StatusOK] < 2 {
		t.Errorf("answers by status %v, want some requests with a large body to be served", statuses)
	}
	if e.bodies.used != 0 {
		t.Errorf("%d bytes are taken after all requests, want none", e.bodies.used)
	}
}

// postSlowly posts a body in about half a second, and returns the status of the answer; 0 if there is none.
func postSlowly(address, attempt string, body []byte) int {
	const steps = 20
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return 0
	}
	defer conn.Close()
	go func() {
		_, err := fmt.Fprintf(conn, "POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n\r\n", attempt, len(body))
		for rest := body; err == nil && len(rest) > 0; time.Sleep(500 * time.Millisecond / steps) {
			n := min(len(rest), len(body)/steps+1)
			_, err = conn.Write(rest[:n])
			rest = rest[n:]
		}
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// Guards against small requests that find no room beside large ones, and against a body that counts
// after its request has ended.
func TestBodyBudget(t *testing.T) {
	var budget bodyBudget
	alone := requestBody{budget: &budget}
	if err := alone.readAll(strings.NewReader(strings.Repeat("x", maxBodiesBytes)), maxBodiesBytes); err != nil {
		t.Errorf("a body of %d bytes that is alone: %v, want it read", maxBodiesBytes, err)
	}
	alone.release()
	var held []*requestBody
	for range largeBodies {
		b := &requestBody{budget: &budget}
		if err := b.readAll(bytes.NewReader(make([]byte, largeBodyBytes)), largeBodyBytes); err != nil {
			if !errors.Is(err, errBodiesFull) {
				t.Error(err)
			}
			b.release()
			break
		}
		held = append(held, b)
	}
	if budget.used > maxBodiesBytes || len(held) < 10 {
		t.Errorf("%d large bodies take %d bytes, want at least 10 in at most %d", len(held), budget.used, maxBodiesBytes)
	}
	for name, length := range map[string]int64{"stated length": 100_000, "unknown length": -1} {
		small := requestBody{budget: &budget}
		want := strings.Repeat("ab", 50_000)
		if err := small.readAll(iotest.OneByteReader(strings.NewReader(want)), length); err != nil || string(small.data) != want {
			t.Errorf("%s: a small body beside them: %d bytes, error %v, want all %d", name, len(small.data), err, len(want))
		}
		small.release()
	}
	for _, b := range held {
		b.release()
	}
	if budget.used != 0 {
		t.Errorf("%d bytes are taken after all requests, want none", budget.used)
	}
	broken := requestBody{budget: &budget}
	if err := broken.readAll(iotest.ErrReader(io.ErrUnexpectedEOF), 5); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("broken body: error %v, want io.ErrUnexpectedEOF", err)
	}
}
