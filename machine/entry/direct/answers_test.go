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
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/metrics"
	"mimosastand.example/mimosastand/internal/testserver"
	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// scriptedTarget answers each request on a connection with the text that answer returns for
// it; an empty text closes the connection.
func scriptedTarget(t *testing.T, answer func(request int, r *http.Request) string) (address string) {
	t.Helper()
	return testserver.ServeConns(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for n := 0; ; n++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			text := answer(n, r)
			if text == "" {
				return
			}
			if _, err := io.WriteString(conn, text); err != nil {
				return
			}
		}
	})
}

// answerText is an answer of a target; an attempt of "" leaves its name out.
func answerText(status int, attempt, header, body string) string {
	if attempt != "" {
		header += "Attempt-Id: " + attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d X\r\nServer-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

func newQuietEntry() *Entry {
	fleet := newStartedState(time.Hour, 3)
	return &Entry{
		fleet: fleet, checks: newCheckLoop(fleet), conns: newConnPool(), meters: newMeters(metrics.New().Scope()),
		log: &log.Logger{Handler: discard.Default, Level: log.InfoLevel},
	}
}

// attemptAt makes one attempt of a call that may run once only, at an address.
func attemptAt(e *Entry, address, attempt string) (attempts.Outcome, *httptest.ResponseRecorder) {
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/pay/x", nil)
	c := &call{entry: e, w: w, r: r, service: testService, route: &catalog.Route{Kind: catalog.NonIdempotent}, deadline: time.Now().Add(time.Minute)}
	r.Header.Set("Attempt-Id", attempt)
	c.info.AttemptID = attempt
	outcome, _ := c.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: address})
	return outcome, w
}

// Guards against an answer that reaches the next caller on a connection: a late copy of the
// answer before it, which may lack the attempt's name, or a copy that says "not run" for a
// request that has run.
func TestLateCopyOfAnswerIsNotTaken(t *testing.T) {
	for name, late := range map[string]string{
		"copy of the answer":            answerText(200, "first", "", "one"),
		"copy without the attempt":      answerText(200, "", "", "one"),
		"refusal of another attempt":    answerText(503, "first", "Not-Executed: 1\r\n", ""),
		"refusal without the attempt":   answerText(503, "", "Not-Executed: 1\r\n", ""),
		"misdirected without a request": answerText(421, "", "", ""),
	} {
		checkLateAnswerIsNotTaken(t, name, answerText(200, "first", "", "one"), attempts.Completed, late)
	}
}

// checkLateAnswerIsNotTaken makes two attempts on one connection. The target answers the first one with first,
// which ends it with outcome, and writes late before its answer to the second one.
func checkLateAnswerIsNotTaken(t *testing.T, name, first string, outcome attempts.Outcome, late string) {
	t.Helper()
	address := scriptedTarget(t, func(n int, r *http.Request) string {
		if n == 0 {
			return first
		}
		return late + answerText(200, r.Header.Get("Attempt-Id"), "", "two")
	})
	e := newQuietEntry()
	if got, _ := attemptAt(e, address, "first"); got != outcome {
		t.Fatalf("%s: first attempt ended with %v, want %v", name, got, outcome)
	}
	if got, w := attemptAt(e, address, "second"); got != attempts.Lost || w.Body.Len() > 0 {
		t.Errorf("%s: second attempt ended with %v and body %q, want 4 (Lost) and none", name, got, w.Body)
	}
}

// Guards against a connection that is used again before all of a refusal was read: the rest
// of it would be taken for the next answer.
func TestConnectionWithUnreadRefusalIsNotReused(t *testing.T) {
	const attempt = "second"
	forged := answerText(200, attempt, "", "forged")
	address := scriptedTarget(t, func(n int, r *http.Request) string {
		switch {
		case n > 0:
			return forged
		case r.Header.Get("Attempt-Id") == attempt:
			return answerText(200, attempt, "", "own")
		default:
			// The end of this answer arrives with the next one.
			whole := answerText(503, "first", "Not-Executed: 1\r\n", strings.Repeat("x", 64<<10)+forged)
			return strings.TrimSuffix(whole, forged)
		}
	})
	e := newQuietEntry()
	if outcome, _ := attemptAt(e, address, "first"); outcome != attempts.NotRun {
		t.Fatalf("first attempt ended with %v, want NotRun", outcome)
	}
	if outcome, w := attemptAt(e, address, attempt); outcome != attempts.Completed || w.Body.String() != "own" {
		t.Errorf("second attempt ended with %v and body %q, want Completed and \"own\"", outcome, w.Body)
	}
}

