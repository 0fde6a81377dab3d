package link

import (
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// slowReader returns one byte after each pause, left times, and no data after that.
type slowReader struct {
	pause    time.Duration
	left     int
	deadline time.Time
}

func (s *slowReader) SetReadDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *slowReader) Read(b []byte) (int, error) {
	if time.Now().Add(s.pause).After(s.deadline) || s.left == 0 {
		time.Sleep(time.Until(s.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(s.pause)
	s.left--
	b[0] = 'x'
	return 1, nil
}

// TestReadIdleTimeoutAllowsSlowMessage guards against a timeout for the complete message.
// With such a timeout of 0.7 s, target processes that requested a large manifest from an
// entry over slow links never received a complete reply. All of them read the manifest
// from the store instead, over the link between regions.
func TestReadIdleTimeoutAllowsSlowMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 700 * time.Millisecond
		r := &idleTimeoutReader{source: &slowReader{pause: timeout / 2, left: 10}, timeout: timeout}
		if _, err := io.ReadFull(r, make([]byte, 10)); err != nil {
			t.Errorf("ReadFull() of a slow message: error = %v, want nil", err)
		}
		start := time.Now()
		_, err := io.ReadFull(r, make([]byte, 1))
		if took := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || took != timeout {
			t.Errorf("ReadFull() without data: error = %v after %v, want os.ErrDeadlineExceeded after 700ms", err, took)
		}
	})
}
