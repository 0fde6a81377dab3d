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
	for n := 0; time.Since(start) < standins.LimitNotice+2*standins.LimitWindow; n++ {
		calls.Go(func() {
			if got := r.call(entries[n%len(entries)], http.MethodGet, "/look/x", "", nil); got.status != http.StatusOK {
				t.Errorf("look = %+v, want status 200 from the target without a limit", got)
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
	got := standins.MostArrivals(standins.ArrivalsSince(limited.Arrivals(), start.Add(standins.LimitNotice)))
	if want := standins.AllowedArrivals(perSecond); got > want || got == 0 {
		t.Errorf("a target that named %v requests a second got %d in %v, want 1 to %d", perSecond, got, standins.LimitWindow, want)
	}
}
