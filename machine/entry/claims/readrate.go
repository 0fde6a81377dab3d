package claims

import "time"

const (
	// readGap is the mean time between two reads that readRate allows.
	readGap = 10 * time.Millisecond
	// readBurst is how many reads may come early after a pause.
	readBurst = 20
)

// readRate bounds how often the stream is read while calls wait.
type readRate struct {
	next time.Time
}

// delay counts one read and returns how long to wait before it.
func (r *readRate) delay(now time.Time) time.Duration {
	earliest := now.Add(-readBurst * readGap)
	if r.next.Before(earliest) {
		r.next = earliest
	}
	r.next = r.next.Add(readGap)
	return max(r.next.Sub(now), 0)
}
