package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// Guards against refusals while versions are named in quick succession: past the bound of
// version 2 an engine that already held version 3 was told to expect version 2, and an
// engine whose version is another one answers 421.
func TestAnEngineThatIsAheadIsExpectedToHoldWhatItHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		w := startedWorld(bound, 1)
		for _, version := range []int{2, 3} {
			time.Sleep(bound / 2)
			w.operatorsChanged(named(version))
		}
		time.Sleep(bound / 2)
		if got := w.oldest(); got != 2 {
			t.Fatalf("oldest version %d, want 2", got)
		}
		c := &call{
			entry: &Entry{world: w}, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
			route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(bound),
		}
		x := &exchange{call: c, choice: placement.Choice{ID: "target-1", Version: 3, MinVersion: 2}}
		if got := x.request().header.Get("Expect-Version"); got != "3" {
			t.Errorf("an engine that holds version 3 is told to expect version %s", got)
		}
	})
}

// Guards against work on a version whose bound ends while the attempt waits for its
// connection: the target must still refuse it.
func TestAnAttemptThatOutlivesItsVersionIsRefusedByItsTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		w := startedWorld(bound, 1)
		w.operatorsChanged(named(2))
		time.Sleep(bound)
		c := &call{
			entry: &Entry{world: w}, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
			route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(bound),
		}
		x := &exchange{call: c, choice: placement.Choice{ID: "target-1", Version: 1}}
		if got := x.request().header.Get("Expect-Version"); got != "2" {
			t.Errorf("past the bound of version 2 the target is told to expect version %s", got)
		}
	})
}
