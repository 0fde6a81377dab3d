package retry

import (
	"testing"
	"time"
)

// longAgo is the start time of a process that is older than any window in the tests.
var longAgo = time.Unix(0, 0)

// TestWindowBoundsRetriesInAnySpan acquires a retry whenever the window allows it and counts
// the retries in every span of the window's length.
func TestWindowBoundsRetriesInAnySpan(t *testing.T) {
	const ratio, burst = 0.2, 5.0
	length := 10 * time.Second
	w := NewWindow(longAgo, length, ratio, burst)
	var requests, retries []time.Time
	now := time.Unix(1000, 0)
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if i%5 == 0 {
			w.RecordRequest(now)
			requests = append(requests, now)
		}
		if w.TryAcquire(now) {
			retries = append(retries, now)
		}
		inSpan := len(dropBefore(retries, now.Add(-length)))
		bound := ratio*float64(len(dropBefore(requests, now.Add(-length)))) + burst
		if float64(inSpan) > bound {
			t.Fatalf("%d retries within the window, want at most %.1f", inSpan, bound)
		}
	}
	if len(retries) < 160 {
		t.Errorf("%d retries were allowed, want at least 160", len(retries))
	}
}

func TestWindowAllowsBurstWithoutRequests(t *testing.T) {
	w := NewWindow(longAgo, 10*time.Second, 0.2, 2)
	now := time.Unix(1000, 0)
	allowed := 0
	for range 5 {
		if w.TryAcquire(now) {
			allowed++
		}
	}
	if allowed != 2 {
		t.Errorf("%d retries were allowed without requests, want the burst of 2", allowed)
	}
	if !w.TryAcquire(now.Add(11 * time.Second)) {
		t.Error("TryAcquire() = false after the window has passed, want true")
	}
}

// TestWindowAllowsNoBurstAfterProcessStart guards the bound of retries when a process
// restarts: its previous run may have spent the entire burst within the same window.
func TestWindowAllowsNoBurstAfterProcessStart(t *testing.T) {
	const length = 10 * time.Second
	start := time.Unix(1000, 0)
	w := NewWindow(start, length, 0.2, 5)
	for range 5 {
		w.RecordRequest(start)
	}
	if got := w.Remaining(start); got != 1 {
		t.Errorf("Remaining() = %.1f after 5 requests, want 1", got)
	}
	if got := w.Remaining(start.Add(length)); got > 1 {
		t.Errorf("Remaining() = %.1f at the end of the first window, want at most 1", got)
	}
	if got := w.Remaining(start.Add(length + time.Millisecond)); got != 5 {
		t.Errorf("Remaining() = %.1f after the first window, want the burst of 5", got)
	}
	w.SetBounds(2*length, 0, 5)
	if got := w.Remaining(start.Add(length + time.Millisecond)); got != 0 {
		t.Errorf("Remaining() = %.1f within the first window of the new length, want 0", got)
	}
}

// TestWindowAllowsOneBurstAcrossRestarts guards the bound of retries when a process is
// killed and restarted at any time: no span of the window's length has more retries than
// its requests and one burst allow.
func TestWindowAllowsOneBurstAcrossRestarts(t *testing.T) {
	const ratio, burst = 0.2, 5.0
	length := 10 * time.Second
	now := time.Unix(1000, 0)
	var retries []time.Time
	for run := range 60 {
		w := NewWindow(now, length, ratio, burst)
		for range 100 * (1 + run%23) {
			now = now.Add(10 * time.Millisecond)
			if !w.TryAcquire(now) {
				continue
			}
			retries = append(retries, now)
			if n := len(dropBefore(retries, now.Add(-length))); n > burst {
				t.Fatalf("run %d: %d retries within %v, want at most %v", run, n, length, burst)
			}
		}
	}
	if len(retries) == 0 {
		t.Error("no run was allowed a retry, want some of the burst")
	}
}

// TestSetBoundsAppliesToRecordedRequests checks that bounds that change while the process
// runs apply to the requests and retries recorded before.
func TestSetBoundsAppliesToRecordedRequests(t *testing.T) {
	w := NewWindow(longAgo, 10*time.Second, 0.2, 2)
	now := time.Unix(1000, 0)
	for range 20 {
		w.RecordRequest(now)
	}
	for range 4 {
		if !w.TryAcquire(now) {
			t.Fatal("TryAcquire() = false within the bounds, want true")
		}
	}
	w.SetBounds(10*time.Second, 0.1, 2)
	if w.TryAcquire(now) {
		t.Error("TryAcquire() = true after the ratio was lowered, want false")
	}
	w.SetBounds(time.Second, 0, 1)
	if !w.TryAcquire(now.Add(2 * time.Second)) {
		t.Error("TryAcquire() = false after the window was shortened, want true")
	}
}

func TestReturnEstimatorSpreadsRefusedCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	var idle, overloaded ReturnEstimator
	idle.RecordRefused(now)
	for range 20 {
		idle.RecordServed(now)
	}
	for range 50 {
		overloaded.RecordRefused(now)
	}
	if got := idle.RetryAfter(now, 0, 0.5); got > 2*MinReturnDelay {
		t.Errorf("RetryAfter() = %v with 1 of 21 refused, want at most 2*MinReturnDelay", got)
	}
	if got := overloaded.RetryAfter(now, 0, 0.5); got < MaxReturnDelay/2 {
		t.Errorf("RetryAfter() = %v with 50 of 50 refused, want at least MaxReturnDelay/2", got)
	}
	if got := overloaded.RetryAfter(now, time.Hour, 0.999); got > MaxReturnDelay {
		t.Errorf("RetryAfter() = %v with a predicted wait of 1 h, want at most MaxReturnDelay", got)
	}
	if got := overloaded.RetryAfter(now.Add(2*countWindow), 0, 0.5); got > 2*MinReturnDelay {
		t.Errorf("RetryAfter() = %v long after the refusals, want at most 2*MinReturnDelay", got)
	}
}

// Guards against refused callers that return together and are refused again: each returns after
// those before it, as fast as they find room, and a more urgent one does not wait for the others.
func TestReturnPlanSpacesReturns(t *testing.T) {
	now := time.Unix(1000, 0)
	var p ReturnPlan
	last := time.Duration(0)
	for range 10 {
		last = p.RetryAfter(now, 1, 200*time.Millisecond, 10, time.Minute, 0.999)
	}
	if last < time.Second || last > 1200*time.Millisecond {
		t.Errorf("RetryAfter() = %v for the tenth at ten a second, want 1 s or a little more", last)
	}
	if got := p.RetryAfter(now, 0, 200*time.Millisecond, 10, time.Minute, 0.999); got > 250*time.Millisecond {
		t.Errorf("RetryAfter() = %v for a more urgent one, want about 200 ms", got)
	}
	for range 100 {
		last = p.RetryAfter(now, 1, 0, 10, time.Minute, 0.999)
	}
	if last > MaxReturnDelay || last < MaxReturnDelay/2 {
		t.Errorf("RetryAfter() = %v after a hundred, want nearly %v", last, MaxReturnDelay)
	}
	if got := p.RetryAfter(now, 1, 0, 10, time.Second, 0.999); got > time.Second {
		t.Errorf("RetryAfter() = %v for a caller that waits for 1 s, want at most that", got)
	}
	if got := p.Expected(now.Add(MaxReturnDelay), 1); got != 0 {
		t.Errorf("Expected() = %d when all have returned, want 0", got)
	}
}
