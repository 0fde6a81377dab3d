package gate

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/coldstart"
	"mimosastand.example/mimosastand/machine/target/internal/script"
)

var epoch = time.Unix(1_000_000, 0)

var testLimits = coldstart.Settings{WarmLimit: 4, ColdLimit: 1, SlowStart: 2 * time.Second, ReportsLoad: true, StaleAfter: time.Hour}

func testConfig() Config {
	c := DefaultConfig
	c.Service, c.Incarnation, c.Model, c.PauseThreshold = "s", 7, true, 0
	return c
}

func newGate(cfg Config, disabled mechanism) *Gate {
	g := New(epoch, cfg, testLimits, rand.New(rand.NewPCG(1, 2)))
	g.disabled = disabled
	return g
}

// session applies the lines of a script to a gate and records the effects.
type session struct {
	g   *Gate
	at  time.Duration
	seq uint64
}

func (s *session) run(text string, disabled mechanism) string {
	if strings.HasPrefix(text, "new") {
		s.at = 0
	}
	lines, err := script.Parse(text, s.at)
	if err != nil {
		return err.Error()
	}
	var out strings.Builder
	for _, line := range lines {
		s.at = line.At
		if line.Cmd == "new" {
			s.g = newGate(configOf(line), disabled)
			s.seq = 0
		}
		fmt.Fprintf(&out, "%s\n", line.Text)
		for _, e := range s.events(line) {
			for _, effect := range s.g.Step(epoch.Add(line.At), e) {
				fmt.Fprintf(&out, "  %s\n", describe(effect))
			}
		}
		if line.Cmd == "sendable" {
			fmt.Fprintf(&out, "  %q\n", s.g.Sendable(epoch.Add(line.At), attemptOf(line.Name())))
		}
		load := s.g.Load("e1")
		fmt.Fprintf(&out, "  = running=%d queued=%d limit=%d\n", load.Running, load.Queued, load.Limit)
	}
	return out.String()
}

func configOf(line script.Line) Config {
	c := testConfig()
	c.Model = !line.Has("plain")
	c.Answers.MaxStarted = line.Int("started", c.Answers.MaxStarted)
	c.Answers.MaxDroppedRecords = line.Int("past", c.Answers.MaxDroppedRecords)
	c.PauseThreshold = line.Duration("gap", 0)
	c.Answers.MaxTombstones = line.Int("tombstones", c.Answers.MaxTombstones)
	return c
}

func (s *session) events(line script.Line) []Event {
	id := attemptOf(line.Name())
	switch line.Cmd {
	case "new":
		return []Event{Configured{Settings: Settings{Ready: true, Limits: testLimits}}}
	case "warm":
		s.seq += 2
		return []Event{report(line, s.seq-1), report(line, s.seq)}
	case "report":
		s.seq++
		return []Event{report(line, s.seq)}
	case "arrive":
		return []Event{Arrived{From: contract.MachineID(line.String("from", "e1")), Start: startOf(line, id)}}
	case "gone":
		return []Event{Disconnected{id}}
	case "resumed":
		return []Event{Resumed{id}}
	case "cancel":
		return []Event{Cancelled{id}}
	case "query":
		return []Event{Queried{contract.Query{
			Attempt: id, Tombstone: line.Has("tombstone"), Age: line.Duration("age", 0), SentToIncarnation: contract.Incarnation(line.Int("to", 0)),
		}}}
	case "end":
		return []Event{endOf(line, id)}
	case "released":
		return []Event{Released{id}}
	}
	return stateEvents(line)
}

func stateEvents(line script.Line) []Event {
	switch line.Cmd {
	case "settings":
		return []Event{Configured{Settings: Settings{
			Ready: !line.Has("unready"), Offset: contract.Offset(line.Int("offset", 0)),
			RelevantOffset: contract.Offset(line.Int("relevant", 0)), ZoneEvacuated: line.Has("out"), Limits: testLimits,
		}}}
	case "activated":
		return []Event{Activated{contract.Digest(line.Name())}}
	case "leave":
		return []Event{Leave{}}
	case "drain":
		return []Event{Drain{}}
	case "reopen":
		return []Event{Reopen{}}
	case "handover":
		return []Event{HandOver{}}
	default:
		return []Event{Tick{}}
	}
}

func report(line script.Line, seq uint64) Event {
	return Reported{coldstart.Report{
		Boot: line.String("boot", "b1"), Seq: seq, Digest: contract.Digest(line.String("digest", "d1")),
		Warm: !line.Has("cold"), Running: line.Int("running", 0), Limit: line.Int("limit", 4), Age: line.Duration("age", 0),
	}}
}

func attemptOf(name string) contract.AttemptID {
	request, n, _ := strings.Cut(name, "/")
	number, _ := strconv.Atoi(n)
	return contract.AttemptID{Request: contract.RequestID(request), N: uint32(number)}
}

func startOf(line script.Line, id contract.AttemptID) contract.Start {
	return contract.Start{
		Attempt: id, Service: contract.ServiceName(line.String("service", "s")), Priority: int8(line.Int("priority", 0)),
		Remaining: line.Duration("remaining", 10*time.Second), Weights: contract.Digest(line.String("weights", "d1")),
		SettingsOffset: contract.Offset(line.Int("settings", 0)), Idempotent: line.Has("idempotent"),
		Body: make([]byte, line.Int("body", 0)),
	}
}

func endOf(line script.Line, id contract.AttemptID) Ended {
	e := Ended{Attempt: id, Reason: contract.Reason(line.String("reason", "")), Weights: contract.Digest(line.String("weights", "d1"))}
	e.Outcome = map[string]contract.Outcome{"done": contract.OutcomeDone, "notrun": contract.OutcomeNotRun}[line.String("as", "done")]
	e.Lingers, e.LingerFor = line.Has("lingers"), line.Duration("lingers", 0)
	e.Fault = map[string]Fault{"overloaded": FaultOverloaded, "broke": FaultConnection}[line.String("fault", "")]
	return e
}

