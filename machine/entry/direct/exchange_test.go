package direct

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"testing/synctest"
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
	x := newExchange(c, placement.Choice{ID: "target-1", Address: address})
	if outcome, _ := x.run(ctx); outcome != attempts.Lost {
		t.Errorf("outcome %v", outcome)
	}
	if err := <-end; !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the target's connection ended with %v, want a reset", err)
	}
}

// watchedExchange is an attempt of a stream that the target has just begun to answer.
func watchedExchange() *exchange {
	c := &call{
		entry: &Entry{world: startedWorld(time.Hour, 3)}, service: testService,
		route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(time.Hour),
	}
	x := newExchange(c, placement.Choice{ID: "target-1"})
	x.hear()
	return x
}

// Guards against streams that are cut, and targets that are taken out, all at once after
// a standstill of the process: it took the time in which it could not hear for silence.
func TestAStandstillOfTheProcessIsNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := watchedExchange()
		for range 5 {
			time.Sleep(watchInterval)
			if x.isSilent() {
				t.Fatal("silent soon after it was heard")
			}
		}
		time.Sleep(10 * time.Second)
		for range 5 {
			if x.isSilent() {
				t.Fatal("silent because the process stood still for 10 s")
			}
			time.Sleep(watchInterval)
		}
	})
}

// Guards against targets that hang: their silence counts while the process runs, also
// what came before a standstill.
func TestSilenceIsNoticedAroundAStandstill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := watchedExchange()
		looks := 0
		for !x.isSilent() {
			time.Sleep(watchInterval)
			if looks++; looks == 8 {
				time.Sleep(10 * time.Second)
			}
			if looks > 1000 {
				t.Fatal("silence was never noticed")
			}
		}
		if quiet := time.Duration(looks) * watchInterval; quiet > targetSilence+2*watchInterval {
			t.Errorf("noticed after %v of running", quiet)
		}
	})
}
