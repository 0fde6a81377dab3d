package direct

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"mimosastand.example/mimosastand/machine/entry/attempts"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
)

// TestExpectedVersionIsThatOfNewerEngine guards against refusals while versions are
// announced in quick succession: past the bound of version 2, an attempt at an engine
// that already held version 3 expected version 2, and an engine that holds another
// version than expected answers 421.
func TestExpectedVersionIsThatOfNewerEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		fs := newStartedState(bound, 1)
		for _, version := range []int{2, 3} {
			time.Sleep(bound / 2)
			fs.applyOperatorRecords(announcementOf(version))
		}
		time.Sleep(bound / 2)
		if got := fs.oldestAllowed(); got != 2 {
			t.Fatalf("oldestAllowed() = %d, want 2", got)
		}
		c := &call{
			entry: &Entry{fleet: fs}, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
			route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(bound),
		}
		x := &exchange{call: c, choice: placement.Choice{ID: "target-1", Version: 3, MinVersion: 2}}
		if got := x.request().header.Get("Expect-Version"); got != "3" {
			t.Errorf("Expect-Version = %s for an engine that holds version 3, want 3", got)
		}
	})
}

// TestExpectedVersionAdvancesWhileAttemptWaits guards against work on a version whose
// bound ends while the attempt waits for its connection: the target must still refuse the
// attempt.
func TestExpectedVersionAdvancesWhileAttemptWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		fs := newStartedState(bound, 1)
		fs.applyOperatorRecords(announcementOf(2))
		time.Sleep(bound)
		c := &call{
			entry: &Entry{fleet: fs}, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
			route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(bound),
		}
		x := &exchange{call: c, choice: placement.Choice{ID: "target-1", Version: 1}}
		if got := x.request().header.Get("Expect-Version"); got != "2" {
			t.Errorf("Expect-Version = %s past the bound of version 2, want 2", got)
		}
	})
}

// Guards against answers from weights that are not known to be sound (WHOLE, inc2): before the bound of a
// newer version ended, an attempt expected no version, and an engine that had loaded another one since ran it.
func TestAttemptExpectsVersionThatItsTargetHolds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const bound = 8 * time.Second
		for name, announced := range map[string]int{"one version": 1, "a newer one, within its bound": 2} {
			fs := newStartedState(bound, 1)
			time.Sleep(time.Second)
			fs.applyOperatorRecords(announcementOf(announced))
			c := &call{
				entry: &Entry{fleet: fs}, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
				route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(bound),
			}
			for held, want := range map[int64]string{0: "", 1: "1"} {
				x := &exchange{call: c, choice: placement.Choice{ID: "target-1", Version: held}}
				if got := x.request().header.Get("Expect-Version"); got != want {
					t.Errorf("%s: Expect-Version = %q for a target that holds version %d, want %q", name, got, held, want)
				}
			}
		}
	})
}

// Guards against answers from weights that are not known to be sound (WHOLE, inc2): an attempt whose bound
// ended while it waited for its connection expected the version that its target had yet to be proved to hold.
func TestAttemptIsNotSentForVersionThatItsTargetIsNotKnownToHold(t *testing.T) {
	e := newQuietEntry()
	const bound = 8 * time.Second
	e.fleet = newStartedState(time.Nanosecond, 2)
	c := &call{
		entry: e, r: httptest.NewRequest(http.MethodPost, "/chat/x", nil), service: testService,
		route: &catalog.Route{Kind: catalog.Streaming}, deadline: time.Now().Add(bound),
	}
	for held, want := range map[int64]attempts.Outcome{1: attempts.NotSent, 2: attempts.Lost} {
		x := newExchange(c, placement.Choice{ID: "target-1", Address: closingTarget(t, "", false), Version: held})
		if outcome, _ := x.run(t.Context()); outcome != want {
			t.Errorf("target that held version %d: outcome %v, want %v", held, outcome, want)
		}
	}
}
