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

// Clients that request the page and never read the answers must not block other clients. What
// is counted meanwhile is on the page that another client reads.
func TestServeIsNotBlockedByStalledClients(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := listener.Addr().String()
	_ = listener.Close()
	r := New()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Serve(ctx, address, &log.Logger{Handler: discard.Default})
	}()
	const clients = 50
	for range clients {
		conn := waitAndDial(t, address)
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

// waitAndDial connects to address as soon as something listens there.
func waitAndDial(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			return conn
		}
		time.Sleep(10 * time.Millisecond)
	}
}
