package direct

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a stream that starves: a stalled target that sends comments ended the attempt
// beside it each time.
func TestCommentOfSilentTargetKeepsHedge(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	answer := func(conn net.Conn, _ *http.Request) {
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(conn, streamText("a", 1, 1, false))
			for range 30 {
				time.Sleep(200 * time.Millisecond)
				_, _ = io.WriteString(conn, ": wait\n\n")
			}
			return
		}
		time.Sleep(600 * time.Millisecond)
		_, _ = io.WriteString(conn, streamText("a", 2, 3, false))
		_ = conn.Close()
	}
	c, w, _ := newHedgingCall(t, connTarget(t, answer), connTarget(t, answer))
	c.deadline = time.Now().Add(5 * time.Second)
	c.serve()
	if !strings.Contains(w.Body.String(), "id: 3\n") {
		t.Errorf("body = %q, want events 1 to 3", w.Body)
	}
}

// Guards against a sound stream that is ended for a second target which has sent a comment only.
func TestCommentOfHedgeDoesNotTakeOver(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	answer := func(conn net.Conn, _ *http.Request) {
		if requests.Add(1) == 1 {
			_, _ = io.WriteString(conn, streamText("a", 1, 1, false))
			time.Sleep(1500 * time.Millisecond)
			_, _ = io.WriteString(conn, "id: 2\ndata: x\n\nid: 3\ndata: x\n\n")
			_ = conn.Close()
			return
		}
		_, _ = io.WriteString(conn, streamText("a", 2, 1, false)+": wait\n\n")
		time.Sleep(4 * time.Second)
		resetConn(conn)
	}
	c, w, _ := newHedgingCall(t, connTarget(t, answer), connTarget(t, answer))
	c.deadline = time.Now().Add(6 * time.Second)
	c.serve()
	if !strings.Contains(w.Body.String(), "id: 3\n") {
		t.Errorf("body = %q, want events 1 to 3", w.Body)
	}
}
