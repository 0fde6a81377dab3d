package fleet

import (
	"net/http"
	"strings"
	"testing"
	"time"

	standin "mimosastand.example/mimosastand/standin/fleet"
)

func TestCalm(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	chat := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if chat.status != http.StatusOK || !wholeStream(chat.body, 8) || !strings.HasPrefix(chat.stamp, "stamp-i-m0") {
		t.Errorf("chat: %+v", chat)
	}
	pay := r.call(e, http.MethodPost, "/pay/x?y=%20z", "amount", nil)
	if pay.status != http.StatusOK || pay.body != "POST /pay/x?y=%20z amount tenant=team-1" || pay.stamp == "" {
		t.Errorf("pay: %+v", pay)
	}
	for _, c := range []struct {
		path, body, key string
		want            int
	}{
		{"/other/", "", key, http.StatusNotFound},
		{"/pay/x", "", "wrong", http.StatusUnauthorized},
		{"/pay/x", strings.Repeat("x", 1001), key, http.StatusRequestEntityTooLarge},
	} {
		got := r.call(e, http.MethodPost, c.path, c.body, func(h http.Header) { h.Set("Authorization", "Bearer "+c.key) })
		if got.status != c.want || got.stamp != "" || r.runs(got.id) != 0 {
			t.Errorf("%s with key %s: %+v", c.path, c.key, got)
		}
	}
}

// An engine that dies in the middle of an event: another goes on after the last
// whole event, and the caller gets each event once.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	second := &standin.Engine{ID: "i-m9", Service: "models", Zone: "a", Model: "daka", Slots: 8, EventCount: 8, EventInterval: 10 * time.Millisecond}
	if err := second.Start(r.store, 1); err != nil {
		t.Fatal(err)
	}
	r.engines = append(r.engines, second)
	e := r.seasonedEntry("entry-1", r.store.Address())
	for _, engine := range r.engines {
		engine.CutNextStreamAfter(3)
	}
	got := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if got.status != http.StatusOK || got.err != nil || !wholeStream(got.body, 8) {
		// Both engines may have cut: then the answer must not look whole.
		if got.err == nil {
			t.Fatalf("stream %+v", got)
		}
	}
	got = r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if !wholeStream(got.body, 8) {
		t.Errorf("after the cuts: %+v", got)
	}
}

// A call that may run once only, whose answer is lost: it is not sent again, and
// the answer promises nothing.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e := r.seasonedEntry("entry-1", r.store.Address())
	for _, p := range r.plain {
		p.SetLosesAnswers(true)
	}
	pay := r.call(e, http.MethodPost, "/pay/x", "amount", nil)
	if pay.status != http.StatusBadGateway || r.runs(pay.id) != 1 || pay.stamp != "" {
		t.Errorf("pay: %+v, runs %d", pay, r.runs(pay.id))
	}
	look := r.call(e, http.MethodGet, "/look/x", "", nil)
	if look.status != http.StatusBadGateway || r.runs(look.id) != 2 {
		t.Errorf("look: %+v, runs %d", look, r.runs(look.id))
	}
	r.plain[0].SetLosesAnswers(false)
	look = r.call(e, http.MethodGet, "/look/x", "", nil)
	if look.status != http.StatusOK {
		t.Errorf("look with one good target: %+v", look)
	}
}

// Targets that hang: an idempotent call goes elsewhere; one that may run once only
// ends at its deadline and was sent once.
func TestHangingTargets(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e := r.seasonedEntry("entry-1", r.store.Address())
	r.plain[0].SetUnresponsive(true)
	for range 4 {
		if look := r.call(e, http.MethodGet, "/look/x", "", nil); look.status != http.StatusOK {
			t.Errorf("look: %+v", look)
		}
	}
	r.plain[1].SetUnresponsive(true)
	start := time.Now()
	pay := r.call(e, http.MethodPost, "/pay/x", "amount", func(h http.Header) { h.Set("Deadline-Ms", "400") })
	if pay.status != http.StatusGatewayTimeout && pay.status != http.StatusBadGateway {
		t.Errorf("pay: %+v after %v", pay, time.Since(start))
	}
}

// A full service refuses at once with a true promise and a time to come back.
func TestFullServiceRefusesTruly(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.engines[0].EventInterval = 200 * time.Millisecond
	e, _ := r.entry("entry-1", r.store.Address())
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
			if r.runs(got.id) != 0 || got.after == "" {
				t.Errorf("refusal %+v, runs %d", got, r.runs(got.id))
			}
		default:
			t.Errorf("status %d", got.status)
		}
	}
	if refused == 0 {
		t.Error("40 requests fitted into 8 slots")
	}
}

