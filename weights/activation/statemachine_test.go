package activation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
)

// scenario drives one state machine with the commands of a scenario file.
type scenario struct {
	m   *StateMachine
	now time.Duration
	out strings.Builder
}

func newScenario(incarnation int, off mechanism) *scenario {
	s := &scenario{m: New(Config{Incarnation: contract.Incarnation(incarnation)}, rand.New(rand.NewPCG(1, 1)))}
	s.m.disabled = off
	return s
}

func (s *scenario) step(ev Event) {
	for _, e := range s.m.Step(s.now, ev) {
		if _, ok := e.(RequestReport); !ok {
			fmt.Fprintf(&s.out, "%v %s\n", s.now, formatEffect(e))
		}
	}
}

// wait advances the time by d and steps the Ticks that are due.
func (s *scenario) wait(d time.Duration) {
	until := s.now + d
	for s.m.Next() <= until {
		s.now = s.m.Next()
		s.step(Tick{})
	}
	s.now = until
}

// formatEffect returns e as scenario files show it.
func formatEffect(e Effect) string {
	switch e := e.(type) {
	case SendOrder:
		return fmt.Sprintf("order %d fence=%d %s not-after=%v", e.ID, e.Fence, e.Version, e.NotAfter)
	case Active:
		return fmt.Sprintf("active %q", e.Version)
	case Failed:
		return fmt.Sprintf("failed %s %s", e.Version, e.Reason)
	case Note:
		return "note " + string(e.Kind)
	default:
		return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T%v", e, e), "activation."))
	}
}

var results = map[string]Result{
	"done": ResultDone, "down": ResultUnavailable, "lost": ResultUncertain, "fenced": ResultFenced,
	"not-whole": ResultIncomplete, "corrupt": ResultCorrupt, "expired": ResultExpired,
}

// parseEvent parses one line: a name, then words or key=value pairs.
func parseEvent(t *testing.T, line string) Event {
	t.Helper()
	f := strings.Fields(line)
	arg := func(i int) string {
		if i < len(f) {
			return f[i]
		}
		return ""
	}
	switch f[0] {
	case "want":
		return DeploymentChanged{Deployment{Version: contract.Digest(arg(1)), Role: arg(2)}}
	case "held":
		return VersionVerified{Version: contract.Digest(arg(1))}
	case "staged":
		return StageEnded{Version: contract.Digest(arg(1)), Result: results[arg(2)]}
	case "turn":
		return TurnChanged{Version: contract.Digest(arg(1)), Granted: arg(2) != "no"}
	case "drained":
		return Drained{}
	case "appended":
		return FenceAppended{Offset: contract.Offset(parseInt(t, arg(1)))}
	case "fences":
		return parseFences(t, f[1:])
	case "report":
		return parseReport(t, f[1:])
	case "ordered":
		return OrderEnded{ID: uint64(parseInt(t, arg(1))), Result: results[arg(2)]}
	}
	t.Fatalf("unknown event %q", line)
	return nil
}

func parseInt(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// parseFences parses words such as 3:inc=1:at=5s, in the order of their offsets.
func parseFences(t *testing.T, words []string) Event {
	t.Helper()
	e := FencesRead{}
	for _, w := range words {
		switch w {
		case "trimmed":
			e.Trimmed = true
			continue
		case "failed":
			e.Failed = true
			continue
		}
		var offset, incarnation int
		var at string
		if _, err := fmt.Sscanf(strings.ReplaceAll(w, ":", " "), "%d inc=%d at=%s", &offset, &incarnation, &at); err != nil {
			t.Fatal(w, err)
		}
		d, err := time.ParseDuration(at)
		if err != nil {
			t.Fatal(err)
		}
		e.Records = append(e.Records, FenceRecord{
			Offset: contract.Offset(offset), Incarnation: contract.Incarnation(incarnation),
			Lease: DefaultLease, Time: time.Unix(0, 0).Add(d),
		})
	}
	return e
}

// parseReport parses boot=, seq=, digest=, age= and the word fencing.
func parseReport(t *testing.T, words []string) Event {
	t.Helper()
	r := Report{Boot: "b1"}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		switch k {
		case "boot":
			r.Boot = v
		case "seq":
			r.Seq = uint64(parseInt(t, v))
		case "digest":
			r.Digest = contract.Digest(v)
		case "fencing":
			r.Fencing = true
		case "age":
			d, err := time.ParseDuration(v)
			if err != nil {
				t.Fatal(err)
			}
			r.Age = d
		}
	}
	return ReportReceived{r}
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		var s *scenario
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				incarnation := 1
				d.MaybeScanArgs(t, "incarnation", &incarnation)
				s = newScenario(incarnation, 0)
				return ""
			}
			s.out.Reset()
			for _, line := range strings.Split(d.Input, "\n") {
				s.runLine(t, line)
			}
			return s.out.String()
		})
	})
}

// runLine executes one line of a scenario file.
func (s *scenario) runLine(t *testing.T, line string) {
	t.Helper()
	if rest, ok := strings.CutPrefix(line, "wait "); ok {
		d, err := time.ParseDuration(rest)
		if err != nil {
			t.Fatal(err)
		}
		s.wait(d)
		return
	}
	s.step(parseEvent(t, line))
}
