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
	standin "mimosastand.example/mimosastand/standin/fleet"
)

// Scripts that stand for the program: one ends well when asked to, one does not, one
// ends by itself if it is an entry.
const (
	endsWell   = "#!/bin/sh\ntrap 'exit 0' TERM\necho ready\nwhile :; do sleep 0.02; done\n"
	endsBadly  = "#!/bin/sh\ntrap 'exit 3' TERM\necho ready\nwhile :; do sleep 0.02; done\n"
	entryEnds  = "#!/bin/sh\ntrap 'exit 0' TERM\necho ready\n[ \"$1\" = entry ] && exit 1\nwhile :; do sleep 0.02; done\n"
	scriptWait = 10 * time.Second
	// recoverSoon is how long the tests wait for what does not come.
	recoverSoon = 100 * time.Millisecond
)

// newSession returns a session whose processes are a script, with the entry's answers
// from a handler.
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
	ledger := NewChecker(2, fleet.RunCount)
	return &session{opts: Options{CheckBounds: true}, fleet: fleet, ledger: ledger, traffic: NewTraffic(fleet, ledger), bounds: &bounds{}}
}

// start starts all processes and waits until their scripts run.
func (s *session) startScripts(t *testing.T) {
	t.Helper()
	for _, m := range s.fleet.Machines() {
		if err := m.Start(); err != nil {
			t.Fatal(err)
		}
		err := harness.WaitFor(context.Background(), scriptWait, func() error {
			data, err := os.ReadFile(filepath.Join(s.fleet.Dir, m.Name+".log"))
			if err != nil || !bytes.Contains(data, []byte("ready")) {
				return errors.Newf("%q, %v", data, err)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// expect fails unless exactly the given promises were broken, each once.
func (s *session) expect(t *testing.T, want ...Promise) {
	t.Helper()
	broken := s.ledger.Violations()
	same := len(broken) == len(want)
	for i := range min(len(broken), len(want)) {
		same = same && broken[i].Promise == want[i]
	}
	if !same {
		t.Errorf("broken: %v, want %v", broken, want)
	}
}

func ok(http.ResponseWriter, *http.Request) {}

func TestStopsThatEndBadlyAreFound(t *testing.T) {
	for script, want := range map[string][]Promise{endsWell: nil, endsBadly: {PlannedStop}} {
		s := newSession(t, script, ok)
		s.startScripts(t)
		i := &inflictor{ctx: context.Background(), fleet: s.fleet, ledger: s.ledger, bounds: s.bounds}
		i.onEntry(StopEntry, s.fleet.Entries[0])
		s.expect(t, want...)
	}
}

func TestStopsAtTheEndThatEndBadlyAreFound(t *testing.T) {
	s := newSession(t, endsBadly, ok)
	s.startScripts(t)
	s.finish()
	s.expect(t, PlannedStop, PlannedStop)
}

// A call that began before a planned stop and gets no answer.
func TestCallsThatAStopCutsAreFound(t *testing.T) {
	arrived, cut := make(chan bool), make(chan bool)
	s := newSession(t, endsWell, func(http.ResponseWriter, *http.Request) {
		arrived <- true
		<-cut
		panic(http.ErrAbortHandler)
	})
	s.startScripts(t)
	done := make(chan bool)
	go func() {
		s.traffic.callAndTake(Pay, s.fleet.Entries[0])
		close(done)
	}()
	<-arrived
	s.fleet.Entries[0].Stop()
	close(cut)
	<-done
	s.expect(t, PlannedStop)
}

// Requests that a stopping entry cuts: in the middle of an answer, after they ran, and
// after it held them; one whose connection closes at once crossed the close.
func TestCutsDuringAStopAreFound(t *testing.T) {
	sent := time.Now()
	for name, c := range map[string]struct {
		status, runs int
		lasted       time.Duration
		harmed       bool
		want         bool
	}{
		"crosses the close":       {0, 0, lossSlack / 2, false, false},
		"held":                    {0, 0, 2 * lossSlack, false, true},
		"ran":                     {0, 1, lossSlack / 2, false, true},
		"middle of its answer":    {200, 1, lossSlack / 2, false, true},
		"while an engine hangs":   {200, 1, lossSlack / 2, true, false},
		"held, an engine hanging": {0, 0, 2 * lossSlack, true, false},
	} {
		s := newSession(t, endsWell, ok)
		a := Answer{Kind: Pay, Attempt: "a", Entry: s.fleet.Entries[0], Status: c.status, Err: errors.New("cut"), Start: sent, End: sent.Add(c.lasted)}
		if c.runs > 0 {
			s.forward(httptest.NewRequest(http.MethodPost, standin.ChatPath+"x", nil), a.Attempt)
		}
		if c.harmed {
			s.traffic.unplanned.Add(sent.Add(-time.Second), sent)
		}
		if problem := s.traffic.stopProblem(a, true); (problem != "") != c.want {
			t.Errorf("%s: %q", name, problem)
		}
		if problem := s.traffic.stopProblem(a, false); problem != "" {
			t.Errorf("%s, not stopping: %q", name, problem)
		}
	}
}

func TestProcessesThatEndByThemselvesAreFound(t *testing.T) {
	for script, want := range map[string][]Promise{endsWell: nil, entryEnds: {StaysUp}} {
		s := newSession(t, script, ok)
		s.startScripts(t)
		if script == entryEnds {
			err := harness.WaitFor(context.Background(), scriptWait, func() error {
				if s.fleet.Entries[0].Running() {
					return errors.New("still runs")
				}
				return nil
			})
			if err != nil {
				t.Fatal(err)
			}
		}
		s.finish()
		s.expect(t, want...)
	}
}

func TestUnverifiedWeightsAreFound(t *testing.T) {
	for piece, want := range map[string][]Promise{string(standin.Piece(2, 0)): nil, "rotten": {VerifiedWeights}} {
		s := newSession(t, endsWell, ok)
		engine := "http://" + s.fleet.Engines()[0].Address()
		send(t, http.MethodPut, engine+"/-/stage-put/daka?sample_count=0", piece)
		send(t, http.MethodPost, engine+"/-/order", `{"op":"start","version":2}`)
		s.finish()
		s.expect(t, want...)
	}
}

func send(t *testing.T, method, url, body string) {
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

// An entry that routes by the newest manifest and then by the older one again; one that
// says that it knows none routes by none.
func TestOlderManifestsAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		after http.HandlerFunc
		want  bool
	}{
		"goes back":   {generation(1), true},
		"stays":       {generation(2), false},
		"knows none":  {notReady, false},
		"knows no 1":  {generation(3), false},
		"breaks down": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	} {
		var asked atomic.Int64
		before := generation(2)
		s := newSession(t, endsWell, func(w http.ResponseWriter, r *http.Request) {
			// The first look asks for versions 2 and 1.
			if asked.Add(1) <= 2 {
				before(w, r)
				return
			}
			c.after(w, r)
		})
		s.startScripts(t)
		if _, err := s.fleet.PublishNextManifest(); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 4*manifestPause)
		watchManifests(ctx, s.traffic, s.fleet.Entries[0])
		cancel()
		broken := s.ledger.Violations()
		if found := len(broken) > 0 && broken[0].Promise == NeverOlder; found != c.want || found != (len(broken) > 0) {
			t.Errorf("%s: %v", name, broken)
		}
	}
}

// generation answers as an entry does that routes by the manifest of one version.
func generation(version int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != standin.GenerationPath(version) {
			w.WriteHeader(http.StatusNotFound)
		}
	}
}

// notReady answers as an entry does that knows no manifest.
func notReady(w http.ResponseWriter, _ *http.Request) {
	problem.New(http.StatusServiceUnavailable, contract.ReasonSettingsNotReady, contract.OutcomeNotRun, "").Write(w)
}

func TestFleetsThatDoNotRecoverAreFound(t *testing.T) {
	refuse := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	for name, c := range map[string]struct {
		entry http.HandlerFunc
		named bool
		want  []Promise
	}{
		"all serve":               {ok, false, nil},
		"the entry refuses":       {refuse, false, []Promise{Recovers}},
		"the engine stays behind": {ok, true, []Promise{Recovers}},
	} {
		s := newSession(t, endsWell, c.entry)
		if c.named {
			s.fleet.AnnounceNextVersion()
		}
		s.recover(context.Background(), recoverSoon)
		t.Log(name)
		s.expect(t, c.want...)
	}
}

// The runs that engines saw are those of the entries that callers reached.
func TestRunsPastTheBoundAreFoundAtTheEnd(t *testing.T) {
	for age, want := range map[time.Duration][]Promise{versionBound / 2: nil, versionBound + time.Second: {VersionBound}} {
		var s *session
		s = newSession(t, endsWell, func(_ http.ResponseWriter, r *http.Request) { s.forward(r, r.Header.Get("Attempt-Id")) })
		s.bounds.named(2, time.Now().Add(-age))
		s.traffic.SendRequest(Chat, s.fleet.Entries[0])
		s.finish()
		s.expect(t, want...)
	}
}

// forward runs a caller's request at the one engine, as an entry does.
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
		panic(fmt.Sprint("forward: ", err))
	}
	_ = resp.Body.Close()
}
