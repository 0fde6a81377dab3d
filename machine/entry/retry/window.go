package retry

import "time"

// Window bounds one entry's part of the retries that all entries together may send to a
// service. In any span of the window's length, it allows a ratio of the entry's own requests
// plus the entry's share of a burst. A process does not know how many retries its
// predecessor on the same machine has sent, so it gets no burst within its first window.
type Window struct {
	// started is when the process started.
	started time.Time

	length time.Duration
	ratio  float64
	burst  float64

	// requests and retries are the times of those within the window, in order of time.
	requests, retries []time.Time
}

// NewWindow returns an empty window of a process that started at started. It allows ratio
// retries for each request within length and, once the process is older than length, burst
// more retries; burst is this entry's share.
func NewWindow(started time.Time, length time.Duration, ratio, burst float64) *Window {
	return &Window{started: started, length: length, ratio: ratio, burst: burst}
}

// SetBounds replaces the bounds. Requests and retries that are still counted stay counted,
// and those that a shorter window has discarded stay discarded.
func (w *Window) SetBounds(length time.Duration, ratio, burst float64) {
	w.length, w.ratio, w.burst = length, ratio, burst
}

// RecordRequest records a request.
func (w *Window) RecordRequest(now time.Time) { w.requests = append(w.requests, now) }

// Remaining returns how many retries the window allows now. It is negative if a bound was
// lowered below the number of retries sent.
func (w *Window) Remaining(now time.Time) float64 {
	w.requests = dropBefore(w.requests, now.Add(-w.length))
	w.retries = dropBefore(w.retries, now.Add(-w.length))
	return w.ratio*float64(len(w.requests)) + w.availableBurst(now) - float64(len(w.retries))
}

// availableBurst returns the part of the burst that a preceding process cannot have spent
// within the window that ends now.
func (w *Window) availableBurst(now time.Time) float64 {
	if now.Sub(w.started) <= w.length {
		return 0
	}
	return w.burst
}

// TryAcquire records a retry if the window allows one, and reports whether it did.
func (w *Window) TryAcquire(now time.Time) bool {
	if w.Remaining(now) < 1 {
		return false
	}
	w.retries = append(w.retries, now)
	return true
}

// dropBefore returns the times from start on; times must be in order.
func dropBefore(times []time.Time, start time.Time) []time.Time {
	n := 0
	for n < len(times) && times[n].Before(start) {
		n++
	}
	return times[n:]
}
