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

// Guards against answers of two versions in one stream, with the number of one (WHOLE, inc2): a second target
// was asked before the first one began its answer, with a comment only, and went on in its place.
func TestHedgeOfAnotherVersionDoesNotTakeOver(t *testing.T) {
	t.Parallel()
	var requests atomic.Int64
	answer := func(conn net.Conn, _ *http.Request) {
		if requests.Add(1) == 1 {
			time.Sleep(targetSilenceTimeout + 400*time.Millisecond)
			_, _ = io.WriteString(conn, streamText("a", 1, 0, false)+": begun\n\n")
			time.Sleep(800 * time.Millisecond)
			_, _ = io.WriteString(conn, "id: 1\ndata: x\n\n")
			_ = conn.Close()
			return
		}
		time.Sleep(800 * time.Millisecond)
		_, _ = io.WriteString(conn, strings.Replace(streamText("a", 1, 1, false), "Weight-Versions: 1", "Weight-Versions: 2", 1))
		time.Sleep(time.Second)
		_ = conn.Close()
	}
	c, w, _ := newHedgingCall(t, connTarget(t, answer), connTarget(t, answer))
	c.deadline = time.Now().Add(5 * time.Second)
	c.serve()
	if version := w.Header().Get("Weight-Versions"); version != "1" || c.lastTarget != c.triedTargets[0] || !strings.Contains(w.Body.String(), "id: 1\n") {
		t.Errorf("version %s, last target %s of %v, body %q, want event 1 of the first target", version, c.lastTarget, c.triedTargets, w.Body)
	}
}