// An engine that holds nothing gets the weights and serves; a version that is
// named comes to both; nothing unverified is ever loaded, and the origin sends
// about one copy although every fifth piece is corrupt.
func TestWeightsReachEngines(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.origin.CorruptEvery(5)
	r.entry("entry-1", r.store.Address())
	r.entry("entry-2", r.store.Address())
	r.target("target-1", r.engines[0])
	r.target("target-2", r.engines[1])
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
		if bad := engine.CorruptLoadedPieces(); len(bad) > 0 {
			t.Errorf("%s loaded unverified pieces: %v", engine.ID, bad)
		}
	}
	if drawn, most := r.origin.PiecesServed(), 3*chunks*2; drawn > most {
		t.Errorf("the origin sent %d pieces, at most %d wanted", drawn, most)
	}
}

// A target that says that it leaves, and one whose zone is evacuated, get nothing new.
func TestLeavingAndEvacuated(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	r.plain[0].Publish("draining")
	time.Sleep(1500 * time.Millisecond)
	before := r.plain[0].TotalRuns()
	for range 10 {
		if got := r.call(e, http.MethodPost, "/pay/x", "amount", nil); got.status != http.StatusOK {
			t.Errorf("pay: %+v", got)
		}
	}
	if got := r.plain[0].TotalRuns(); got != before {
		t.Errorf("the leaving target ran %d requests", got-before)
	}
	r.store.Evacuate("a", true)
	r.eventually("nothing goes to the zone", func() bool {
		return r.call(e, http.MethodPost, "/pay/x", "amount", nil).status == http.StatusServiceUnavailable
	})
	r.store.Evacuate("a", false)
	r.eventually("the zone is back", func() bool {
		return r.call(e, http.MethodPost, "/pay/x", "amount", nil).status == http.StatusOK
	})
}

// An entry that the store turns away learns a revoked key from a peer, and never
// goes back when the store serves it again.
func TestRevokedKeyReachesAnEntryThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	door := r.store.NewAccessPoint()
	t.Cleanup(door.Close)
	r.entry("entry-1", r.store.Address())
	away, _ := r.entry("entry-2", door.Address())
	r.target("target-1", r.engines[0])
	// The link is there once both have read each other's record.
	time.Sleep(2 * time.Second)
	door.SetDown(true)
	r.keys = []string{"key-2"}
	r.writeManifest()
	r.eventually("the key is refused", func() bool {
		return r.call(away, http.MethodGet, "/look/x", "", nil).status == http.StatusUnauthorized
	})
	door.SetDown(false)
	for range 20 {
		if got := r.call(away, http.MethodGet, "/look/x", "", nil); got.status != http.StatusUnauthorized {
			t.Errorf("the key is accepted again: %+v", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// History that is dropped costs nothing but a second look.
func TestHistoryDropped(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	r.keys = []string{"key-2"}
	r.store.SetDown(true)
	r.writeManifest()
	r.store.DropHistory()
	r.store.SetDown(false)
	r.eventually("the newest manifest is in force", func() bool {
		return r.call(e, http.MethodGet, "/look/x", "", nil).status == http.StatusUnauthorized
	})
}

// A stop lets what runs end, refuses readiness at once and goes on taking what
// still arrives.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.engines[0].EventInterval = 150 * time.Millisecond
	e, stop := r.entry("entry-1", r.store.Address())
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
			t.Errorf("cut by the stop: %+v", got)
		}
	}
}

// A stream breaks off while no other engine holds its weights: the answer is cut
// within the time that the caller would wait for the next event, not at its deadline.
func TestCutStreamIsGivenUpSoon(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	r.engines[0].CutNextStreamAfter(2)
	start := time.Now()
	got := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if got.err == nil {
		t.Errorf("the cut answer looks whole: %+v", got)
	}
	if took := time.Since(start); took > patience {
		t.Errorf("given up after %v of 60 s", took)
	}
}

// The store loses the answers to writes and applies them later: processes that start
// meanwhile find each other, and a version that is named reaches the engines.
func TestWritesThatAreAppliedLate(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.store.SetWriteDelay(time.Second)
	r.entry("entry-1", r.store.Address())
	r.entry("entry-2", r.store.Address())
	r.target("target-1", r.engines[0])
	r.target("target-2", r.engines[1])
	r.store.AnnounceVersion(2)
	r.eventually("both engines have version 2", func() bool {
		return r.engines[0].Version() == 2 && r.engines[1].Version() == 2
	})
	r.store.SetWriteDelay(0)
	for _, engine := range r.engines {
		if bad := engine.CorruptLoadedPieces(); len(bad) > 0 {
			t.Errorf("%s loaded unverified pieces: %v", engine.ID, bad)
		}
	}
}
