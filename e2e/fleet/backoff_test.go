package fleet

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	entrydirect "mimosastand.example/mimosastand/machine/entry/direct"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// backoffTime is for how long a target that turns requests away wants none, backoffNotice how
	// long an entry may take to follow, and maxDuringBackoff how many may reach it after that:
	// the platform's rule.
	backoffTime      = 3 * time.Second
	backoffNotice    = 500 * time.Millisecond
	maxDuringBackoff = 2
)

// sendLooks sends plain reads to an entry, one each interval, and returns the answers that are
// no success.
func (r *rig) sendLooks(e *entrydirect.Entry, duration, interval time.Duration) (failed []result) {
	for start := time.Now(); time.Since(start) < duration; time.Sleep(interval) {
		got := r.call(e, http.MethodGet, fmt.Sprintf("%s%d", standins.LookPath, r.requestCount.Load()), "", nil)
		if got.status != http.StatusOK || got.err != nil {
			failed = append(failed, got)
		}
	}
	return failed
}

// arrivalsBetween counts the requests that reached an engine between two times.
func arrivalsBetween(e *standins.Engine, from, to time.Time) int {
	arrivals := standins.ArrivalsSince(e.Arrivals(), from)
	return len(arrivals) - len(standins.ArrivalsSince(arrivals, to))
}

// Guards against requests to a target that has turned some away and named a time until which it
// wants none (BUDGET, incident second1): nothing read it, and the target was chosen again after
// 120 ms.
func TestTargetThatBacksOffGetsNoRequests(t *testing.T) {
	r := newRig(t)
	e := r.startEntryWithRetryBurst("entry-1", r.store.Address())
	r.sendLooks(e, 300*time.Millisecond, 10*time.Millisecond)
	target := r.plain[0]
	target.TurnAway(strconv.FormatFloat(backoffTime.Seconds(), 'f', -1, 64), 200*time.Millisecond)
	r.eventually("request turned away", func() bool {
		r.sendLooks(e, 20*time.Millisecond, 10*time.Millisecond)
		return len(target.Refusals()) > 0
	})
	refusedAt := target.Refusals()[0].At
	if failed := r.sendLooks(e, backoffTime, 10*time.Millisecond); len(failed) > 0 {
		t.Errorf("%d requests failed although another target has room, the first with status %d", len(failed), failed[0].status)
	}
	if n := arrivalsBetween(target, refusedAt.Add(backoffNotice), refusedAt.Add(backoffTime)); n > maxDuringBackoff {
		t.Errorf("%d requests reached the target that wanted none for %v, want at most %d", n, backoffTime, maxDuringBackoff)
	}
	r.sendLooks(e, time.Second, 10*time.Millisecond)
	until := time.Now()
	own := arrivalsBetween(target, refusedAt.Add(backoffTime), until)
	all := own + arrivalsBetween(r.plain[1], refusedAt.Add(backoffTime), until)
	if own == 0 || own*4 < all {
		t.Errorf("%d of %d requests reached the target in the second after it wanted none, want a quarter: it is not ill", own, all)
	}
}

// Guards against requests that wait, or are told to come back too early, while no target wants one.
func TestCallerIsToldWhenTargetsBackOff(t *testing.T) {
	r := newRig(t)
	e := r.startEntryWithRetryBurst("entry-1", r.store.Address())
	for _, target := range r.plain {
		target.TurnAway("3", 200*time.Millisecond)
	}
	r.eventually("requests turned away", func() bool {
		r.sendLooks(e, 20*time.Millisecond, 10*time.Millisecond)
		return len(r.plain[0].Refusals()) > 0 && len(r.plain[1].Refusals()) > 0
	})
	time.Sleep(backoffNotice)
	sentAt := time.Now()
	got := r.call(e, http.MethodGet, standins.LookPath+"x", "", nil)
	retryAfter, err := strconv.ParseFloat(got.retryAfter, 64)
	if got.status != http.StatusServiceUnavailable || err != nil || retryAfter < 1.5 || retryAfter > 4 {
		t.Errorf("status %d, Retry-After %q; want 503 and 1.5 to 4 s", got.status, got.retryAfter)
	}
	if took := time.Since(sentAt); took > 200*time.Millisecond {
		t.Errorf("the refusal took %v, want one at once", took)
	}
}
