package direct

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

const (
	streamHead = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\nWeight-Versions: 3\r\n"
	firstEvent = "id: 1\ndata: one\n\n"
)

// closingTarget answers one request on each connection with a text and closes the connection,
// or resets it.
func closingTarget(t *testing.T, text string, reset bool) (address string) {
	t.Helper()
	return connTarget(t, func(conn net.Conn, r *http.Request) { answerRequest(conn, r, text, reset) })
}

// answerOnce reads a request and answers it with text.
func answerOnce(conn net.Conn, text string, reset bool) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		_ = conn.Close()
		return
	}
	answerRequest(conn, r, text, reset)
}

// answerRequest answers a request that was read with text, and closes or resets the connection.
func answerRequest(conn net.Conn, r *http.Request, text string, reset bool) {
	defer func() { _ = conn.Close() }()
	_, _ = io.Copy(io.Discard, r.Body)
	if _, err := io.WriteString(conn, text); err != nil || !reset {
		return
	}
	// The entry reads what was sent before the reset arrives.
	time.Sleep(50 * time.Millisecond)
	resetConn(conn)
}

// attemptsAt makes one attempt after the other of one call, each at a target that answers with
// the given text and closes the connection.
func attemptsAt(t *testing.T, c *call, answers ...string) (last attempts.Outcome) {
	t.Helper()
	c.route.MaxAttempts = len(answers) + 1
	for i, text := range answers {
		choice := placement.Choice{ID: roster.TargetID(fmt.Sprintf("target-%d", i)), Address: closingTarget(t, text, false)}
		last, _ = c.runAttempts(context.Background(), choice)
	}
	return last
}

// Guards against a broken stream that looks complete: the answer of a second target with
// another status than 200 was written behind the events.
func TestOnlyStreamContinuesStream(t *testing.T) {
	broken := streamHead + "Content-Length: 1000\r\n\r\n" + firstEvent + "id: 2\nda"
	for _, status := range []int{201, 204, 206, 302, 400, 404, 409, 410, 499} {
		c, w := boundedCall(newQuietEntry(), catalog.Streaming)
		outcome := attemptsAt(t, c, broken, answerText(status, "a", "", ""))
		if outcome == attempts.Completed || w.Body.String() != firstEvent {
			t.Errorf("status %d: outcome %v, body %q, want no 0 (Completed) and only the first event", status, outcome, w.Body)
		}
		if verdict := attempts.Decide(outcome, c.attemptState()); c.headSent && verdict != attempts.Retry && verdict != attempts.Abort {
			t.Errorf("status %d: verdict %v, want Retry or Abort", status, verdict)
		}
	}
}

// Guards against a stream that finds no target: it insisted on the version of a target from
// which the caller had got nothing.
func TestStreamWithoutEventsPinsNoVersion(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		want   int64
	}{
		"head":          {streamHead + "Content-Length: 1000\r\n\r\n", 0},
		"part of event": {streamHead + "Content-Length: 1000\r\n\r\nid: 1\nda", 0},
		"event":         {streamHead + "Content-Length: 1000\r\n\r\n" + firstEvent, 3},
	} {
		call, _ := boundedCall(newQuietEntry(), catalog.Streaming)
		outcome := attemptsAt(t, call, c.answer)
		if got := call.requirements(time.Minute).Pinned; outcome != attempts.Lost || got != c.want {
			t.Errorf("%s: outcome %v, pinned version %d, want 4 (Lost), %d", name, outcome, got, c.want)
		}
	}
}

// Guards against answers of two versions in one stream, with the number of one (WHOLE, inc2): a target went
// on with another version than it was to, or the version had changed within the stream.
func TestOnlySameVersionContinuesStream(t *testing.T) {
	const length = "Content-Length: 1000\r\n\r\n"
	const secondEvent = "id: 2\ndata: two\n\n"
	other := strings.Replace(streamHead, "Weight-Versions: 3", "Weight-Versions: 4", 1)
	unsaid := strings.Replace(streamHead, "Weight-Versions: 3\r\n", "", 1)
	const changed = "weight-versions: 4\nid: 2\ndata: two\n\n"
	const thirdEvent = "id: 3\ndata: three\n\n"
	for name, c := range map[string]struct {
		first, second, want string
		wantPinned          int64
	}{
		"same version":                      {streamHead + length + firstEvent, streamHead + length + secondEvent, firstEvent + secondEvent, 3},
		"other version":                     {streamHead + length + firstEvent, other + length + secondEvent, firstEvent, 3},
		"changes, goes on with the new one": {streamHead + length + firstEvent + changed, other + length + thirdEvent, firstEvent + changed + thirdEvent, 4},
		"changes, goes on with the old one": {streamHead + length + firstEvent + changed, streamHead + length + thirdEvent, firstEvent + changed, 4},
		"the first target does not say":     {unsaid + length + firstEvent, other + length + secondEvent, firstEvent, 3},
	} {
		call, w := boundedCall(newQuietEntry(), catalog.Streaming)
		call.route.MaxAttempts = 3
		for i, text := range []string{c.first, c.second} {
			choice := placement.Choice{ID: roster.TargetID(fmt.Sprintf("target-%d", i)), Address: closingTarget(t, text, false), Version: 3}
			call.runAttempts(context.Background(), choice)
		}
		if got := w.Body.String(); got != c.want || call.pinnedVersion != c.wantPinned {
			t.Errorf("%s: body %q, pinned version %d, want %q, %d", name, got, call.pinnedVersion, c.want, c.wantPinned)
		}
	}
}

// Guards against requests that begin on weights that are too old (VERSION): a stream that broke off was continued at an
// engine with the version that its caller had, past the bound of that version. When no engine may continue it, its
// caller must not wait for one.
func TestStreamIsNotContinuedPastBoundOfItsVersion(t *testing.T) {
	for passed, wantPlaced := range map[time.Duration]bool{time.Second: true, 8 * time.Second: false} {
		synctest.Test(t, func(t *testing.T) {
			fs := newStartedState(8*time.Second, 2)
			fs.applyTargetRecords(feed.Update{Records: []contract.Record{{Key: "target-1", Offset: 1, Value: []byte(
				`{"service":"models","address":"10.0.0.1:80","zone":"a","slots":8,"state":"ready","seq_no":1,"born":1,"stage":"both",` +
					`"models":[{"name":"daka","version":2,"layers":[{"from":0,"to":4,"version":2}]}]}`)}}})
			fs.applyOperatorRecords(announcementOf(3))
			time.Sleep(passed)
			c := &call{
				entry: &Entry{fleet: fs}, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), arrived: time.Now(), service: testService,
				route: &catalog.Route{Kind: catalog.Streaming, Resumable: true}, deadline: time.Now().Add(time.Minute),
				headSent: true, pinnedVersion: 2, attemptsSent: 1,
			}
			asked := time.Now()
			choice, reason, _ := c.placeAttempt(context.Background())
			if placed := reason == ""; placed != wantPlaced {
				t.Errorf("%v after version 3 was announced: placed at %q, reason %q, want placed = %v", passed, choice.ID, reason, wantPlaced)
			}
			if took := time.Since(asked); took > 0 {
				t.Errorf("%v after version 3 was announced: decided after %v, want at once", passed, took)
			}
			x := newExchange(c, placement.Choice{ID: "target-1", Version: 2})
			if got := x.isTooOld(); got == wantPlaced {
				t.Errorf("%v after version 3 was announced: isTooOld() = %v for an attempt that has not begun, want %v", passed, got, !wantPlaced)
			}
		})
	}
}
