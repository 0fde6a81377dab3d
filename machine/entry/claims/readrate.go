package claims

import "time"

const (
	// readInterval is the mean time between two reads at full rate.
	readInterval = 10 * time.Millisecond
	// readBurst is the number of reads that are allowed at once after a pause.
	readBurst = 20
)

// readLimiter limits the rate at which the stream is read while calls wait.
type readLimiter struct {
	next time.Time
}

// reserveDelay reserves one read and returns the time to wait before it.
func (r *readLimiter) reserveDelay(now time.Time) time.Duration {
	earliest := now.Add(-readBurst * readInterval)
	if r.next.Before(earliest) {
		r.next = earliest
	}
	r.next = r.next.Add(readInterval)
	return max(r.next.Sub(now), 0)
}
