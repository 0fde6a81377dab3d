package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/machine/entry/problem"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// Scripts that run in place of the program: exitsCleanly exits with status 0 on SIGTERM,
// exitsWithError with status 3, and entryExits exits on its own if it runs as an entry.
const (
	exitsCleanly   = "#!/bin/sh\ntrap 'exit 0' TERM\necho ready\nwhile :; do sleep 0.02; done\n"
	exitsWithError = "#!/bin/sh\ntrap 'exit 3' TERM\necho ready\nwhile :; do sleep 0.02; done\n"
	entryExits     = "#!/bin/sh\ntrap 'exit 0' TERM\necho ready\n[ \"$1\" = entry ] && exit 1\nwhile :; do sleep 0.02; done\n"
	scriptTimeout  = 10 * time.Second
	// shortRecoveryTimeout bounds the wait for a recovery that does not happen.
	shortRecoveryTimeout = 100 * time.Millisecond
)

// newSession returns a session whose processes run a script. Requests to the entry are
// answered by a handler.
func newSession(t *testing.T, script string, entry http.HandlerFunc) *session {
	t.Helper()
	bin := t.TempDir()
	if err := os.WriteFile(filepath.Join(bin, "mimosastand"), []byte(script), 0o700); err != nil {
		t.Fatal(err)
	}
	fleet, err := harness.NewFleet(t.TempDir(), bin, harness.FleetSpec{
		Zones: []harness.Zone{{Name: "khomas-a", Region: "khomas"}}, Entries: 1, Engines: 1, Services: 1, StreamEvents: 2, Pieces: 2,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	server := httptest.NewServer(entry)
	t.Cleanup(server.Close)
	fleet.Entries[0].CallerAddress = strings.TrimPrefix(server.URL, "http://")
	checker := NewChecker(2, fleet.RunCount)
	return &session{opts: Options{CheckBounds: true}, fleet: fleet, checker: checker, traffic: NewTraffic(fleet, checker), bounds: &bounds{}}
}

// startScripts starts all processes and waits until their scripts run.
func (s *session) startScripts(t *testing.T) {
	t.Helper()
	for _, m := range s.fleet.Machines() {
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
		err := harness.WaitFor(context.Background(), scriptTimeout, func() error {
			data, err := os.ReadFile(filepath.Join(s.fleet.Dir, m.Name+".log"))
			if err != nil || !bytes.Contains(data, []byte("ready")) {
				return errors.Newf("log of the script is %q, error %v, want it to contain \"ready\"", data, err)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// expectViolations fails unless exactly the given promises were broken, in this order.
func (s *session) expectViolations(t *testing.T, want ...Promise) {
	t.Helper()
	violations := s.checker.Violations()
	same := len(violations) == len(want)
	for i := range min(len(violations), len(want)) {
		same = same && violations[i].Promise == want[i]
	}
	if !same {
		t.Errorf("Violations() = %v, want violations of %v", violations, want)
	}
}

func answerOK(http.ResponseWriter, *http.Request) {}

func TestReportsPlannedStopWithNonZeroExit(t *testing.T) {
	for script, want := range map[string][]Promise{exitsCleanly: nil, exitsWithError: {PlannedStop}} {
		s := newSession(t, script, answerOK)
		s.startScripts(t)
		i := &injector{ctx: context.Background(), fleet: s.fleet, checker: s.checker, bounds: s.bounds}
		i.injectEntryFault(StopEntry, s.fleet.Entries[0])
		s.expectViolations(t, want...)
	}
}

func TestReportsFinalStopWithNonZeroExit(t *testing.T) {
	s := newSession(t, exitsWithError, answerOK)
	s.startScripts(t)
	s.finish()
	s.expectViolations(t, PlannedStop, PlannedStop)
}

// A request that began before a planned stop and gets no answer is a violation.
func TestReportsRequestCutByPlannedStop(t *testing.T) {
	arrived, cut := make(chan bool), make(chan bool)
	s := newSession(t, exitsCleanly, func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-cut
		panic(http.ErrAbortHandler)
	})
	s.startScripts(t)
	done := make(chan bool)
	go func() {
		s.traffic.sendAndCheck(Pay, s.fleet.Entries[0])
		close(done)
	}()
	<-arrived
	s.fleet.Entries[0].Stop()
	close(cut)
	<-done
	s.expectViolations(t, PlannedStop)
}

// A stopping entry must not cut off a request in the middle of its answer, after it ran, or
// after holding it for longer than lossSlack. A request whose connection closes at once
// crossed the close of the connection and is no violation.
func TestPlannedStopProblemDuringStop(t *testing.T) {
	sent := time.Now()
	for name, c := range map[string]struct {
		status, runs int
		duration     time.Duration
		faulted      bool
		want         bool
	}{
		"crosses connection close":    {0, 0, lossSlack / 2, false, false},
		"held without answer":         {0, 0, 2 * lossSlack, false, true},
		"ran without answer":          {0, 1, lossSlack / 2, false, true},
		"cut in the middle of answer": {200, 1, lossSlack / 2, false, true},
		"cut while engine hangs":      {200, 1, lossSlack / 2, true, false},
		"held while engine hangs":     {0, 0, 2 * lossSlack, true, false},
	} {
		s := newSession(t, exitsCleanly, answerOK)
		a := Answer{Kind: Pay, Attempt: "a", Entry: s.fleet.Entries[0], Status: c.status, Err: errors.New("cut"), Start: sent, End: sent.Add(c.duration)}
		if c.runs > 0 {
			s.forward(httptest.NewRequest(http.MethodPost, standins.ChatPath+"x", nil), a.Attempt)
		}
		if c.faulted {
			s.traffic.unplannedFaults.Add(sent.Add(-time.Second), sent)
		}
		if problem := s.traffic.plannedStopProblem(a, true); (problem != "") != c.want {
			t.Errorf("%s: plannedStopProblem(stopping) = %q, want the opposite", name, problem)
		}
		if problem := s.traffic.plannedStopProblem(a, false); problem != "" {
			t.Errorf("%s: plannedStopProblem(not stopping) = %q, want none", name, problem)
		}
	}
}

func TestReportsUnexpectedProcessExit(t *testing.T) {
	for script, want := range map[string][]Promise{exitsCleanly: nil, entryExits: {StaysUp}} {
		s := newSession(t, script, answerOK)
		s.startScripts(t)
		if script == entryExits {
			err := harness.WaitFor(context.Background(), scriptTimeout, func() error {
				if s.fleet.Entries[0].Running() {
					return errors.New("entry still runs, want it to exit")
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		s.finish()
		s.expectViolations(t, want...)
	}
}

func TestReportsUnverifiedWeights(t *testing.T) {
	for piece, want := range map[string][]Promise{string(standins.Piece(2, 0)): nil, "rotten": {VerifiedWeights}} {
		s := newSession(t, exitsCleanly, answerOK)
		engine := "http://" + s.fleet.Engines()[0].Address()
		sendRequest(t, http.MethodPut, engine+"/-/stage-put/daka?sample_count=0", piece)
		sendRequest(t, http.MethodPost, engine+"/-/order", `{"op":"start","version":2}`)
		s.finish()
		s.expectViolations(t, want...)
	}
}

func sendRequest(t *testing.T, method, url, body string) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}

// An entry that routes by the newest manifest must not route by an older one again. An entry
// that answers that it has no manifest routes by none.
func TestReportsReturnToOlderManifest(t *testing.T) {
	for name, c := range map[string]struct {
		after http.HandlerFunc
		want  bool
	}{
		"returns to older":    {serveGeneration(1), true},
		"stays on newest":     {serveGeneration(2), false},
		"has no manifest":     {answerNotReady, false},
		"has no route 1 or 2": {serveGeneration(3), false},
		"aborts requests":     {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	} {
		var requested atomic.Int64
		before := serveGeneration(2)
		s := newSession(t, exitsCleanly, func(w http.ResponseWriter, r *http.Request) {
			// The first poll requests the routes of versions 2 and 1.
			if requested.Add(1) <= 2 {
				before(w, r)
				return
			}
			c.after(w, r)
		})
		s.startScripts(t)
		if _, err := s.fleet.PublishNextManifest(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*manifestPollInterval)
		watchManifests(ctx, s.traffic, s.fleet.Entries[0])
		cancel()
		violations := s.checker.Violations()
		if found := len(violations) > 0 && violations[0].Promise == NeverOlder; found != c.want || found != (len(violations) > 0) {
			t.Errorf("%s: Violations() = %v, want NeverOlder only for a return to an older manifest", name, violations)
		}
	}
}

// serveGeneration answers like an entry that routes by the manifest of one version.
func serveGeneration(version int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != standins.ManifestRoutePath(version) {
			w.WriteHeader(http.StatusNotFound)
		}
	}
}

// answerNotReady answers like an entry that has no manifest.
func answerNotReady(w http.ResponseWriter, _ *http.Request) {
	problem.New(http.StatusServiceUnavailable, contract.ReasonSettingsNotReady, contract.OutcomeNotRun, "").Write(w)
}

func TestReportsFleetThatDoesNotRecover(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for name, c := range map[string]struct {
		entry     http.HandlerFunc
		announced bool
		want      []Promise
	}{
		"all entries serve":             {answerOK, false, nil},
		"entry refuses requests":        {refuse, false, []Promise{Recovers}},
		"engine stays on older version": {answerOK, true, []Promise{Recovers}},
	} {
		s := newSession(t, exitsCleanly, c.entry)
		if c.announced {
			s.fleet.AnnounceNextVersion()
		}
		s.awaitRecovery(context.Background(), shortRecoveryTimeout)
		t.Log(name)
		s.expectViolations(t, c.want...)
	}
}

// finish attributes the runs at the engines to the entries that callers sent them to.
func TestFinishReportsRunsPastVersionBound(t *testing.T) {
	for age, want := range map[time.Duration][]Promise{versionBound / 2: nil, versionBound + time.Second: {VersionBound}} {
		var s *session
		s = newSession(t, exitsCleanly, func(_ http.ResponseWriter, r *http.Request) { s.forward(r, r.Header.Get("Attempt-Id")) })
		s.bounds.addAnnouncement(2, time.Now().Add(-age))
		s.traffic.SendRequest(Chat, s.fleet.Entries[0])
		s.finish()
		s.expectViolations(t, want...)
	}
}

// forward sends a caller's request to the only engine, as an entry does.
func (s *session) forward(r *http.Request, attempt string) {
	engine := s.fleet.Engines()[0]
	req, err := http.NewRequest(http.MethodPost, "http://"+engine.Address()+r.URL.Path, nil)
	if err != nil {
		panic(err)
	}
	req.Header.Set("Attempt-Id", attempt)
	req.Header.Set("Expect-Instance", engine.ID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		panic(fmt.Sprint("forward to engine: ", err))
	}
	_ = resp.Body.Close()
}
