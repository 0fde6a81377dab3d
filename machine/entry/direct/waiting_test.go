package direct

import (
	"cmp"
	"context"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/contention"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

// newRankedState returns the state of one of two entries that share an engine with eight slots, whose
// service has two ranks.
func newRankedState() *fleetState {
	fs := newStartedState(time.Hour, 3)
	fs.process.Machine = "entry-1"
	fs.applyOperatorRecords(feed.Update{Records: []contract.Record{{Offset: 9, Key: platform.KeyManifest, Value: []byte(
		`{"version":2,"services":[{"name":"models","engine":{"slots":8,"step_ms":8,"read_per_s":30000,"stride":7,"usual":{"prompt":900,"answer":120},"layers":4,"chunks":4,"models":[{"name":"daka"}]}}],
		"routes":[{"name":"r0","kind":"streaming","service":"models"},{"name":"r1","kind":"streaming","service":"models","priority":1}]}`)}}})
	fs.applyTargetRecords(feed.Update{Records: []contract.Record{listingWith(`[{"name":"daka","version":3}]`, `{"from":0,"to":4,"version":3}`)}})
	entries := []contract.MachineID{"entry-1", "entry-2"}
	fs.setEntries(entries)
	fs.setRunningEntries(entries)
	return fs
}

func newTestWaiter(rank int, wait time.Duration) *waiter {
	now := time.Now()
	return &waiter{
		service: testService, due: now.Add(time.Second), deadline: now.Add(6 * time.Second), done: make(chan waitResult, 1),
		request: contention.Request{Rank: rank, StartBy: now.Add(wait)},
	}
}

// Guards against requests that wait although a slot of their entry has become free, or that start before
// more urgent ones; and against a request that is placed after its caller has gone, which would hold a
// slot that nothing frees.
func TestEndOfAttemptStartsMostUrgentRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fs := newRankedState()
		for i := range 4 {
			if result, waits := fs.enter(newTestWaiter(1, time.Second)); waits || result.kind != "" {
				t.Fatalf("request %d of 4 on own slots: waits = %v, refused %q, want neither", i, waits, result.kind)
			}
		}
		low, high, gone := newTestWaiter(1, time.Second), newTestWaiter(0, time.Second), newTestWaiter(0, time.Second)
		for _, w := range []*waiter{low, high, gone} {
			if result, waits := fs.enter(w); !waits {
				t.Fatalf("a request without a free slot does not wait: %+v", result)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if result := fs.await(ctx, gone); result.kind != refusedEnded {
			t.Errorf("await() = %+v for a caller that has gone, want %q", result, refusedEnded)
		}
		fs.recordAttemptEnd(testService, "x")
		if result := fs.await(t.Context(), high); result.kind != "" || result.choice.ID != "x" {
			t.Errorf("await() = %+v when an attempt has ended, want its target", result)
		}
		if result := fs.await(t.Context(), low); result.kind != refusedExpired {
			t.Errorf("await() = %+v for the less urgent request, want %q", result, refusedExpired)
		}
		if inFlight := fs.pools[testService].InFlight()[roster.TargetID("x")]; inFlight != 4 {
			t.Errorf("%d attempts in flight, want 4", inFlight)
		}
		low.request.Rank = 1
		if after := fs.rankedRetryAfter(low, placement.Full); after <= 0 || after > 2*time.Second {
			t.Errorf("rankedRetryAfter() = %v, want at most 2 s", after)
		}
	})
}

// Guards services with one priority: their targets get requests by load alone, without slot shares.
func TestServiceWithoutRanksHasNoQueue(t *testing.T) {
	fs := newRankedState()
	if !hasQueue(fs.manifest, testService) {
		t.Error("hasQueue() = false for a service with two priorities, want true")
	}
	fs = newStartedState(time.Hour, 3)
	if hasQueue(fs.manifest, testService) {
		t.Error("hasQueue() = true for a service without priorities, want false")
	}
}

// Guards against callers that were refused before waiting in front of those that can be in time, and
// against first calls, and returns that can still be in time, that count as late.
func TestReturningCallersCountAsLateOnceTheyMissedTheObjective(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &catalog.Route{Name: "r", Timeout: 6 * time.Second, Objective: 800 * time.Millisecond}
		for _, c := range []struct {
			timeout   time.Duration
			late      bool
			startByMS int64
		}{
			{0, false, 700}, {6 * time.Second, false, 700}, {5950 * time.Millisecond, false, 700},
			{5700 * time.Millisecond, false, 400}, {4 * time.Second, true, 1000},
		} {
			caller := &call{entry: &Entry{fleet: newRankedState()}, route: route, service: testService, arrived: time.Now(), isRanked: true, rank: 12}
			caller.info.Timeout = c.timeout
			caller.deadline = caller.arrived.Add(cmp.Or(c.timeout, route.Timeout))
			w := caller.newWaiter()
			startBy := w.request.StartBy.Sub(caller.arrived).Milliseconds()
			if w.request.Late != c.late || startBy > c.startByMS || startBy < c.startByMS-100 {
				t.Errorf("time left %v: late = %v, starts within %d ms, want %v and up to 100 ms less than %d", c.timeout, w.request.Late, startBy, c.late, c.startByMS)
			}
			if got := caller.targetPriority(); got != 9 {
				t.Errorf("targetPriority() = %d for rank 12, want the greatest that targets know, 9", got)
			}
		}
	})
}
