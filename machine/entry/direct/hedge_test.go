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
	"sync/atomic"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/testserver"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// streamText is a response with a stream of the events first to last. If it is not whole, the
// target sends nothing more and keeps the connection open.
func streamText(attempt string, first, last int, whole bool) string {
	body := ""
	for id := first; id <= last; id++ {
		body += fmt.Sprintf("id: %d\ndata: x\n\n", id)
	}
	header := "Weight-Versions: 1\r\n"
	if whole {
		return answerText(http.StatusOK, attempt, header, body)
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: %s\r\n%s\r\n%s", attempt, header, body)
}

// newHedgingCall returns a resumable stream call and the state of an entry that knows the
// targets at the addresses, on version 1 of the weights.
func newHedgingCall(t *testing.T, addresses ...string) (*call, *httptest.ResponseRecorder, *memory.Handler) {
	t.Helper()
	e := newQuietEntry()
	logged := memory.New()
	e.log = &log.Logger{Handler: logged, Level: log.InfoLevel}
	e.fleet = newStartedState(time.Hour, 1)
	e.checks = newCheckLoop(e.fleet)
	e.fleet.setBounds(config.Bounds{OldVersionGrace: time.Hour, RetryWindow: time.Millisecond, RetryBurst: 100})
	e.fleet.setEntries([]contract.MachineID{"entry-1"})
	var update feed.Update
	for i, address := range addresses {
		update.Records = append(update.Records, contract.Record{Offset: int64(i + 1), Key: fmt.Sprintf("target-%d", i), Value: fmt.Appendf(nil,
			`{"service":"models","address":%q,"zone":"a","state":"ready","slots":8,"born":1,"seq_no":1,"stage":"both","layers":[{"from":0,"to":4,"version":1}]}`, address)})
	}
	e.fleet.applyTargetRecords(update)
	time.Sleep(2 * time.Millisecond)
	w := httptest.NewRecorder()
	c := &call{
		entry: e, w: w, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
		info: platform.Call{AttemptID: "a"}, arrived: time.Now(), deadline: time.Now().Add(time.Minute),
		route: &catalog.Route{Kind: catalog.Streaming, Resumable: true, MaxAttempts: 2, Objective: time.Minute},
	}
	c.r.Header.Set("Attempt-Id", "a")
	return c, w, logged
}

// Guards against streams that wait for a target that never goes on: another target takes over,
// and the caller gets each event once.
func TestHedgeTakesOverFromSilentTarget(t *testing.T) {
	var requests atomic.Int64
	resumedAfter := make(chan string, 1)
	answer := func(_ int, r *http.Request) string {
		if requests.Add(1) == 1 {
			return streamText("a", 1, 2, false)
		}
		resumedAfter <- r.Header.Get("Last-Event-Id")
		return streamText("a", 3, 4, true)
	}
	c, w, logged := newHedgingCall(t, scriptedTarget(t, answer), scriptedTarget(t, answer))
	c.serve()
	if got := w.Body.String(); got != "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\nid: 4\ndata: x\n\n" {
		t.Errorf("body = %q, want events 1 to 4, each once", got)
	}
	if after := <-resumedAfter; after != "2" {
		t.Errorf("Last-Event-Id = %q at the second target, want 2", after)
	}
	for _, entry := range logged.Entries {
		if entry.Message == "sent again" && entry.Fields["broke"] == "silent" {
			return
		}
	}
	t.Error("no log line says that the request was sent again since its target was silent")
}

// Guards against pieces of two runs in one answer: the first target goes on although a second
// one was asked, whose events must not follow.
func TestTargetThatGoesOnKeepsItsStream(t *testing.T) {
	var requests atomic.Int64
	answer := func(conn net.Conn, _ *http.Request) {
		if requests.Add(1) > 1 {
			time.Sleep(time.Second)
			_, _ = io.WriteString(conn, streamText("a", 2, 3, false))
			return
		}
		_, _ = io.WriteString(conn, streamText("a", 1, 1, false))
		time.Sleep(targetSilenceTimeout + 500*time.Millisecond)
		_, _ = io.WriteString(conn, "id: 2\ndata: x\n\n")
		time.Sleep(time.Second)
		_, _ = io.WriteString(conn, "id: 3\ndata: x\n\n")
		_ = conn.Close()
	}
	c, w, _ := newHedgingCall(t, connTarget(t, answer), connTarget(t, answer))
	c.serve()
	if got := w.Body.String(); got != "id: 1\ndata: x\n\nid: 2\ndata: x\n\nid: 3\ndata: x\n\n" {
		t.Errorf("body = %q, want events 1 to 3, each once", got)
	}
	if got := requests.Load(); got != 2 {
		t.Errorf("%d attempts, want 2: the second one while the first target was silent", got)
	}
}

// Guards against the text of an error in the middle of a stream: a second target was asked before the
// first one began to answer, and answered with an error after the first one had broken off.
func TestErrorOfHedgeIsNotWrittenIntoStream(t *testing.T) {
	t.Parallel()
	for _, status := range []int{http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusInternalServerError} {
		t.Run(fmt.Sprint("status=", status), func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int64
			answer := func(conn net.Conn, _ *http.Request) {
				if requests.Add(1) == 1 {
					time.Sleep(targetSilenceTimeout + 400*time.Millisecond)
					_, _ = io.WriteString(conn, streamText("a", 1, 0, false)+": begun\n\n")
					time.Sleep(400 * time.Millisecond)
					resetConn(conn)
					return
				}
				time.Sleep(1200 * time.Millisecond)
				_, _ = io.WriteString(conn, answerText(status, "a", "", "error text"))
			}
			c, w, _ := newHedgingCall(t, connTarget(t, answer), connTarget(t, answer))
			c.deadline = time.Now().Add(5 * time.Second)
			choice, _ := c.entry.fleet.pickTarget(c.service, c.requirements(time.Minute), time.Minute)
			outcome, response := c.runAttempts(context.Background(), choice)
			response.release()
			if verdict := attempts.Decide(outcome, c.attemptState()); verdict != attempts.Abort && verdict != attempts.Retry {
				t.Errorf("%d requests, outcome %v, verdict %v, want 0 (Retry) or 6 (Abort)", requests.Load(), outcome, verdict)
			}
			if strings.Contains(w.Body.String(), "error text") {
				t.Errorf("body = %q, want no error text", w.Body)
			}
		})
	}
}

