package retry

import (
	"testing"
	"time"
)

// TestWindowHoldsInAnySpan draws retries at every chance and counts them in every
// span of the window's length.
func TestWindowHoldsInAnySpan(t *testing.T) {
	const ratio, burst = 0.2, 5.0
	length := 10 * time.Second
	w := NewWindow(length, ratio, burst)
	var firsts, retries []time.Time
	now := time.Unix(1000, 0)
	for i := range 4000 {
		now = now.Add(10 * time.Millisecond)
		if i%5 == 0 {
			w.First(now)
			firsts = append(firsts, now)
		}
		if w.Take(now) {
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
	w := NewWindow(10*time.Second, 0.2, 2)
	now := time.Unix(1000, 0)
	taken := 0
	for range 5 {
		if w.Take(now) {
			taken++
		}
	}
	if taken != 2 {
		t.Errorf("burst of %d, want 2", taken)
	}
	if !w.Take(now.Add(11 * time.Second)) {
		t.Error("the burst does not come back")
	}
}

// Bounds that change while the process runs hold for what was counted before.
func TestNewBoundsHoldAtOnce(t *testing.T) {
	w := NewWindow(10*time.Second, 0.2, 2)
	now := time.Unix(1000, 0)
	for range 20 {
		w.First(now)
	}
	for range 4 {
		if !w.Take(now) {
			t.Fatal("a retry within the bounds was refused")
		}
	}
	w.SetBounds(10*time.Second, 0.1, 2)
	if w.Take(now) {
		t.Error("the lower ratio does not hold")
	}
	w.SetBounds(time.Second, 0, 1)
	if !w.Take(now.Add(2 * time.Second)) {
		t.Error("the shorter window does not hold")
	}
}

func TestComebackSpreadsACrowd(t *testing.T) {
	now := time.Unix(1000, 0)
	var calm, crowd Comeback
	calm.Refused(now)
	for range 20 {
		calm.Served(now)
	}
	for range 50 {
		crowd.Refused(now)
	}
	if got := calm.After(now, 0, 0.5); got > 2*MinComeback {
		t.Errorf("one refused of 21 comes back after %v", got)
	}
	if got := crowd.After(now, 0, 0.5); got < MaxComeback/2 {
		t.Errorf("50 refused of 50 come back after %v", got)
	}
	if got := crowd.After(now, time.Hour, 0.999); got > MaxComeback {
		t.Errorf("comes back after %v", got)
	}
	if got := crowd.After(now.Add(2*comebackWindow), 0, 0.5); got > 2*MinComeback {
		t.Errorf("long after the crowd: %v", got)
	}
}
