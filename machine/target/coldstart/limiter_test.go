package coldstart

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/target/internal/script"
)

var epoch = time.Unix(1_000_000, 0)

var testSettings = Settings{WarmLimit: 8, ColdLimit: 2, SlowStart: 6 * time.Second, ReportsLoad: true, StaleAfter: 3 * time.Second}

// session applies the lines of a scenario to a limiter.
type session struct {
	l  *Limiter
	at time.Duration
}

func (s *session) play(text string, off mechanism) string {
	lines, err := script.Parse(text, s.at)
	if err != nil {
		return err.Error()
	}
	var out strings.Builder
	for _, line := range lines {
		s.at = line.At
		s.playLine(&out, line, off)
	}
	return out.String()
}

func (s *session) playLine(out *strings.Builder, line script.Line, off mechanism) {
	now := epoch.Add(line.At)
	if line.Cmd == "new" {
		settings := testSettings
		settings.ReportsLoad = !line.Has("unreported")
		s.l = New(now, settings)
		s.l.off = off
	}
	for _, e := range lineEvents(line) {
		result := s.l.Step(now, e)
		if result.FallCause != "" {
			fmt.Fprintf(out, "  fell: %s\n", result.FallCause)
		}
		if result.IgnoredCause != "" {
			fmt.Fprintf(out, "  ignored: %s\n", result.IgnoredCause)
		}
	}
	fmt.Fprintf(out, "%s -> %s limit=%d running=%d\n", line.Text, s.l.Phase(), s.l.Limit(), s.l.Running())
}

func lineEvents(line script.Line) []Event {
	switch line.Cmd {
	case "report":
		return []Event{Report{
			Boot: line.String("boot", "b1"), Seq: uint64(line.Int("seq", 0)), Digest: contract.Digest(line.String("digest", "d1")),
			Warm: !line.Has("cold"), Running: line.Int("running", 0), Limit: line.Int("limit", 8), Age: line.Duration("age", 0),
		}}
	case "overloaded":
		return []Event{Overloaded{}}
	case "broke":
		return []Event{AnswerBroken{}}
	case "activated":
		return []Event{VersionActivated{}}
	case "tick":
		return []Event{Tick{}}
	case "configured":
		c := testSettings
		c.WarmLimit, c.ReportsLoad = line.Int("max", c.WarmLimit), !line.Has("unreported")
		return []Event{SettingsChanged{Settings: c}}
	}
	return unitEvents(line)
}

func unitEvents(line script.Line) []Event {
	var list []Event
	for _, name := range line.Names {
		id := contract.AttemptID{Request: contract.RequestID(name), N: 1}
		switch line.Cmd {
		case "sent":
			list = append(list, UnitSent{id})
		case "first":
			list = append(list, FirstTokenReceived{id})
		case "ended":
			list = append(list, UnitEnded{id})
		}
	}
	return list
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		s := &session{}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return s.play(d.Input, 0)
		})
	})
}

// playNew applies a scenario to a new limiter.
func playNew(text string, off mechanism) string { return (&session{}).play(text, off) }

const warmScenario = "new\n@1s report seq=1\n@7s report seq=2\n"

// baselineScenario gives the limiter a first-token delay of 10 ms as the baseline.
func baselineScenario() string {
	var b strings.Builder
	for i := range minSamples {
		at := 7000 + 20*i
		fmt.Fprintf(&b, "@%dms sent u%d\n@%dms first u%d\nended u%d\n", at, i, at+10, i, i)
	}
	return b.String()
}

