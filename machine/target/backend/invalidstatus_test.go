package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/testserver"
)

// startRawServer starts a service that answers each call with text, which need not be a valid response.
func startRawServer(t *testing.T, text string) (url string) {
	t.Helper()
	return "http://" + testserver.ServeConns(t, func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(conn, text)
	})
}

// Guards against an answer with the status 000, or another one that is no final status, that counts as the
// answer of the service and is recorded for its idempotency key.
func TestReplyWithInvalidStatusIsLost(t *testing.T) {
	for _, status := range []string{"000", "042", "101", "600", "999"} {
		url := startRawServer(t, fmt.Sprintf("HTTP/1.1 %s Trouble\r\nContent-Length: 2\r\n\r\nok", status))
		for _, idempotent := range []bool{false, true} {
			call := newFilingCall("x")
			call.Idempotent = idempotent
			reply, err := NewPlainClient(url).Call(context.Background(), call)
			if !errors.Is(err, ErrReplyLost) || errors.Is(err, ErrNotSent) {
				t.Errorf("status %s: reply with status %d, error %v; want ErrReplyLost and not ErrNotSent", status, reply.Status, err)
			}
		}
	}
}
