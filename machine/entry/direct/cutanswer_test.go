package direct

import (
	"context"
	"net"
	"testing"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// Guards against a success with an empty or short body that looks whole (MIXED): the target stopped in the
// middle of the head of its answer and closed the connection, at any byte.
func TestAnswerCutInItsHeadIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\n"
	e := newQuietEntry()
	for name, head := range map[string]string{
		"with a length":  head + "Content-Length: 120\r\n\r\n",
		"length first":   "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nServer-Stamp: s\r\nAttempt-Id: a\r\n\r\n",
		"in chunks":      head + "Transfer-Encoding: chunked\r\n\r\n",
		"without length": head + "Connection: close\r\n\r\n",
	} {
		for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Streaming} {
			for cut := range len(head) {
				c, w := boundedCall(e, kind)
				if outcome := attemptsAt(t, c, head[:cut]); outcome != attempts.Lost || w.Body.Len() > 0 || c.headSent {
					t.Errorf("%s, %v, cut after %q: outcome %v, body %q, head sent %v, want 4 (Lost) and nothing",
						name, kind, head[:cut], outcome, w.Body, c.headSent)
				}
			}
		}
	}
}

// Guards against half of an answer that looks whole (MIXED): the target crashed while it sent an answer
// without a length, and its connection was closed in order.
func TestAnswerOfCrashedTargetIsNotComplete(t *testing.T) {
	const half = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nAttempt-Id: a\r\nConnection: close\r\n\r\nhalf of a body"
	for name, c := range map[string]struct {
		crashes bool
		want    attempts.Outcome
	}{
		"target runs":    {false, attempts.Completed},
		"target crashed": {true, attempts.Lost},
	} {
		for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent} {
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
				answerOnce(conn, half, false)
			}()
			call, w := boundedCall(newQuietEntry(), kind)
			outcome, failure := call.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: lis.Addr().String()})
			failure.release()
			_ = lis.Close()
			if outcome != c.want || (w.Body.Len() > 0) != (c.want == attempts.Completed) {
				t.Errorf("%s, %v: outcome %v, body %q, want %v", name, kind, outcome, w.Body, c.want)
			}
		}
	}
}
