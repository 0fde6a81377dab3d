package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// newPartEngine returns an engine that a part has crashed the given number of times.
func newPartEngine(t *testing.T, store *standins.Store, part string, crashes int) *standins.Engine {
	t.Helper()
	e := &standins.Engine{ID: "engine", Service: standins.ModelService, Model: standins.Model, Slots: 100, EventCount: 1}
	if err := e.Start(store, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	e.SetCrashCauses(standins.CrashCauses{Parts: []string{part}})
	e.SetDowntime(time.Millisecond)
	for n := range crashes {
		for ; len(e.Crashes()) == n; time.Sleep(time.Millisecond) {
			if err := sendParts(e, fmt.Sprintf("bad-%d", n), "f0", part, "00"); err == nil {
				t.Fatalf("request %d with part %s was served, want a crash", n, part)
			}
		}
	}
	return e
}

// sendParts sends a request with a prompt to an engine.
func sendParts(e *standins.Engine, attempt string, parts ...string) error {
	var prompt []standins.PromptPart
	for _, id := range parts {
		prompt = append(prompt, standins.PromptPart{ID: id, Tokens: 1})
	}
	req, err := standins.Request{AttemptID: attempt, Entry: e.Address(), Method: http.MethodPost, Path: standins.ChatPath, Prompt: prompt}.NewHTTPRequest()
	if err != nil {
		return err
	}
	req.Header.Set("Expect-Instance", e.ID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = readBounded(resp.Body)
	return err
}

// The bound begins three seconds after the fifth crash and applies to entries that were
// unimpaired before.
func TestReportsRequestsWithCrashingPartPastBound(t *testing.T) {
	for name, c := range map[string]struct {
		crashes, requests int
		// after is the time from the last crash to the requests.
		after  time.Duration
		paused bool
		want   int
	}{
		"within bound":     {5, 10, stableWindow - 100*time.Millisecond, false, 0},
		"past bound":       {5, 4, stableWindow + 100*time.Millisecond, false, 1},
		"three past bound": {5, 3, stableWindow + 100*time.Millisecond, false, 0},
		"four crashes":     {4, 10, stableWindow + 100*time.Millisecond, false, 0},
		"entry was paused": {5, 10, stableWindow + 100*time.Millisecond, true, 0},
	} {
		s := newSession(t, exitsCleanly, answerOK)
		entry := s.fleet.Entries[0]
		for n := range c.crashes {
			s.traffic.parts.sent = append(s.traffic.parts.sent, sentPrompt{attempt: fmt.Sprintf("bad-%d", n), entry: entry, parts: []string{"f0", "bad", "00"}})
		}
		e := newPartEngine(t, s.fleet.Store, "bad", c.crashes)
		crashes := e.Crashes()
		at := crashes[len(crashes)-1].At.Add(c.after)
		for n := range c.requests {
			attempt := fmt.Sprintf("late-%d", n)
			s.traffic.entryByAttempt.Store(attempt, entry)
			e.AddArrival(standins.Arrival{AttemptID: attempt, At: at, Parts: []string{"f0", "bad", "00"}})
		}
		if c.paused {
			entry.Impairments.Add(at.Add(-time.Second), at)
		}
		s.bounds.addPart(partSpan{part: "bad", first: "f0", from: crashes[0].At, to: at})
		s.checkPartsOf([]*standins.Engine{e})
		if got := len(s.checker.Violations()); got != c.want {
			t.Errorf("%s: violations %v, want %d", name, s.checker.Violations(), c.want)
		}
	}
}

// Sound requests that share the first part with the bad ones must begin half as often as
// before.
func TestReportsSoundRequestsHeldBackWithBadOnes(t *testing.T) {
	for name, c := range map[string]struct {
		begun, of, bad int
		// announced is when version 2 was announced, if not 0; no engine loads it.
		announced time.Duration
		want      bool
	}{
		"all begin":             {30, 30, 30, 0, false},
		"half begin":            {15, 30, 30, 0, false},
		"fewer begin":           {14, 30, 30, 0, true},
		"none begins":           {0, 30, 30, 0, true},
		"weights are missing":   {0, 30, 30, -versionBound, false},
		"older version may run": {0, 30, 30, -versionBound + 2*time.Second, true},
		"too few bad ones":      {0, 30, 19, 0, false},
		"too few to tell from":  {0, 19, 30, 0, false},
	} {
		// The span is past, as in a soak: weights can be missing only until the comparison.
		start, entry := time.Now().Add(-time.Minute), &harness.Machine{Name: "entry"}
		span := partSpan{part: "bad", first: "f0", from: start, to: start.Add(time.Minute)}
		e := &standins.Engine{ID: "engine", Service: standins.ModelService, Model: standins.Model, Slots: 100}
		store := standins.NewStore()
		if err := e.Start(store, 1); err != nil {
			t.Fatal(err)
		}
		r := partRecord{engines: []*standins.Engine{e}}
		if c.announced != 0 {
			r.announcements = []announcement{{2, start.Add(c.announced)}}
		}
		send := func(attempt string, at time.Time, begins bool, second string) {
			r.sent = append(r.sent, sentPrompt{attempt: attempt, at: at, entry: entry, parts: []string{"f0", second, "00"}})
			if begins {
				if err := sendParts(e, attempt, "f0", second, "00"); err != nil {
					t.Fatal(err)
				}
			}
		}
		for n := range minCountedRequests {
			send(fmt.Sprintf("before-%d", n), start.Add(-time.Second), true, "50")
		}
		for n := range c.of {
			send(fmt.Sprintf("sound-%d", n), start.Add(time.Millisecond), n < c.begun, "50")
		}
		for n := range c.bad {
			send(fmt.Sprintf("bad-%d", n), start.Add(time.Millisecond), false, "bad")
		}
		before, after, bad := r.compareSound(span, start)
		if got := beginsTooSeldom(before, after, bad); got != c.want {
			t.Errorf("%s: before %v, after %v, bad %d: too seldom = %v, want %v", name, before, after, bad, got, c.want)
		}
		e.Stop()
		store.Close()
	}
}

// A silence of an engine is no reason to cut a stream off; a fault that can cut is.
func TestReportsStreamCutWithoutFault(t *testing.T) {
	for name, c := range map[string]struct {
		fault Fault
		want  []Promise
	}{
		"engine silent": {SilenceEngine, []Promise{UncutStream}},
		"stream cut":    {CutStream, nil},
	} {
		s := newSession(t, exitsCleanly, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		s.traffic.checkCuts = true
		if c.fault.canCutRequests() {
			s.traffic.unplannedFaults.Begin()
		}
		s.traffic.sendAndCheck(Chat, s.fleet.Entries[0])
		t.Log(name)
		s.expectViolations(t, c.want...)
	}
}

// An answer without end counts as cut off, not as served.
func TestAnswerWithoutEndIsNotServed(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for r.Context().Err() == nil {
			_, _ = w.Write(make([]byte, 1<<16))
		}
	}))
	defer server.Close()
	resp, err := http.Get(server.URL)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := readBounded(resp.Body)
	if err == nil || len(data) != maxAnswerBytes {
		t.Errorf("readBounded() = %d bytes, error %v, want %d bytes and an error", len(data), err, maxAnswerBytes)
	}
	if a := (Answer{Status: http.StatusOK, Err: errors.Wrap(err, "cut")}); a.Served() {
		t.Error("an answer without end counts as served")
	}
}

// Enough plans contain each series with engines that crash or are silent, with the entry that
// fails beside it.
func TestPlansIncludeEngineSeries(t *testing.T) {
	const length = time.Minute
	crashing, silent := 0, 0
	for seed := range uint64(100) {
		for _, e := range GeneratePlan(seed, length, shape) {
			if e.Fault == CrashPart && e.Duration >= minPartDuration {
				crashing++
			}
			if e.Fault == SilenceEngine && e.Duration == silenceDuration {
				silent++
			}
		}
	}
	if crashing < 20 || silent < 20 {
		t.Errorf("found %d long crashes by a part and %d silences beside a stop in 100 plans, want at least 20 each", crashing, silent)
	}
}
