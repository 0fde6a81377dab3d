package fleet

import (
	"net/http"
	"strings"
	"testing"
	"time"

	standins "mimosastand.example/mimosastand/standin/fleet"
)

// TestEntryRoutesRequests checks the answers of a fleet without faults: requests are routed by
// their path, and requests with an unknown path, a wrong key or a body over the limit are refused
// without running.
func TestEntryRoutesRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.startEntry("entry-1", r.store.Address())
	chat := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if chat.status != http.StatusOK || !isCompleteStream(chat.body, 8) || !strings.HasPrefix(chat.stamp, "stamp-i-m0") {
		t.Errorf("chat = %+v, want status 200 and a complete stream of 8 events with the stamp of i-m0", chat)
	}
	pay := r.call(e, http.MethodPost, "/pay/x?y=%20z", "amount", nil)
	if pay.status != http.StatusOK || pay.body != "POST /pay/x?y=%20z amount tenant=team-1" || pay.stamp == "" {
		t.Errorf("pay = %+v, want status 200, the request's path and body, tenant team-1 and a stamp", pay)
	}
	for _, c := range []struct {
		path, body, key string
		want            int
	}{
		{"/other/", "", apiKey, http.StatusNotFound},
		{"/pay/x", "", "wrong", http.StatusUnauthorized},
		{"/pay/x", strings.Repeat("x", 1001), apiKey, http.StatusRequestEntityTooLarge},
	} {
		got := r.call(e, http.MethodPost, c.path, c.body, func(h http.Header) { h.Set("Authorization", "Bearer "+c.key) })
		if got.status != c.want || got.stamp != "" || r.runCount(got.id) != 0 {
			t.Errorf("%s with key %s = %+v, want the status of the case, no stamp and no run", c.path, c.key, got)
		}
	}
}

// TestStreamContinuesAtAnotherEngine checks that, when an engine breaks off in the middle of an
// event, another one continues after the last complete event, and the caller gets each event once.
func TestStreamContinuesAtAnotherEngine(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	second := &standins.Engine{ID: "i-m9", Service: "models", Zone: "a", Model: "daka", Slots: 8, EventCount: 8, EventInterval: 10 * time.Millisecond}
	if err := second.Start(r.store, 1); err != nil {
		t.Fatal(err)
	}
	r.engines = append(r.engines, second)
	e := r.startEntryWithRetryBurst("entry-1", r.store.Address())
	for _, engine := range r.engines {
		engine.CutNextStreamAfter(3)
	}
	got := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if got.status != http.StatusOK || got.err != nil || !isCompleteStream(got.body, 8) {
		// All engines may have broken off. Then the answer must not look complete.
		if got.err == nil {
			t.Fatalf("incomplete stream without error: %+v, want an error or events 1 to 8", got)
		}
	}
	got = r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if !isCompleteStream(got.body, 8) {
		t.Errorf("stream after the broken ones = %+v, want events 1 to 8", got)
	}
}

// TestNonIdempotentCallIsNotRepeatedAfterLostAnswer checks that a call that may run only once is
// not sent again when its answer is lost, and that the entry's answer has no stamp of a target. An
// idempotent call is sent again.
func TestNonIdempotentCallIsNotRepeatedAfterLostAnswer(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e := r.startEntryWithRetryBurst("entry-1", r.store.Address())
	for _, p := range r.plain {
		p.SetLosesAnswers(true)
	}
	pay := r.call(e, http.MethodPost, "/pay/x", "amount", nil)
	if pay.status != http.StatusBadGateway || r.runCount(pay.id) != 1 || pay.stamp != "" {
		t.Errorf("pay = %+v with %d runs, want status 502 without stamp and 1 run", pay, r.runCount(pay.id))
	}
	look := r.call(e, http.MethodGet, "/look/x", "", nil)
	if look.status != http.StatusBadGateway || r.runCount(look.id) != 2 {
		t.Errorf("look = %+v with %d runs, want status 502 and 2 runs", look, r.runCount(look.id))
	}
	r.plain[0].SetLosesAnswers(false)
	look = r.call(e, http.MethodGet, "/look/x", "", nil)
	if look.status != http.StatusOK {
		t.Errorf("look with one good target = %+v, want status 200", look)
	}
}

