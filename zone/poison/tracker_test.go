package poison_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/poison"
)

func newTracker() *poison.Tracker { return poison.NewTracker(rand.New(rand.NewPCG(1, 2))) }

// checkBounded has a tracker learn of many things, one every millisecond, and fails the test if it
// needs more than maxMemory bytes or a heartbeat more than maxHeartbeat.
func checkBounded(t *testing.T, what string, steps int, learn func(tr *poison.Tracker, now time.Time, i int)) {
	t.Helper()
	const (
		maxMemory    = 8 << 20
		maxHeartbeat = 8 << 10
		reports      = 200
	)
	tr, now := newTracker(), startTime
	largest := 0
	before := heapInUse()
	for i := range steps {
		now = now.Add(time.Millisecond)
		learn(tr, now, i)
		if i%(steps/reports) != 0 {
			continue
		}
		observations, verdicts := tr.Reports(now)
		b, err := cbor.Marshal(contract.Heartbeat{PoisonObservations: observations, PoisonVerdicts: verdicts})
		if err != nil {
			t.Fatal(err)
		}
		largest = max(largest, len(b))
	}
	grown := int64(heapInUse()) - int64(before)
	runtime.KeepAlive(tr)
	t.Logf("a million %s: %d bytes of memory, largest heartbeat %d bytes", what, grown, largest)
	if grown > maxMemory || largest > maxHeartbeat {
		t.Errorf("want at most %d bytes of memory and %d of a heartbeat", maxMemory, maxHeartbeat)
	}
}

// Guards against growth with the parts of prompts that callers send.
func TestMemoryIsBoundedWithManyParts(t *testing.T) {
	const perRequest = 50
	checkBounded(t, "parts", 1_000_000/perRequest, func(tr *poison.Tracker, now time.Time, i int) {
		var ids []string
		for n := range perRequest {
			ids = append(ids, fmt.Sprint(n, "-", i))
		}
		proven := newRequest(fmt.Sprint("/sound/", i), fmt.Sprint("e", i), "own")
		tr.Proven(now, proven, now.Add(-time.Second/2))
		r := newRequest(fmt.Sprint("/bad/", i), append(ids, "own")...)
		tr.Observe(now, poison.Observation{Crash: uint64(i), Request: r, SentAt: now.Add(-time.Second / 2), BrokenAt: now})
	})
}

// Guards against growth with the number of different requests, sound ones and those that crash
// engines.
func TestMemoryIsBoundedWithManyRequests(t *testing.T) {
	const soundPerCrash = 50
	checkBounded(t, "requests", 1_000_000, func(tr *poison.Tracker, now time.Time, i int) {
		r := newRequest(fmt.Sprint("/", i))
		if i%soundPerCrash != 0 {
			tr.Proven(now, r, now.Add(-time.Millisecond))
			return
		}
		tr.Observe(now, poison.Observation{Crash: uint64(i), Request: r, SentAt: now.Add(-time.Second / 2), BrokenAt: now})
	})
}

// newRequest returns the request with a path whose prompt has the parts.
func newRequest(path string, ids ...string) poison.Request {
	r := poison.NewRequest(service, ids)
	r.Whole = poison.WholeOf(service, poison.Identity{URI: path})
	return r
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Guards against two requests that are taken for the same one, or repeats that are not.
func TestWholeTellsRequestsApart(t *testing.T) {
	base := poison.Identity{Method: "GET", Host: "h", URI: "/a", Caller: "team", Body: []byte("b")}
	others := map[string]poison.Identity{
		"method": {Method: "POST", Host: "h", URI: "/a", Caller: "team", Body: []byte("b")},
		"host":   {Method: "GET", Host: "g", URI: "/a", Caller: "team", Body: []byte("b")},
		"path":   {Method: "GET", Host: "h", URI: "/c", Caller: "team", Body: []byte("b")},
		"caller": {Method: "GET", Host: "h", URI: "/a", Caller: "other", Body: []byte("b")},
		"body":   {Method: "GET", Host: "h", URI: "/a", Caller: "team", Body: []byte("c")},
		"bounds": {Method: "GET", Host: "h", URI: "/ateam", Caller: "", Body: []byte("b")},
	}
	whole := poison.WholeOf(service, base)
	if again := base; poison.WholeOf(service, again) != whole {
		t.Error("the same request has another value")
	}
	for name, other := range others {
		if poison.WholeOf(service, other) == whole {
			t.Errorf("a request with another %s has the same value", name)
		}
	}
	if poison.WholeOf("other", base) == whole {
		t.Error("a request to another service has the same value")
	}
}

// Guards against retries that carry a crash on to another engine.
func TestRetryOnlyOfProvenParts(t *testing.T) {
	tr := newTracker()
	known, unknown := poison.NewRequest(service, []string{"a", "own"}), poison.NewRequest(service, []string{"a", "b", "own"})
	if !tr.MayRetry(poison.Request{}) {
		t.Error("a request without parts may not be sent again")
	}
	if tr.MayRetry(known) {
		t.Error("a request with a part that was never proven may be sent again")
	}
	tr.Proven(startTime, known, startTime.Add(-time.Second))
	if !tr.MayRetry(known) || tr.MayRetry(unknown) {
		t.Error("want a request to be sent again if all its parts were proven, and only then")
	}
}
