package poison_test

import (
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/poison"
)

// crashSequence has requests with the parts named crash an engine each, one every second, and
// others be proven after each. It returns the time at its end.
func crashSequence(tr *poison.Tracker, now time.Time, parts ...string) time.Time {
	for _, p := range parts {
		now = crashes(tr, now, p)
		proveSound(tr, now)
	}
	return now
}

func proveSound(tr *poison.Tracker, now time.Time) {
	sound := poison.NewRequest(service, []string{"sound", "own"})
	for range 3 {
		tr.Proven(now, sound, now.Add(-600*time.Millisecond))
	}
}

// crashes is crashSequence without proven requests.
func crashes(tr *poison.Tracker, now time.Time, parts ...string) time.Time {
	for _, p := range parts {
		tr.Observe(now, poison.Observation{
			Crash: uint64(now.UnixNano()), Request: poison.NewRequest(service, []string{p, "own"}),
			SentAt: now.Add(-400 * time.Millisecond), BrokenAt: now,
		})
		now = now.Add(time.Second)
	}
	return now
}

func decide(tr *poison.Tracker, now time.Time, parts ...string) poison.Decision {
	never := func(uint64, time.Duration) bool { return false }
	d, _ := tr.Check(now, poison.NewRequest(service, append(parts, "own")), never)
	return d
}

// Guards against a burst of requests with a part that is about to be blamed.
func TestSuspectPartIsSentOnceASecond(t *testing.T) {
	tr := newTracker()
	now := crashSequence(tr, startTime, "bad", "bad")
	if decide(tr, now, "bad") != poison.Allowed {
		t.Error("the first request after two crashes is refused")
	}
	if decide(tr, now.Add(900*time.Millisecond), "bad") != poison.Refused {
		t.Error("another request 0.9 s later is not refused")
	}
	if decide(tr, now.Add(time.Second), "bad") != poison.Allowed {
		t.Error("another request 1 s later is refused")
	}
}

// Guards against a bad part that goes unseen since another one causes most crashes.
func TestRareBadPartIsBlamedBesideFrequentOne(t *testing.T) {
	tr := newTracker()
	now := crashes(tr, startTime, "rare", "bad", "bad", "bad", "bad", "rare", "bad", "bad", "bad", "bad", "rare", "bad")
	proveSound(tr, now)
	for _, p := range []string{"rare", "bad"} {
		if decide(tr, now, p) != poison.Refused {
			t.Errorf("requests with the part %s are not refused", p)
		}
	}
	if decide(tr, now, "sound") != poison.Allowed {
		t.Error("requests with the sound part are refused")
	}
}

// Guards against probes that follow each other although each may have crashed its target: nothing
// was heard of them.
func TestProbesOfUnknownEndBecomeRarer(t *testing.T) {
	tr, now := newTracker(), startTime
	r := poison.NewRequest(service, []string{"bad", "own"})
	for i := range 3 {
		now = now.Add(time.Second)
		tr.Observe(now, poison.Observation{Crash: uint64(i), Request: r, SentAt: now.Add(-time.Second / 2), BrokenAt: now})
		for range 4 {
			tr.Proven(now.Add(time.Second/2), poison.NewRequest(service, []string{"sound", "own"}), now.Add(time.Millisecond))
		}
	}
	probes := 0
	always := func(uint64, time.Duration) bool { return true }
	for end := now.Add(20 * time.Minute); now.Before(end); now = now.Add(100 * time.Millisecond) {
		if d, _ := tr.Check(now, r, always); d == poison.Probe {
			probes++
		}
	}
	if probes == 0 || probes > 3 {
		t.Errorf("%d probes in 20 min, want 1 to 3: after 2, 4 and 8 min", probes)
	}
}
