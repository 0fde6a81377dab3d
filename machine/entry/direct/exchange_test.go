package direct

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// listenOnce accepts one connection, reads a request from it, calls received, and
// delivers how the connection ends.
func listenOnce(t *testing.T, received func()) (address string, end <-chan error) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	ended := make(chan error, 1)
	go func() {
		conn, err := lis.Accept()
		if err != nil {
			ended <- err
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			ended <- err
			return
		}
		received()
		_, err = reader.ReadByte()
		ended <- err
	}()
	return lis.Addr().String(), ended
}

// Guards against work for callers that have left (klaa-accounts-grown, fresh-cf77): a
// connection that was closed, not reset, still delivered the request 320 ms after its
// caller had left, when the path to the target was whole again, and it ran to its end.
func TestAnAttemptWhoseCallerLeftIsReset(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	address, end := listenOnce(t, cancel)
	e := &Entry{world: startedWorld(time.Hour, 3), upstream: newUpstream()}
	c := &call{
		entry: e, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
		route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(time.Hour),
	}
	x := &exchange{call: c, choice: placement.Choice{ID: "target-1", Address: address}, start: time.Now()}
	if outcome, _ := x.run(ctx); outcome != attempts.Lost {
		t.Errorf("outcome %v", outcome)
	}
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target's connection ended with %v, want a reset", err)
	}
}
