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

// Guards against growth with what callers send.
func TestMemoryIsBoundedWithManyParts(t *testing.T) {
	const (
		parts        = 1_000_000
		perRequest   = 50
		maxMemory    = 8 << 20
		maxHeartbeat = 8 << 10
	)
	tr, now := newTracker(), startTime
	largest := 0
	before := heapInUse()
	for i := range parts / perRequest {
		now = now.Add(time.Millisecond)
		var ids []string
		for n := range perRequest {
			ids = append(ids, fmt.Sprint(n, "-", i))
		}
		r := poison.NewRequest(service, append(ids, "own"))
		tr.Proven(now, poison.NewRequest(service, []string{fmt.Sprint("e", i), "own"}), now.Add(-time.Second/2))
		tr.Observe(now, poison.Observation{Crash: uint64(i), Request: r, SentAt: now.Add(-time.Second / 2), BrokenAt: now})
		if i%100 != 0 {
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
	t.Logf("%d parts: %d bytes of memory, largest heartbeat %d bytes", parts, grown, largest)
	if grown > maxMemory || largest > maxHeartbeat {
		t.Errorf("want at most %d bytes of memory and %d of a heartbeat", maxMemory, maxHeartbeat)
	}
}

func heapInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
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