// TestUnresponsiveTargets checks that an idempotent call goes to another target when one does not
// answer, and that a call that may run only once ends with a gateway error or timeout when no
// target answers.
func TestUnresponsiveTargets(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e := r.startEntryWithRetryBurst("entry-1", r.store.Address())
	r.plain[0].SetUnresponsive(true)
	for range 4 {
		if look := r.call(e, http.MethodGet, "/look/x", "", nil); look.status != http.StatusOK {
			t.Errorf("look with one unresponsive target = %+v, want status 200", look)
		}
	}
	r.plain[1].SetUnresponsive(true)
	start := time.Now()
	pay := r.call(e, http.MethodPost, "/pay/x", "amount", func(h http.Header) { h.Set("Deadline-Ms", "400") })
	if pay.status != http.StatusGatewayTimeout && pay.status != http.StatusBadGateway {
		t.Errorf("pay without responsive targets = %+v after %v, want status 504 or 502", pay, time.Since(start))
	}
}

// TestFullServiceRefusesWithoutRunning checks that a service whose slots are all taken refuses
// requests with a retry-after time, and that the refused requests have not run.
func TestFullServiceRefusesWithoutRunning(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.engines[0].EventInterval = 200 * time.Millisecond
	e, _ := r.startEntry("entry-1", r.store.Address())
	results := make(chan result, 40)
	for range cap(results) {
		go func() { results <- r.call(e, http.MethodPost, "/chat/x", "prompt", nil) }()
	}
	refused := 0
	for range cap(results) {
		got := <-results
		switch got.status {
		case http.StatusOK:
		case http.StatusServiceUnavailable:
			refused++
			if r.runCount(got.id) != 0 || got.retryAfter == "" {
				t.Errorf("refusal = %+v with %d runs, want a retry-after time and no run", got, r.runCount(got.id))
			}
		default:
			t.Errorf("status = %d, want 200 or 503", got.status)
		}
	}
	if refused == 0 {
		t.Error("none of 40 requests refused with 8 slots, want at least one")
	}
}

// TestEnginesLoadOnlyVerifiedWeights checks that an engine without weights gets them, that both
// engines get each announced version, and that no unverified piece is loaded, although every fifth
// piece of the origin and the staged pieces of one engine are corrupt. The origin sends at most
// two copies of each version.
func TestEnginesLoadOnlyVerifiedWeights(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.origin.CorruptEvery(5)
	r.startEntry("entry-1", r.store.Address())
	r.startEntry("entry-2", r.store.Address())
	r.startTarget("target-1", r.engines[0])
	r.startTarget("target-2", r.engines[1])
	r.eventually("the empty engine has version 1", func() bool { return r.engines[1].Version() == 1 })
	r.store.AnnounceVersion(2)
	r.eventually("both engines have version 2", func() bool {
		return r.engines[0].Version() == 2 && r.engines[1].Version() == 2
	})
	r.engines[0].CorruptStagedPieces()
	r.store.AnnounceVersion(3)
	r.eventually("both engines have version 3", func() bool {
		return r.engines[0].Version() == 3 && r.engines[1].Version() == 3
	})
	for _, engine := range r.engines {
		if corrupt := engine.LoadedCorruptPieces(); len(corrupt) > 0 {
			t.Errorf("%s loaded unverified pieces %v, want none", engine.ID, corrupt)
		}
	}
	if served, limit := r.origin.PiecesServed(), 3*pieceCount*2; served > limit {
		t.Errorf("the origin sent %d pieces, want at most %d", served, limit)
	}
}

// TestLeavingTargetAndEvacuatedZoneGetNoRequests checks that a target that reports that it leaves
// gets no new requests, and neither do the targets of an evacuated zone until its evacuation ends.
func TestLeavingTargetAndEvacuatedZoneGetNoRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.startEntry("entry-1", r.store.Address())
	r.plain[0].Publish("draining")
	time.Sleep(1500 * time.Millisecond)
	runsBefore := r.plain[0].TotalRuns()
	for range 10 {
		if got := r.call(e, http.MethodPost, "/pay/x", "amount", nil); got.status != http.StatusOK {
			t.Errorf("pay with one leaving target = %+v, want status 200", got)
		}
	}
	if got := r.plain[0].TotalRuns(); got != runsBefore {
		t.Errorf("the leaving target ran %d requests, want none", got-runsBefore)
	}
	r.store.Evacuate("a", true)
	r.eventually("no request goes to the evacuated zone", func() bool {
		return r.call(e, http.MethodPost, "/pay/x", "amount", nil).status == http.StatusServiceUnavailable
	})
	r.store.Evacuate("a", false)
	r.eventually("requests go to the zone again", func() bool {
		return r.call(e, http.MethodPost, "/pay/x", "amount", nil).status == http.StatusOK
	})
}