func describe(e Effect) string {
	switch e := e.(type) {
	case Run:
		return fmt.Sprintf("run %s", e.Start.Attempt)
	case Refuse:
		text := fmt.Sprintf("refuse %s: %s", e.Refusal.Attempt, e.Refusal.Reason)
		if e.Refusal.RetryAfter > 0 {
			text += fmt.Sprintf(", retry after %dms", e.Refusal.RetryAfter.Milliseconds())
		}
		return text
	case ReportStatus:
		return strings.TrimSpace(fmt.Sprintf("known %s: %s %s", e.Status.Attempt, e.Status.State, e.Status.Reason))
	case Stop:
		return fmt.Sprintf("stop %s: %s", e.Attempt, e.Reason)
	case Close:
		return strings.TrimSpace(fmt.Sprintf("close %s: %s %s", e.End.Attempt, e.End.Outcome, e.End.Reason))
	case Ignored:
		return "ignored: " + e.Cause
	case LimitFell:
		return "fell: " + string(e.Cause)
	}
	return "?"
}

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return s.run(d.Input, 0)
		})
	})
}

// runNew runs a script in a new session.
func runNew(text string, disabled mechanism) string { return (&session{}).run(text, disabled) }

const warmUp = "new\n@1s warm\n@4s report\n"

// TestMechanismsAreNecessary checks that the last line of each script has the expected
// output, and that it does not have it while the mechanism under test is disabled.
func TestMechanismsAreNecessary(t *testing.T) {
	for name, c := range map[string]struct {
		off    mechanism
		script string
		want   string
	}{
		"one start per attempt":              {offRecords, warmUp + "arrive a/1\narrive a/1", "known a/1: running"},
		"tombstone of an attempt":            {offTombstones, warmUp + "query a/1 tombstone age=1s\narrive a/1", "refuse a/1: tombstone"},
		"tombstone of a request":             {offTombstones, warmUp + "query a/0 tombstone age=1s\narrive a/3", "refuse a/3: tombstone"},
		"one attempt of a request":           {offSingleAttempt, warmUp + "arrive a/1\narrive a/2", "refuse a/2: duplicate_attempt"},
		"deadline on arrival":                {offDeadline, warmUp + "arrive a/1 remaining=0s", "refuse a/1: deadline"},
		"deadline in the queue":              {offDeadline, "new\n@1s warm\narrive a/1\narrive b/1 remaining=1s\n@3s tick", "refuse b/1: deadline"},
		"weights on arrival":                 {offPinning, warmUp + "arrive a/1 weights=d0", "refuse a/1: weights_mismatch"},
		"weights while running":              {offPinning, warmUp + "arrive a/1\n@5s report digest=d2", "stop a/1: weights_changed"},
		"weights at the end":                 {offEndDigest, warmUp + "arrive a/1\nend a/1 weights=d2", "close a/1: unknown weights_changed"},
		"stale settings":                     {offStaleSettings, warmUp + "settings offset=9 relevant=5\narrive a/1 settings=4", "refuse a/1: stale_settings"},
		"zone evacuated":                     {offZoneEvacuated, warmUp + "settings offset=9 out\narrive a/1 settings=9", "refuse a/1: zone_out"},
		"leaving":                            {offLeaving, warmUp + "leave\narrive a/1", "refuse a/1: target_leaving"},
		"queue refused when the limit falls": {offRefuseQueued, "new\n@1s warm\n@2100ms arrive a/1\narrive b/1\narrive c/1\nend a/1 as=unknown fault=broke", "refuse c/1: cold_start"},
		"attempt older than the process":     {offRecordCheck, warmUp + "query a/1 tombstone age=10s", "known a/1: unheard"},
		"draining":                           {offPinning, warmUp + "drain\narrive a/1", "refuse a/1: no_weights"},
		"after a pause":                      {offPause, "new gap=3s\n@1s warm\n@3s tick\n@63s arrive a/1", "refuse a/1: settings_not_ready"},
		"deadline before sending":            {offDeadline, warmUp + "arrive a/1 remaining=1s\n@6s sendable a/1", `"deadline_expired"`},
		"weights before sending":             {offPinning, warmUp + "arrive a/1\nreport digest=d2\nsendable a/1", `"weights_mismatch"`},
		"lingering unit counts":              {offLingering, warmUp + "arrive a/1\nend a/1 as=unknown lingers=5s", "= running=1"},
		"limit":                              {offLimit, "new\n@1s warm\narrive a/1\narrive b/1", "= running=1 queued=1"},
		"work continues without a stream":    {offRunDetached, warmUp + "arrive a/1\ngone a/1\n@30s tick", "@30s tick\n  = running=1"},
	} {
		t.Run(name, func(t *testing.T) {
			if err := script.CheckMechanism(runNew, c.script, c.off, c.want); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestNoCreditsWithoutWeights checks that a target gives no credits while its engine's
// version is unknown, because it would refuse every attempt.
func TestNoCreditsWithoutWeights(t *testing.T) {
	s := &session{}
	s.run("new\n@1s report digest=\n", 0)
	if load := s.g.Load("e1"); load.Credits != 0 {
		t.Fatalf("Load().Credits = %d without weights, want 0", load.Credits)
	}
	s.run("@4s warm\n@8s report\n", 0)
	if load := s.g.Load("e1"); load.Credits == 0 {
		t.Fatal("Load().Credits = 0 with weights, want at least 1")
	}
}
