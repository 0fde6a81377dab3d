package direct

import (
	"context"
	"net"
	"testing"
	"time"
)

// Guards against a target that counts as crashed, and answers and requests that are given up or blamed for it,
// because it has too many connections and ends each new one; and against one that crashed and whose
// listener lasts a little longer than its connections.
func TestTargetWithTooManyConnectionsIsNotDown(t *testing.T) {
	const never = time.Hour
	for name, c := range map[string]struct {
		// closesAfter is when the listener is closed.
		closesAfter time.Duration
		resets      bool
		want        bool
	}{
		"runs":                           {never, false, false},
		"resets each connection":         {never, true, false},
		"has crashed":                    {0, true, true},
		"crashes, its listener later on": {crashRedialDelay * 3 / 2, true, true},
	} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := lis.Accept()
				if err != nil {
					return
				}
				if c.resets {
					resetConn(conn)
				}
			}
		}()
		if c.closesAfter == 0 {
			_ = lis.Close()
		}
		closing := time.AfterFunc(c.closesAfter, func() { _ = lis.Close() })
		if got := newQuietEntry().isDown(context.Background(), lis.Addr().String()); got != c.want {
			t.Errorf("%s: isDown() = %v, want %v", name, got, c.want)
		}
		closing.Stop()
		_ = lis.Close()
	}
}
