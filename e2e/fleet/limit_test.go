package fleet

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	entrydirect "mimosastand.example/mimosastand/machine/entry/direct"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// limitNotice is how long entries may take to follow a limit that a target names, and
	// limitWindow the time over which its requests are counted, as the platform does.
	limitNotice = 3 * time.Second
	limitWindow = 4 * time.Second
)

// allowedRequests returns how many requests a target may get within limitWindow if it limits
// all entries together to so many a second.
func allowedRequests(perSecond float64) int {
	return int(1.5*perSecond*limitWindow.Seconds()) + 5
}

// mostInWindow returns the greatest number of requests that arrived at a target within
// limitWindow, from a time on.
func mostInWindow(arrivals []standins.Arrival, from time.Time) int {
	most, first := 0, 0
	for i, a := range arrivals {
		for arrivals[first].At.Before(from) && first < i || a.At.Sub(arrivals[first].At) > limitWindow {
			first++
		}
		if !a.At.Before(from) {
			most = max(most, i-first+1)
		}
	}
	return most
}

// Guards against overrunning a target in need (LIMIT, incident inc1-limit): no entry read the
// limit that the target named in its answers, so it got as much as the targets beside it.
func TestEntriesTogetherKeepLimitOfTarget(t *testing.T) {
	t.Parallel()
	const perSecond, interval = 2.0, 15 * time.Millisecond
	r := newRig(t)
	var entries []*entrydirect.Entry
	for i := range 3 {
		e, _ := r.startEntry(fmt.Sprintf("entry-%d", i+1), r.store.Address())
		entries = append(entries, e)
	}
	limited := r.plain[0]
	limited.SetRateLimit(fmt.Sprint(perSecond))
	start := time.Now()
	var calls sync.WaitGroup
	for n := 0; time.Since(start) < limitNotice+2*limitWindow; n++ {
		calls.Go(func() {
			if got := r.call(entries[n%len(entries)], http.MethodGet, "/look/x", "", nil); got.status != http.StatusOK {
				t.Errorf("look = %+v, want status 200 from the target without a limit", got)
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
	arrivals := limited.Arrivals()
	if got, want := mostInWindow(arrivals, start.Add(limitNotice)), allowedRequests(perSecond); got > want || got == 0 {
		t.Errorf("a target that named %v requests a second got %d in %v, want 1 to %d", perSecond, got, limitWindow, want)
	}
}
