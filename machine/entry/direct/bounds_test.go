package direct

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// endlessTarget answers each request with head and then repeats part until the entry closes
// the connection. The attempt's name replaces "{id}" in head.
func endlessTarget(t *testing.T, head, part string) (address string) {
	t.Helper()
	repeated := []byte(strings.Repeat(part, 1+(16<<10)/len(part)))
	return connTarget(t, func(conn net.Conn, r *http.Request) {
		defer func() { _ = conn.Close() }()
		_, err := io.WriteString(conn, strings.ReplaceAll(head, "{id}", r.Header.Get("Attempt-Id")))
		for err == nil {
			_, err = conn.Write(repeated)
		}
	})
}

// boundedCall is a call of a kind that has 2 s and may be attempted once.
func boundedCall(e *Entry, kind catalog.Kind) (*call, *httptest.ResponseRecorder) {
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Header.Set("Attempt-Id", "a")
	c := &call{
		entry: e, w: w, r: r, service: testService, arrived: time.Now(), deadline: time.Now().Add(2 * time.Second),
		route: &catalog.Route{Kind: kind, MaxAttempts: 1},
	}
	c.info.AttemptID = "a"
	return c, w
}

// Guards against a process that is killed for its memory: the head of one response grew as
// long as its target sent.
func TestHeadWithoutEndIsBounded(t *testing.T) {
	for name, c := range map[string]struct{ head, part string }{
		"lines":          {"HTTP/1.1 200 OK\r\n", "X-Filler: " + strings.Repeat("y", 100) + "\r\n"},
		"short lines":    {"HTTP/1.1 200 OK\r\n", "a:\r\n"},
		"one line":       {"HTTP/1.1 200 OK\r\nX-Filler: ", "y"},
		"first line":     {"HTTP/1.1 200 ", "y"},
		"continued line": {"HTTP/1.1 200 OK\r\nX-Filler: y\r\n", " y\r\n"},
		"informational":  {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":    {"", "HTTP/1.1 103 Hints\r\nLink: " + strings.Repeat("y", 4000) + "\r\n\r\n"},
	} {
		address := endlessTarget(t, c.head, c.part)
		call, w := boundedCall(newQuietEntry(), catalog.NonIdempotent)
		start := time.Now()
		outcome, _ := call.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: address})
		if outcome != attempts.Lost || call.record.breakage != "head_too_large" || w.Body.Len() > 0 {
			t.Errorf("%s: outcome %v, broke %q after %v, body of %d bytes, want 4 (Lost), \"head_too_large\", none",
				name, outcome, call.record.breakage, time.Since(start).Round(time.Millisecond), w.Body.Len())
		}
	}
}