// eventOf is an event as it is read.
func eventOf(t *testing.T, text string) event {
	t.Helper()
	ev, err := readEvent(bufio.NewReader(strings.NewReader(text)), newChunkBuffer(&bufferBudget{}))
	if err != nil {
		t.Error(err)
	}
	return ev
}

// textOf returns the bytes of an event.
func textOf(ev event) string {
	var text strings.Builder
	_ = ev.data.writeTo(&text)
	return text.String()
}

// Guards against streams that count as broken off although they are complete: a line as long
// as the reader's buffer looked like the end of its event.
func TestEventWithLongLineIsReadWhole(t *testing.T) {
	for _, length := range []int{4095, 4096, 4097, 8192, 100_000} {
		line := "data: " + strings.Repeat("x", length-len("data: \n")) + "\n"
		text := line + "id: 7\n\n"
		ev, err := readEvent(bufio.NewReader(strings.NewReader(text)), newChunkBuffer(&bufferBudget{}))
		if err != nil || textOf(ev) != text || ev.id != 7 {
			t.Errorf("line of %d bytes: readEvent() = %d bytes, id %d, %v, want all %d bytes, id 7", length, ev.data.len(), ev.id, err, len(text))
		}
	}
	tooLong := "data: " + strings.Repeat("x", maxEventBytes) + "\n\n"
	if _, err := readEvent(bufio.NewReader(strings.NewReader(tooLong)), newChunkBuffer(&bufferBudget{})); !errors.Is(err, errEventTooLong) {
		t.Errorf("event of over 1 MiB: readEvent() error = %v, want errEventTooLong", err)
	}
}

// Guards against a process that stood still for seconds after it chose a target and then
// sends there: the target may have been evacuated, drained or limited meanwhile.
func TestStaleChoiceIsNotSent(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want attempts.Outcome
	}{
		"fresh": {0, attempts.Completed},
		"stale": {2 * time.Second, attempts.NotSent},
	} {
		requests := 0
		address := scriptedTarget(t, func(_ int, r *http.Request) string {
			requests++
			return answerText(200, "a", "", "one")
		})
		e := newQuietEntry()
		r := httptest.NewRequest(http.MethodPost, "/pay/x", nil)
		x := newExchange(&call{
			entry: e, w: httptest.NewRecorder(), r: r, service: testService, info: platform.Call{AttemptID: "a"},
			route: &catalog.Route{Kind: catalog.NonIdempotent}, deadline: time.Now().Add(time.Minute),
		}, placement.Choice{ID: "target-1", Address: address})
		x.start = x.start.Add(-c.age)
		outcome, _ := x.run(context.Background())
		if sent := requests > 0; outcome != c.want || sent != (c.want == attempts.Completed) {
			t.Errorf("%s choice: outcome %v, sent %v, want outcome %v", name, outcome, sent, c.want)
		}
	}
}

// Guards against a broken answer that looks complete to a caller of HTTP/1.0, for whom the
// end of the connection ends the answer: the connection has to be reset.
func TestBrokenAnswerIsResetForHTTP10(t *testing.T) {
	e := newQuietEntry()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := &call{entry: e, w: w, r: r, route: &catalog.Route{Kind: catalog.Streaming}, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
		if err := c.sendEvent(&http.Response{StatusCode: http.StatusOK, Header: http.Header{}}, eventOf(t, "id: 1\n\n")); err != nil {
			t.Error(err)
		}
		c.endWithVerdict(attempts.Abort, nil)
	}))
	defer server.Close()
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		conn, err := net.Dial("tcp", server.Listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, "GET /chat/x "+version+"\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		// A reset may drop the beginning of the answer, too.
		if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err == nil {
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("%s: broken answer read as complete, body %q, want an error", version, body)
			}
		}
		_ = conn.Close()
	}
}
