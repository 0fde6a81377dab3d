package direct

import (
	"context"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"testing"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

const (
	// endlessRequests is how many requests are at targets that send without end, and
	// maxEndlessBytes how much memory they may cost together.
	endlessRequests = 200
	maxEndlessBytes = 64_000_000
	endlessTime     = time.Second
)

// discardWriter is a caller that takes everything.
type discardWriter struct{ header http.Header }

func (w discardWriter) Header() http.Header              { return w.header }
func (discardWriter) Write(p []byte) (int, error)        { return len(p), nil }
func (discardWriter) WriteHeader(int)                    {}
func (discardWriter) FlushError() error                  { return nil }
func (discardWriter) SetWriteDeadline(_ time.Time) error { return nil }

// usedMemory returns the memory that the process has from the operating system.
func usedMemory() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// peakMemory returns by how much the memory of the process grows at most while f runs.
func peakMemory(f func()) int64 {
	runtime.GC()
	debug.FreeOSMemory()
	atRest, peak := usedMemory(), int64(0)
	done := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() {
		for {
			peak = max(peak, usedMemory()-atRest)
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	f()
	close(done)
	sampler.Wait()
	return peak
}

// Guards against a process that is killed for its memory, so that every request in flight
// ends without an answer: the bytes of many targets that send without end added up.
func TestTargetsWithoutEndAreBoundedTogether(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: {id}\r\n"
	for _, c := range []struct {
		name       string
		kind       catalog.Kind
		head, part string
	}{
		{"head", catalog.Streaming, head, "X-Filler: " + strings.Repeat("y", 100) + "\r\n"},
		{"short lines", catalog.Streaming, head, "a:\r\n"},
		{"informational", catalog.Streaming, "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"body", catalog.Idempotent, head + "\r\n", "y"},
		{"long body", catalog.Idempotent, head + "Content-Length: 9223372036854775807\r\n\r\n", "y"},
		{"chunks", catalog.Idempotent, head + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n"},
		{"chunk extension", catalog.Idempotent, head + "Transfer-Encoding: chunked\r\n\r\n10;", "y"},
		{"trailer", catalog.Idempotent, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: y\r\n"},
		{"trailer of stream", catalog.Streaming, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Filler: y\r\n"},
		{"status line", catalog.Streaming, "HTTP/1.1 200 ", "y"},
		{"no answer", catalog.Idempotent, "", "y"},
		{"failure", catalog.Idempotent, strings.Replace(head, "200", "500", 1) + "\r\n", "y"},
		{"event", catalog.Streaming, head + "\r\n", "y"},
		{"lines of event", catalog.Streaming, head + "\r\n", "data: y\n"},
		{"comments", catalog.Streaming, head + "\r\n", ": y\n\n"},
	} {
		e := newQuietEntry()
		address := endlessTarget(t, c.head, c.part)
		var made sync.Map
		peak := peakMemory(func() { requestWithoutEnd(e, c.kind, address, &made) })
		var broke []any
		made.Range(func(key, _ any) bool { broke = append(broke, key); return true })
		t.Logf("%s: %.1f MB, broke %v", c.name, float64(peak)/1e6, broke)
		if peak > maxEndlessBytes {
			t.Errorf("%s: %d requests cost %.1f MB, want at most %.0f", c.name, endlessRequests, float64(peak)/1e6, maxEndlessBytes/1e6)
		}
		if _, completed := made.Load(attempts.Completed); completed {
			t.Errorf("%s: an attempt was Completed, want none", c.name)
		}
	}
}

// requestWithoutEnd keeps endlessRequests requests at a target for endlessTime and stores
// their outcomes and breakages in made.
func requestWithoutEnd(e *Entry, kind catalog.Kind, address string, made *sync.Map) {
	until := time.Now().Add(endlessTime)
	var callers sync.WaitGroup
	for range endlessRequests {
		callers.Go(func() {
			for time.Now().Before(until) {
				c, _ := boundedCall(e, kind)
				c.w, c.deadline = discardWriter{http.Header{}}, until
				outcome, failure := c.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: address})
				failure.release()
				made.Store(outcome, true)
				made.Store(c.record.breakage, true)
			}
		})
	}
	callers.Wait()
}
