package direct

import (
	"context"
	"net"
	"net/http"
	"testing"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// Guards against the text or the head of an error in the middle of a stream that is resumed, and against such
// a stream that ends as if it were complete: the first target broke off, and the next answers with an error.
func TestErrorOfTargetThatResumesStreamIsNotSent(t *testing.T) {
	broken := streamHead + "Content-Length: 1000\r\n\r\n" + firstEvent + "id: 2\nda"
	for _, header := range []string{"", "Not-Executed: 1\r\n", "Content-Type: text/event-stream\r\n"} {
		for _, status := range []int{400, 404, 408, 421, 429, 500, 502, 503, 504} {
			c, w := boundedCall(newQuietEntry(), catalog.Streaming)
			outcome := attemptsAt(t, c, broken, answerText(status, "a", header, "id: 2\ndata: error text\n\n"))
			if outcome == attempts.Completed || w.Body.String() != firstEvent || w.Code != http.StatusOK {
				t.Errorf("%d %q: outcome %v, body %q, want no 0 (Completed) and the first event only", status, header, outcome, w.Body)
			}
			state := c.attemptState()
			state.MaxAttempts = state.Sent
			if verdict := attempts.Decide(outcome, state); verdict != attempts.Abort {
				t.Errorf("%d %q: verdict %v without attempts left, want 6 (Abort)", status, header, verdict)
			}
		}
	}
}

// Guards against the head of another answer in the middle of a stream: a stream without a length ends
// with its connection, and a faulty target wrote an error behind the events.
func TestHeadOfAnswerIsNoEvent(t *testing.T) {
	c, w := boundedCall(newQuietEntry(), catalog.Streaming)
	head := streamHead + "Connection: close\r\n\r\n"
	outcome := attemptsAt(t, c, head+firstEvent+answerText(http.StatusInternalServerError, "a", "", "error text"))
	if outcome != attempts.Lost || w.Body.String() != firstEvent {
		t.Errorf("outcome %v, body %q, want 4 (Lost) and the first event only", outcome, w.Body)
	}
}

// Guards against a broken stream that looks complete: the target that was to go on closed its
// connection after the head of its answer, which had no length.
func TestStreamIsNotContinuedByNothing(t *testing.T) {
	c, w := boundedCall(newQuietEntry(), catalog.Streaming)
	broken := streamHead + "Content-Length: 1000\r\n\r\n" + firstEvent + "id: 2\nda"
	outcome := attemptsAt(t, c, broken, streamHead+"Connection: close\r\n\r\n")
	if outcome != attempts.Lost || w.Body.String() != firstEvent {
		t.Errorf("outcome %v, body %q, want 4 (Lost) and the first event only", outcome, w.Body)
	}
}

// A target that has nothing to add to a stream says so with an empty body of a known length.
func TestStreamMayBeContinuedByEmptyBody(t *testing.T) {
	c, w := boundedCall(newQuietEntry(), catalog.Streaming)
	broken := streamHead + "Content-Length: 1000\r\n\r\n" + firstEvent
	for _, framing := range []string{"Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		if outcome := attemptsAt(t, c, broken, streamHead+framing); outcome != attempts.Completed {
			t.Errorf("%q: outcome %v, body %q, want 0 (Completed)", framing, outcome, w.Body)
		}
	}
}

// Guards against requests that run twice, or are said not to have run: a faulty target writes a refusal
// once more on a connection that is kept, in place of the answer to the next request.
func TestRepeatedRefusalIsNotTaken(t *testing.T) {
	refusal := answerText(503, "first", "Not-Executed: 1\r\n", "full")
	for name, late := range map[string]string{
		"same refusal":                refusal,
		"refusal without the attempt": answerText(503, "", "Not-Executed: 1\r\n", "full"),
		"rate limit":                  answerText(429, "first", "Not-Executed: 1\r\n", "full"),
		"misdirected":                 answerText(421, "first", "", "full"),
	} {
		checkLateAnswerIsNotTaken(t, name, refusal, attempts.NotRun, late)
	}
}

// Guards against a broken stream that looks complete (soak, seed 7006): a target crashed while it sent a stream
// without a length, and its connection was closed in order between two events.
func TestStreamOfCrashedTargetIsNotComplete(t *testing.T) {
	for name, c := range map[string]struct {
		crashes bool
		want    attempts.Outcome
	}{
		"target runs":    {false, attempts.Completed},
		"target crashed": {true, attempts.Lost},
	} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			if c.crashes {
				_ = lis.Close()
			}
			answerOnce(conn, streamHead+"Connection: close\r\n\r\n"+firstEvent, false)
		}()
		call, w := boundedCall(newQuietEntry(), catalog.Streaming)
		outcome, _ := call.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: lis.Addr().String()})
		_ = lis.Close()
		if outcome != c.want || w.Body.String() != firstEvent {
			t.Errorf("%s: outcome %v, body %q, want %v and the first event", name, outcome, w.Body, c.want)
		}
	}
}