// slowCaller takes a time to read each part of an answer.
type slowCaller struct {
	*httptest.ResponseRecorder
	delay time.Duration
}

// Write implements http.ResponseWriter.
func (w slowCaller) Write(data []byte) (int, error) {
	time.Sleep(w.delay)
	return w.ResponseRecorder.Write(data)
}

// Guards against work for nobody: the target of a hedge worked on for as long as the caller took
// to read the answer of the first one.
func TestHedgeEndsBeforeAnswerIsWritten(t *testing.T) {
	var requests atomic.Int64
	answered, ended := make(chan time.Time, 1), make(chan time.Time, 1)
	answer := func(conn net.Conn, _ *http.Request) {
		if requests.Add(1) == 1 {
			time.Sleep(700 * time.Millisecond)
			answered <- time.Now()
			_, _ = io.WriteString(conn, answerText(http.StatusOK, "a", "", "one"))
			return
		}
		_, _ = conn.Read(make([]byte, 1))
		ended <- time.Now()
	}
	c, w, _ := newHedgingCall(t, connTarget(t, answer), connTarget(t, answer))
	c.route = &catalog.Route{Kind: catalog.Idempotent, MaxAttempts: 2, Objective: 50 * time.Millisecond}
	c.w = slowCaller{w, 2 * time.Second}
	choice, _ := c.entry.fleet.pickTarget(c.service, c.requirements(time.Minute), time.Minute)
	c.runAttempts(context.Background(), choice)
	if took := (<-ended).Sub(<-answered); took > 500*time.Millisecond {
		t.Errorf("the second target worked on for %v after the first one had answered, want at most 500ms", took)
	}
}

// connTarget answers the first request on each connection with what answer writes.
func connTarget(t *testing.T, answer func(conn net.Conn, r *http.Request)) (address string) {
	t.Helper()
	return testserver.ServeConns(t, func(conn net.Conn) {
		if r, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			answer(conn, r)
		}
	})
}

// leavingCaller leaves while the answer is written.
type leavingCaller struct {
	*httptest.ResponseRecorder
	leave context.CancelFunc
}

// Write implements http.ResponseWriter.
func (w leavingCaller) Write(data []byte) (int, error) {
	w.leave()
	time.Sleep(10 * time.Millisecond)
	return w.ResponseRecorder.Write(data)
}

// Guards against requests that are lost because another caller left: a connection whose response
// had arrived whole was reset although it was in the pool, where others may have taken it.
func TestReleasedConnectionIsNotReset(t *testing.T) {
	address := scriptedTarget(t, func(_ int, r *http.Request) string { return answerText(http.StatusOK, "a", "", "one") })
	e := newQuietEntry()
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	c := &call{entry: e, r: httptest.NewRequest(http.MethodPost, "/pay/x", nil), service: testService, info: platform.Call{AttemptID: "a"},
		w: leavingCaller{httptest.NewRecorder(), leave}, route: &catalog.Route{Kind: catalog.NonIdempotent}, deadline: time.Now().Add(time.Minute)}
	if outcome, _ := c.runAttempts(ctx, placement.Choice{ID: "target-1", Address: address}); outcome != attempts.Completed {
		t.Fatalf("outcome = %v, want Completed", outcome)
	}
	if conn := e.conns.takeIdle(address); conn == nil || !conn.isReusable() {
		t.Error("the connection of a complete response cannot be used again, want it open")
	}
}