// TestRevokedKeyReachesEntryWithoutStore checks that an entry that the store refuses gets the
// revocation of a key from a peer, and does not return to the older manifest when the store serves
// it again.
func TestRevokedKeyReachesEntryWithoutStore(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	accessPoint := r.store.NewAccessPoint()
	t.Cleanup(accessPoint.Close)
	r.startEntry("entry-1", r.store.Address())
	isolated, _ := r.startEntry("entry-2", accessPoint.Address())
	r.startTarget("target-1", r.engines[0])
	// The entries are linked once each has read the other's record.
	time.Sleep(2 * time.Second)
	accessPoint.SetDown(true)
	r.apiKeys = []string{"key-2"}
	r.writeManifest()
	r.eventually("the key is refused", func() bool {
		return r.call(isolated, http.MethodGet, "/look/x", "", nil).status == http.StatusUnauthorized
	})
	accessPoint.SetDown(false)
	for range 20 {
		if got := r.call(isolated, http.MethodGet, "/look/x", "", nil); got.status != http.StatusUnauthorized {
			t.Errorf("call with the revoked key = %+v after the store returned, want status 401", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestEntryReadsNewestManifestAfterHistoryIsDropped checks that an entry gets the newest manifest
// although the store dropped the history between the last offset that the entry read and that
// manifest.
func TestEntryReadsNewestManifestAfterHistoryIsDropped(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.startEntry("entry-1", r.store.Address())
	r.apiKeys = []string{"key-2"}
	r.store.SetDown(true)
	r.writeManifest()
	r.store.DropHistory()
	r.store.SetDown(false)
	r.eventuallyStatus(e, "the newest manifest is in force", http.StatusUnauthorized)
}

// TestStopFinishesRequests checks that an entry that is stopped completes the running requests,
// reports that it is not ready, and still serves requests that arrive afterwards.
func TestStopFinishesRequests(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.engines[0].EventInterval = 150 * time.Millisecond
	e, stop := r.startEntry("entry-1", r.store.Address())
	results := make(chan result, 2)
	go func() { results <- r.call(e, http.MethodPost, "/chat/x", "prompt", nil) }()
	r.eventually("the stream runs", func() bool { return r.engines[0].TotalRuns() == 1 })
	stop()
	r.eventually("not ready", func() bool {
		resp, err := http.Get("http://" + e.ReadyAddress())
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	go func() { results <- r.call(e, http.MethodPost, "/pay/x", "amount", nil) }()
	for range 2 {
		if got := <-results; got.status != http.StatusOK || got.err != nil {
			t.Errorf("request during the stop = %+v, want status 200 and no error", got)
		}
	}
}

// TestCutStreamEndsBeforeDeadline checks that, when a stream breaks off and no other engine has its
// weights, the answer is cut within the time that its caller would wait for the next event, and
// not only at the request's deadline of 60 s. The test allows 20 s.
func TestCutStreamEndsBeforeDeadline(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.startEntry("entry-1", r.store.Address())
	r.engines[0].CutNextStreamAfter(2)
	start := time.Now()
	got := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if got.err == nil {
		t.Errorf("cut stream = %+v, want an error", got)
	}
	if elapsed := time.Since(start); elapsed > eventuallyTimeout {
		t.Errorf("cut stream ended after %v of 60 s, want at most 20 s", elapsed)
	}
}

// TestDelayedStoreWrites checks that processes that start while the store applies writes late and
// loses the answers to them find each other, and that an announced version reaches the engines
// without an unverified piece.
func TestDelayedStoreWrites(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.store.SetWriteDelay(time.Second)
	r.startEntry("entry-1", r.store.Address())
	r.startEntry("entry-2", r.store.Address())
	r.startTarget("target-1", r.engines[0])
	r.startTarget("target-2", r.engines[1])
	r.store.AnnounceVersion(2)
	r.eventually("both engines have version 2", func() bool {
		return r.engines[0].Version() == 2 && r.engines[1].Version() == 2
	})
	r.store.SetWriteDelay(0)
	for _, engine := range r.engines {
		if corrupt := engine.LoadedCorruptPieces(); len(corrupt) > 0 {
			t.Errorf("%s loaded unverified pieces %v, want none", engine.ID, corrupt)
		}
	}
}
