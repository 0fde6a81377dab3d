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

// session drives one machine with the commands of a scenario file.
type session struct {
	m   *StateMachine
	now time.Duration
	out strings.Builder
}

func newSession(incarnation int, off mechanism) *session {
	s := &session{m: New(Config{Incarnation: contract.Incarnation(incarnation)}, rand.New(rand.NewPCG(1, 1)))}
	s.m.off = off
	return s
}

func (s *session) step(ev Event) {
	for _, e := range s.m.Step(s.now, ev) {
		if _, ok := e.(RequestReport); !ok {
			fmt.Fprintf(&s.out, "%v %s\n", s.now, show(e))
		}
	}
}

// wait lets time pass, with the ticks that the machine asks for.
func (s *session) wait(d time.Duration) {
	until := s.now + d
	for s.m.Next() <= until {
		s.now = s.m.Next()
		s.step(Tick{})
	}
	s.now = until
}

func show(e Effect) string {
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

// event makes the event of one line: a name, then words or key=value pairs.
func event(t *testing.T, line string) Event {
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
		return FenceAppended{Offset: contract.Offset(number(t, arg(1)))}
	case "fences":
		return fences(t, f[1:])
	case "report":
		return report(t, f[1:])
	case "ordered":
		return OrderEnded{ID: uint64(number(t, arg(1))), Result: results[arg(2)]}
	}
	t.Fatalf("unknown event %q", line)
	return nil
}

func number(t *testing.T, s string) int {
	t.Helper()
	n, err := strconv.Atoi(s)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// fences reads words such as 3:inc=1:at=5s, in the order of their offsets.
func fences(t *testing.T, words []string) Event {
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

// report reads boot=, seq=, digest=, age= and the word fencing.
func report(t *testing.T, words []string) Event {
	t.Helper()
	r := Report{Boot: "b1"}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		switch k {
		case "boot":
			r.Boot = v
		case "seq":
			r.Seq = uint64(number(t, v))
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

func TestSessions(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		var s *session
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				incarnation := 1
				d.MaybeScanArgs(t, "incarnation", &incarnation)
				s = newSession(incarnation, 0)
				return ""
			}
			s.out.Reset()
			for _, line := range strings.Split(d.Input, "\n") {
				s.line(t, line)
			}
			return s.out.String()
		})
	})
}

func (s *session) line(t *testing.T, line string) {
	t.Helper()
	if rest, ok := strings.CutPrefix(line, "wait "); ok {
		d, err := time.ParseDuration(rest)
		if err != nil {
			t.Fatal(err)
		}
		s.wait(d)
		return
	}
	s.step(event(t, line))
}
