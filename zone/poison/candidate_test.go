package poison_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mimosastand.example/mimosastand/zone/poison"
)

// Guards against a group that names a part twice, so that it is not the one that other entries
// mean: candidates with the same crashes were joined again in each round.
func TestGroupNamesEachPartOnce(t *testing.T) {
	for seed := range 20 {
		tr, now := newTracker(), startTime
		name := func(s string) string { return fmt.Sprint(s, "-", seed) }
		for range 5 {
			now = crashSequence(tr, now, name("frequent"))
		}
		for range 3 {
			r := poison.NewRequest(service, []string{name("a"), name("b"), "own"})
			tr.Observe(now, poison.Observation{Crash: uint64(now.UnixNano()), Request: r, SentAt: now.Add(-400 * time.Millisecond), BrokenAt: now})
			now = now.Add(time.Second)
		}
		proveSound(tr, now)
		_, verdicts := tr.Reports(now)
		for _, v := range verdicts {
			if unique := slices.Compact(slices.Clone(v.Parts)); len(unique) != len(v.Parts) {
				t.Fatalf("seed %d: a verdict names parts %x, want each once", seed, v.Parts)
			}
		}
	}
}

// repeatedCrashes has one request crash an engine each time, one every second.
func repeatedCrashes(tr *poison.Tracker, now time.Time, r poison.Request, n int) time.Time {
	for range n {
		tr.Observe(now, poison.Observation{Crash: uint64(now.UnixNano()), Request: r, SentAt: now.Add(-400 * time.Millisecond), BrokenAt: now})
		now = now.Add(time.Second)
	}
	return now
}

// A request that crashed two targets is held back until what was observed of it no longer counts.
func TestHeldRequestIsForgottenWithItsCrashes(t *testing.T) {
	tr := newTracker()
	r := newRequest("/bad")
	never := func(uint64, time.Duration) bool { return false }
	now := repeatedCrashes(tr, startTime, r, 2)
	if d, after := tr.Check(now, r, never); d != poison.Refused || after < 20*time.Second || !tr.ShouldGiveUp(r) || tr.MayRetry(r) {
		t.Errorf("Check() = %d, retry after %v; ShouldGiveUp() = %v, MayRetry() = %v; want refused, for long, true and false",
			d, after, tr.ShouldGiveUp(r), tr.MayRetry(r))
	}
	now = now.Add(15 * time.Minute)
	tr.Reports(now)
	if d, _ := tr.Check(now, r, never); d != poison.Allowed || tr.ShouldGiveUp(r) || !tr.MayRetry(r) {
		t.Errorf("15 min later Check() = %d, ShouldGiveUp() = %v, MayRetry() = %v; want allowed, false and true", d, tr.ShouldGiveUp(r), tr.MayRetry(r))
	}
}

// A request that is held back is sent by the entry whose turn it is, once, and is then a probe that
// is not given up by the entry.
func TestHeldRequestIsSentInTurn(t *testing.T) {
	tr := newTracker()
	r := newRequest("/bad")
	now := repeatedCrashes(tr, startTime, r, 2)
	always := func(uint64, time.Duration) bool { return true }
	if d, _ := tr.Check(now, r, always); d != poison.Probe {
		t.Errorf("Check() = %d in turn, want a probe", d)
	}
	if d, _ := tr.Check(now.Add(100*time.Millisecond), r, always); d != poison.Refused {
		t.Errorf("Check() = %d right after a probe, want refused", d)
	}
}

// isBlamed reports whether a request is refused for as long as one that is blamed.
func isBlamed(tr *poison.Tracker, now time.Time, r poison.Request) bool {
	tr.Reports(now)
	d, after := tr.Check(now, r, func(uint64, time.Duration) bool { return false })
	return d == poison.Refused && after > time.Minute
}

// Guards against a request that is refused since the same crashes cut it off as the one that causes
// them. The next crash tells the two apart.
func TestRequestCutOffByTheSameCrashesIsNotBlamed(t *testing.T) {
	for seed := range 10 {
		tr, now := newTracker(), startTime
		bad, sound := newRequest(fmt.Sprint("/bad-", seed)), newRequest(fmt.Sprint("/sound-", seed))
		crash := func(requests ...poison.Request) {
			for _, r := range requests {
				tr.Observe(now, poison.Observation{Crash: uint64(now.UnixNano()), Request: r, SentAt: now.Add(-400 * time.Millisecond), BrokenAt: now})
			}
			now = now.Add(time.Second)
			proveSound(tr, now)
		}
		for range 3 {
			crash(bad, sound)
		}
		if isBlamed(tr, now, bad) || isBlamed(tr, now, sound) {
			t.Errorf("seed %d: one of two requests is blamed that were at the same crashes", seed)
		}
		crash(bad)
		if !isBlamed(tr, now, bad) || isBlamed(tr, now, sound) {
			t.Errorf("seed %d: blamed = %v, the sound one = %v; want true and false", seed, isBlamed(tr, now, bad), isBlamed(tr, now, sound))
		}
		if d, _ := tr.Check(now, sound, func(uint64, time.Duration) bool { return false }); d != poison.Allowed {
			t.Errorf("seed %d: the sound request is refused", seed)
		}
	}
}

// Guards against a request that crashes all targets of a service and is sent on since no other is
// served meanwhile. If others are at crashes, too, the targets may crash whatever they get.
func TestRequestThatCrashesAllTargetsIsBlamed(t *testing.T) {
	bad, other := newRequest("/bad"), newRequest("/other")
	tr := newTracker()
	if now := repeatedCrashes(tr, startTime, bad, 3); !isBlamed(tr, now, bad) {
		t.Error("a request that was at each crash is not blamed")
	}
	tr = newTracker()
	now := repeatedCrashes(tr, startTime, bad, 2)
	now = repeatedCrashes(tr, now, other, 1)
	if now = repeatedCrashes(tr, now, bad, 1); isBlamed(tr, now, bad) {
		t.Error("a request is blamed although nothing was served and targets crashed without it")
	}
}

// Guards against the refusal of sound requests that differ from the bad ones in their prompts only, which the
// identity of a request as a whole leaves out (soak, seed 9103).
func TestSoundRequestsWithPathAndBodyOfBadOnesAreNotBlamed(t *testing.T) {
	tr, now := newTracker(), startTime
	bad, sound := newRequest("/chat", "first", "bad", "own"), newRequest("/chat", "first", "sound", "own")
	for range 30 {
		tr.Proven(now, sound, now.Add(-600*time.Millisecond))
		now = now.Add(100 * time.Millisecond)
	}
	for range 4 {
		for _, r := range []poison.Request{sound, bad, sound} {
			tr.Observe(now, poison.Observation{Crash: uint64(now.UnixNano()), Request: r, SentAt: now.Add(-50 * time.Millisecond), BrokenAt: now})
		}
		now = now.Add(250 * time.Millisecond)
	}
	now = now.Add(2 * time.Second)
	if isBlamed(tr, now, sound) {
		t.Error("sound requests are blamed for the crashes of bad ones with the same path and body")
	}
	if !isBlamed(tr, now, bad) {
		t.Error("bad requests are not blamed")
	}
}
