package link

import (
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
)

// slowSource yields a byte each pause, left times, and then nothing.
type slowSource struct {
	pause    time.Duration
	left     int
	deadline time.Time
}

func (s *slowSource) SetReadDeadline(t time.Time) error {
	s.deadline = t
	return nil
}

func (s *slowSource) Read(b []byte) (int, error) {
	if time.Now().Add(s.pause).After(s.deadline) || s.left == 0 {
		time.Sleep(time.Until(s.deadline))
		return 0, os.ErrDeadlineExceeded
	}
	time.Sleep(s.pause)
	s.left--
	b[0] = 'x'
	return 1, nil
}

// Target processes asked an entry for a large manifest over their narrow links: each
// answer was cut after 0.7 s, and all read the manifest from the store instead, over
// the link between regions.
func TestAMessageThatStillArrivesIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const patience = 700 * time.Millisecond
		r := &patientReader{source: &slowSource{pause: patience / 2, left: 10}, patience: patience}
		if _, err := io.ReadFull(r, make([]byte, 10)); err != nil {
			t.Errorf("cut: %v", err)
		}
		start := time.Now()
		_, err := io.ReadFull(r, make([]byte, 1))
		if took := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || took != patience {
			t.Errorf("silence: error %v after %v", err, took)
		}
	})
}
