package direct

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/placementreport"
	"mimosastand.example/mimosastand/machine/feed"
	"mimosastand.example/mimosastand/platform"
	"mimosastand.example/mimosastand/zone/catalog"
	"mimosastand.example/mimosastand/zone/placement"
	"mimosastand.example/mimosastand/zone/roster"
)

// reportingEntry returns an entry that knows a route of two targets, and one that leads nowhere.
func reportingEntry(t *testing.T) *Entry {
	t.Helper()
	c, _, _ := newHedgingCall(t, "127.0.0.1:1", "127.0.0.1:2")
	manifest := `{"version":7,"tenants":[{"name":"forms","api_keys":["k"]}],
		"routes":[{"name":"chat","host":"accounts.example","path_prefix":"/chat/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,"service":"models"}],
		"services":[{"name":"models","engine":{"slots":8,"layers":4,"chunks":4,"models":[{"name":"daka"}]}}]}`
	c.entry.fleet.applyOperatorRecords(feed.Update{Records: []contract.Record{{Offset: 9, Key: platform.KeyManifest, Value: []byte(manifest)}}})
	return c.entry
}

// report reads the page of an entry.
func report(t *testing.T, e *Entry, query string) (status int, r placementreport.Report, body string) {
	t.Helper()
	w := httptest.NewRecorder()
	placementHandler{e}.ServeHTTP(w, httptest.NewRequest(http.MethodGet, placementreport.Path+"?"+query, nil))
	if w.Code == http.StatusOK {
		if err := json.Unmarshal(w.Body.Bytes(), &r); err != nil {
			t.Fatal(err)
		}
	}
	return w.Code, r, w.Body.String()
}

// recorded returns what the entry records of the load of its targets.
func recorded(e *Entry) (state string) {
	e.fleet.withPool(testService, func(_ time.Time, p *placement.Pool) {
		pool := reflect.ValueOf(p).Elem()
		state = fmt.Sprintf("%+v", pool.FieldByName("inflow"))
		for _, id := range []string{"target-0", "target-1"} {
			if load := pool.FieldByName("loads").MapIndex(reflect.ValueOf(roster.TargetID(id))); load.IsValid() {
				state += fmt.Sprintf(" %s: %+v", id, load.Elem())
			}
		}
	})
	return state
}

// Guards against a report that differs from the choice that the entry makes, or that changes it: what
// the entry records of the targets must stay as it is.
func TestPlacementReportChangesNothing(t *testing.T) {
	e := reportingEntry(t)
	e.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
		p.Sent(now, "target-0")
		p.SetPeerLoad("target-0", 8)
	})
	before := recorded(e)
	for range 3 {
		status, r, body := report(t, e, "host=Accounts.example&path=/chat/x&team=forms&prompt=900&answer=100")
		if status != http.StatusOK || r.Target != "target-1" || r.Reason != "" || r.Route != "chat" || r.Service != "models" || r.Manifest != 7 {
			t.Fatalf("status %d, report %s, want target-1", status, body)
		}
		first, second := r.Targets[0], r.Targets[1]
		if first.ID != "target-1" || first.Exclusion != "free" || first.FirstMS == nil || first.Slots != 8 {
			t.Errorf("first target %+v, want target-1, free, with a prediction and 8 slots", first)
		}
		if second.ID != "target-0" || second.Exclusion != "full" || second.OwnInFlight != 1 || second.Load < 9 {
			t.Errorf("second target %+v, want target-0, full, with a load of 9, one of it its own", second)
		}
	}
	if after := recorded(e); after != before {
		t.Errorf("the reports changed what the entry records:\n%s\n%s", before, after)
	}
	var choice placement.Choice
	e.fleet.withPool(testService, func(now time.Time, p *placement.Pool) { choice, _ = p.Pick(now, placement.Requirements{}, time.Second) })
	if choice.ID != "target-1" {
		t.Errorf("a request goes to %s, want the target of the report", choice.ID)
	}
}

