package metrics

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
)

// Readers that ask for the page and never read it hold up nobody else, and what is
// counted meanwhile is on the next page.
func TestFrozenReadersHoldNothingUp(t *testing.T) {
	probe, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := probe.Addr().String()
	_ = probe.Close()
	r := New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Serve(ctx, address, &log.Logger{Handler: discard.Default})
	}()
	const readers = 50
	for range readers {
		conn := dial(t, address)
		defer func() { _ = conn.Close() }()
		for range 20 {
			if _, err := io.WriteString(conn, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
		}
	}
	r.Scope().Counter("seen").Inc(1)
	for {
		resp, err := http.Get("http://" + address + "/metrics")
		if err != nil {
			t.Fatal(err)
		}
		page, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(page), "mimosastand_seen 1") {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	cancel()
	<-ended
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn
		}
		time.Sleep(10 * time.Millisecond)
	}
}
