package direct

import (
	"net"
	"syscall"
	"testing"
)

// Guards against a target that counts as crashed, and answers and requests that are given up or blamed for it,
// because it has too many connections and ends each new one; and against one that crashed and whose
// listener lasts a little longer than its connections.
func TestTargetWithTooManyConnectionsIsNotDown(t *testing.T) {
	const (
		lasting = "lasting"
		ending  = "ending"
		refused = "refused"
	)
	for name, c := range map[string]struct {
		// dials is what becomes of one dial after the other; the last one is repeated.
		dials []string
		want  bool
	}{
		"runs":                           {[]string{lasting}, false},
		"ends each connection":           {[]string{ending}, false},
		"ends one connection":            {[]string{ending, lasting}, false},
		"has crashed":                    {[]string{refused}, true},
		"crashes, its listener later on": {[]string{ending, refused}, true},
		"crashes, its listener last":     {[]string{ending, ending, ending, refused}, true},
		"no connection in time":          {[]string{"timeout"}, false},
	} {
		n := 0
		got := isRefused(func() (net.Conn, error) {
			dial := c.dials[min(n, len(c.dials)-1)]
			n++
			near, far := net.Pipe()
			t.Cleanup(func() { _ = far.Close() })
			switch dial {
			case lasting:
				return near, nil
			case ending:
				_ = far.Close()
				return near, nil
			case refused:
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			default:
				return nil, &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
			}
		})
		if got != c.want {
			t.Errorf("%s: isRefused() = %v after %d dials, want %v", name, got, n, c.want)
		}
		if n > maxCrashDials {
			t.Errorf("%s: %d dials, want at most %d", name, n, maxCrashDials)
		}
	}
}
