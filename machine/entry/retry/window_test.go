package retry

import (
	"testing"
	"time"
)

// longAgo is the start of a process that is older than any window of the tests.
var longAgo = time.Unix(0, 0)

// TestWindowHoldsInAnySpan draws retries at every chance and counts them in every
// span of the window's length.
func TestWindowHoldsInAnySpan(t *testing.T) {
	const ratio, burst = 0.2, 5.0
	length := 10 * time.Second
	w := NewWindow(longAgo, length, ratio, burst)
	var firsts, retries []time.Time
	now := time.Unix(1000, 0)
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if i%5 == 0 {
			w.RecordRequest(now)
			firsts = append(firsts, now)
		}
		if w.TryAcquire(now) {
			retries = append(retries, now)
		}
		inSpan := len(since(retries, now.Add(-length)))
		bound := ratio*float64(len(since(firsts, now.Add(-length)))) + burst
		if float64(inSpan) > bound {
			t.Fatalf("%d retries, bound %.1f", inSpan, bound)
		}
	}
	if len(retries) < 160 {
		t.Errorf("only %d retries", len(retries))
	}
}

func TestWindowWithoutTrafficAllowsItsBurst(t *testing.T) {
	w := NewWindow(longAgo, 10*time.Second, 0.2, 2)
	now := time.Unix(1000, 0)
	taken := 0
	for range 5 {
		if w.TryAcquire(now) {
			taken++
		}
	}
	if taken != 2 {
		t.Errorf("burst of %d, want 2", taken)
	}
	if !w.TryAcquire(now.Add(11 * time.Second)) {
		t.Error("the burst does not come back")
	}
}

// Guards against BUDGET when a process starts again: its former run may have spent the
// whole burst within the same window.
func TestAYoungProcessHasNoBurst(t *testing.T) {
	const length = 10 * time.Second
	start := time.Unix(1000, 0)
	w := NewWindow(start, length, 0.2, 5)
	for range 5 {
		w.RecordRequest(start)
	}
	if got := w.Remaining(start); got != 1 {
		t.Errorf("%.1f retries are left for 5 requests, want 1", got)
	}
	if got := w.Remaining(start.Add(length)); got > 1 {
		t.Errorf("%.1f retries are left at the end of the first window", got)
	}
	if got := w.Remaining(start.Add(length + time.Millisecond)); got != 5 {
		t.Errorf("%.1f retries are left after the first window, want the burst of 5", got)
	}
	w.SetBounds(2*length, 0, 5)
	if got := w.Remaining(start.Add(length + time.Millisecond)); got != 0 {
		t.Errorf("%.1f retries are left within the first of longer windows", got)
	}
}

// Guards against BUDGET over many lives of a process: whenever it is killed, no span of
// the window's length holds more retries than its requests and one burst allow.
func TestTheBurstIsSpentOnceOverRestarts(t *testing.T) {
	const ratio, burst = 0.2, 5.0
	length := 10 * time.Second
	now := time.Unix(1000, 0)
	var retries []time.Time
	for life := range 60 {
		w := NewWindow(now, length, ratio, burst)
		for range 100 * (1 + life%23) {
			now = now.Add(10 * time.Millisecond)
			if !w.TryAcquire(now) {
				continue
			}
			retries = append(retries, now)
			if n := len(since(retries, now.Add(-length))); n > burst {
				t.Fatalf("life %d: %d retries within %v, bound %v", life, n, length, burst)
			}
		}
	}
	if len(retries) == 0 {
		t.Error("the burst was never allowed")
	}
}

// Bounds that change while the process runs hold for what was counted before.
func TestNewBoundsHoldAtOnce(t *testing.T) {
	w := NewWindow(longAgo, 10*time.Second, 0.2, 2)
	now := time.Unix(1000, 0)
	for range 20 {
		w.RecordRequest(now)
	}
	for range 4 {
		if !w.TryAcquire(now) {
			t.Fatal("a retry within the bounds was refused")
		}
	}
	w.SetBounds(10*time.Second, 0.1, 2)
	if w.TryAcquire(now) {
		t.Error("the lower ratio does not hold")
	}
	w.SetBounds(time.Second, 0, 1)
	if !w.TryAcquire(now.Add(2 * time.Second)) {
		t.Error("the shorter window does not hold")
	}
}

func TestComebackSpreadsACrowd(t *testing.T) {
	now := time.Unix(1000, 0)
	var calm, crowd ReturnEstimator
	calm.RecordRefused(now)
	for range 20 {
		calm.RecordServed(now)
	}
	for range 50 {
		crowd.RecordRefused(now)
	}
	if got := calm.RetryAfter(now, 0, 0.5); got > 2*MinReturnDelay {
		t.Errorf("one refused of 21 comes back after %v", got)
	}
	if got := crowd.RetryAfter(now, 0, 0.5); got < MaxReturnDelay/2 {
		t.Errorf("50 refused of 50 come back after %v", got)
	}
	if got := crowd.RetryAfter(now, time.Hour, 0.999); got > MaxReturnDelay {
		t.Errorf("comes back after %v", got)
	}
	if got := crowd.RetryAfter(now.Add(2*comebackWindow), 0, 0.5); got > 2*MinReturnDelay {
		t.Errorf("long after the crowd: %v", got)
	}
}
