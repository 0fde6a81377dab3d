package retry

import "time"

// Window bounds one entry's part of the retries that all entries together may
// send to a service: a ratio of its own requests, and its share of a burst, in
// any span of the window's length. What a former process on the same machine has
// sent is not known, so that there is no burst within the first window of a process.
type Window struct {
	// started is when the process started.
	started time.Time

	length time.Duration
	ratio  float64
	burst  float64

	firsts, retries []time.Time
}

// NewWindow returns an empty window of a process that started at started. It allows
// ratio retries for each request within length and, once the process is older than
// length, burst more, which is this entry's share.
func NewWindow(started time.Time, length time.Duration, ratio, burst float64) *Window {
	return &Window{started: started, length: length, ratio: ratio, burst: burst}
}

// SetBounds replaces the bounds; what is still counted stays counted. A longer
// window does not bring back what the shorter one has let go.
func (w *Window) SetBounds(length time.Duration, ratio, burst float64) {
	w.length, w.ratio, w.burst = length, ratio, burst
}

// First records a request.
func (w *Window) RecordRequest(now time.Time) { w.firsts = append(w.firsts, now) }

// Left is how many retries the window allows now; it is negative when a bound was
// lowered below what has been sent.
func (w *Window) Remaining(now time.Time) float64 {
	w.firsts = since(w.firsts, now.Add(-w.length))
	w.retries = since(w.retries, now.Add(-w.length))
	return w.ratio*float64(len(w.firsts)) + w.burstAt(now) - float64(len(w.retries))
}

// burstAt is the part of the burst that a former process cannot have spent within
// the window that ends now.
func (w *Window) burstAt(now time.Time) float64 {
	if now.Sub(w.started) <= w.length {
		return 0
	}
	return w.burst
}

// Take draws one retry and reports whether the window allowed it.
func (w *Window) TryAcquire(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

func since(times []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(start) {
		n++
	}
	return times[n:]
}