// Guards against a report without a reason: the rule that excludes each target, and when to come back.
func TestPlacementReportOfRefusal(t *testing.T) {
	e := reportingEntry(t)
	for query, want := range map[string]struct {
		reason    contract.Reason
		exclusion string
	}{
		"service=models&team=forms&version=5": {contract.ReasonNoTarget, "other_version"},
		"service=models&team=forms":           {contract.ReasonTargetFull, "full"},
	} {
		if want.exclusion == "full" {
			e.fleet.withPool(testService, func(_ time.Time, p *placement.Pool) {
				p.SetPeerLoad("target-0", 20)
				p.SetPeerLoad("target-1", 20)
			})
		}
		status, r, body := report(t, e, query)
		if status != http.StatusOK || r.Target != "" || r.Reason != string(want.reason) || r.RetryAfterMS <= 0 || len(r.Targets) != 2 || r.Targets[0].Exclusion != want.exclusion {
			t.Errorf("%s: status %d, report %s, want %s with a time and two targets that are %s", query, status, body, want.reason, want.exclusion)
		}
	}
}

// Guards against errors that do not say what is wrong.
func TestPlacementReportErrors(t *testing.T) {
	e := reportingEntry(t)
	for query, want := range map[string]int{
		"":                                             http.StatusBadRequest,
		"host=accounts.example":                        http.StatusBadRequest,
		"service=models&prompt=x":                      http.StatusBadRequest,
		"service=models&prompt=-1":                     http.StatusBadRequest,
		"service=models&prompt=NaN&team=forms":         http.StatusBadRequest,
		"service=models&version=1.5":                   http.StatusBadRequest,
		"service=models":                               http.StatusUnauthorized,
		"service=models&team=other":                    http.StatusNotFound,
		"service=other&team=forms":                     http.StatusNotFound,
		"host=accounts.example&path=/pay/1&team=forms": http.StatusNotFound,
		"host=accounts.example&path=/chat/&service=other&team=forms": http.StatusNotFound,
	} {
		var problem struct{ Detail, Reason string }
		status, _, body := report(t, e, query)
		if err := json.Unmarshal([]byte(body), &problem); err != nil || status != want || problem.Detail == "" {
			t.Errorf("%q: status %d, body %s, want %d with a detail", query, status, body, want)
		}
	}
	if status, _, _ := report(t, newQuietEntry(), "service=models"); status != http.StatusServiceUnavailable {
		t.Errorf("status %d of an entry without a list of targets, want 503", status)
	}
}

// Guards against a report on a paced service that leaves out the size of the answer, or that changes what
// the entry records of paces, sizes and prompts to read.
func TestPlacementReportOfPacedService(t *testing.T) {
	e := reportingEntry(t)
	e.fleet.withPool(testService, func(now time.Time, p *placement.Pool) {
		p.SetService(&catalog.Service{Engine: &catalog.Engine{
			Slots: 8, StepTime: time.Millisecond, Stride: 5, PrefillRate: 20000, PromptTokens: 500, AnswerTokens: 50, MemoryTokens: 4000,
		}})
		p.PaceAnswered(now, "target-0", 250)
		p.PaceAnswered(now, "target-1", 100)
		p.SentSized(now, "target-0", placement.Requirements{PromptTokens: 1500, AnswerTokens: 500})
	})
	before := recorded(e)
	for query, want := range map[string]string{"prompt=500&answer=50": "target-1", "prompt=500&answer=3800": ""} {
		status, r, body := report(t, e, "service=models&team=forms&"+query)
		if status != http.StatusOK || r.Target != want {
			t.Errorf("%s: status %d, report %s, want target %q", query, status, body, want)
		}
	}
	if after := recorded(e); after != before {
		t.Errorf("the reports changed what the entry records:\n%s\n%s", before, after)
	}
}
