package direct

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// Guards against an answer whose status is no final one, such as 000: its head was skipped as that of an
// informational response, so that what followed it, its own body even, was taken for the answer, and a
// request whose target sent no more waited until its deadline. Statuses from 600 on reached the caller.
func TestAnswerWithInvalidStatusIsLost(t *testing.T) {
	const (
		stamped = "Server-Stamp: s\r\nAttempt-Id: a\r\n"
		answer  = "HTTP/1.1 200 OK\r\n" + stamped + "Content-Length: 2\r\n\r\nok"
		// soon is much less than the time that a request without an answer has.
		soon = time.Second
	)
	body := fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(answer), answer)
	for _, status := range []string{"000", "001", "099", "+99", "101", "600", "700", "999"} {
		head := "HTTP/1.1 " + status + " Trouble\r\n" + stamped
		for name, text := range map[string]string{
			"no body":            head + "Content-Length: 0\r\n\r\n",
			"body":               head + "Content-Length: 2\r\n\r\nok",
			"no length":          head + "\r\nok",
			"answer as its body": head + body,
			"answer behind it":   head + "Content-Length: 0\r\n\r\n" + answer,
		} {
			for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Streaming} {
				e := newQuietEntry()
				call, w := boundedCall(e, kind)
				// The target keeps the connection open after its answer.
				address := scriptedTarget(t, func(int, *http.Request) string { return text })
				start := time.Now()
				outcome, _ := call.runAttempts(context.Background(), placement.Choice{ID: "target-1", Address: address})
				took := time.Since(start)
				if outcome != attempts.Lost || w.Body.Len() > 0 || took > soon || len(e.conns.idle[address]) > 0 {
					t.Errorf("status %s, %s, %v: outcome %v after %v, body %q, %d connections kept; want %v within %v, none",
						status, name, kind, outcome, took, w.Body, len(e.conns.idle[address]), attempts.Lost, soon)
				}
				if !call.mayHaveRun {
					t.Errorf("status %s, %s, %v: counts as not run", status, name, kind)
				}
			}
		}
	}
}