// TestMechanisms checks that each scenario ends as expected, and that it no longer does
// when its mechanism is switched off.
func TestMechanisms(t *testing.T) {
	for name, c := range map[string]struct {
		off    mechanism
		script string
		want   string
	}{
		"restart":     {offRestart, "@1s new\n@1100ms report seq=1 age=500ms", "limit=0"},
		"foreign":     {offForeignUnits, "new\n@1s report seq=1 running=6 cold limit=2", "limit=2 running=6"},
		"boot":        {offBootChange, warmScenario + "report boot=b2 seq=1", "cold limit=2"},
		"digest":      {offDigestChange, warmScenario + "report digest=d2 seq=3", "cold limit=2"},
		"overloaded":  {offOverloaded, warmScenario + "sent a b c\noverloaded", "cold limit=2"},
		"broke":       {offAnswerBroken, warmScenario + "broke", "cold limit=2"},
		"first token": {offFirstToken, warmScenario + baselineScenario() + "@8s report seq=3\nsent a b\n@8300ms tick", "cold limit=2"},
		"slow start":  {offSlowStart, "new\n@1s report seq=1", "limit=2"},
		"order":       {offReportOrder, warmScenario + "report seq=2 limit=1", "limit=8"},
		"stale":       {offStale, warmScenario + "@11s tick", "limit=2"},
	} {
		t.Run(name, func(t *testing.T) {
			if err := script.CheckMechanism(playNew, c.script, c.off, c.want); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestLimitStaysWithinBoundsUnderRandomEvents checks that the limit stays within its
// bounds for all orders of events, also when the time goes back: it is 0 before a report
// that was taken after the process started, never above the limit of the newest accepted
// report, and at most ColdLimit until a warm report that was taken after the last fall.
func TestLimitStaysWithinBoundsUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(epoch, testSettings)
		now := epoch
		var warmSince, fellAt time.Time
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(-200, 1500).Draw(t, "ms")) * time.Millisecond)
			e := randomEvent(t)
			clock := later(l.clock, now)
			result := l.Step(now, e)
			if r, ok := e.(Report); ok && result.IgnoredCause != CauseReportOld && r.Warm {
				warmSince = later(warmSince, clock.Add(-r.Age))
			}
			if result.FallCause != "" && result.FallCause != CauseReportLowerLimit && result.FallCause != CauseReportStale {
				fellAt = clock
			}
			checkLimit(t, l, warmSince.After(fellAt) && warmSince.After(epoch))
		}
	})
}

func checkLimit(t *rapid.T, l *Limiter, mayRise bool) {
	limit := l.Limit()
	if limit < 0 || limit > testSettings.WarmLimit || (l.reports.hasReport && limit > l.reports.limit) {
		t.Fatalf("Limit() = %d with a reported limit of %d, want 0 or more and neither above WarmLimit nor above the reported limit", limit, l.reports.limit)
	}
	if l.Phase() == PhaseUnknown && limit != 0 {
		t.Fatalf("Limit() = %d before a report, want 0", limit)
	}
	if !mayRise && limit > testSettings.ColdLimit {
		t.Fatalf("Limit() = %d in phase %s without a warm report after the last fall, want at most ColdLimit", limit, l.Phase())
	}
	if l.Available() < 0 || l.Available()+l.Running() > max(limit, l.Running()) {
		t.Fatalf("Available() = %d with %d units running at limit %d, want 0 or more and no more than the limit leaves", l.Available(), l.Running(), limit)
	}
}

func randomEvent(t *rapid.T) Event {
	id := contract.AttemptID{Request: "u", N: uint32(rapid.IntRange(1, 6).Draw(t, "unit"))}
	switch rapid.IntRange(0, 8).Draw(t, "kind") {
	case 0:
		return UnitSent{id}
	case 1:
		return FirstTokenReceived{id}
	case 2:
		return UnitEnded{id}
	case 3:
		return Overloaded{}
	case 4:
		return AnswerBroken{}
	case 5:
		return Tick{}
	default:
		return Report{
			Boot: rapid.SampledFrom([]string{"", "b1", "b2", "b3"}).Draw(t, "boot"), Seq: uint64(rapid.IntRange(1, 30).Draw(t, "seq")),
			Digest: rapid.SampledFrom([]contract.Digest{"d1", "d2"}).Draw(t, "digest"), Warm: rapid.Bool().Draw(t, "warm"),
			Running: rapid.IntRange(-1, 9).Draw(t, "running"), Limit: rapid.IntRange(-1, 12).Draw(t, "limit"),
			Age: time.Duration(rapid.IntRange(-100, 3000).Draw(t, "age")) * time.Millisecond,
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
