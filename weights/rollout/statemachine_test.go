package rollout

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
)

// scenario drives the state machine of the member "me" in a zone with the members a to d.
type scenario struct {
	m   *StateMachine
	now time.Duration
	out strings.Builder
}

func (s *scenario) step(ev Event) {
	for _, e := range s.m.Step(s.now, ev) {
		if _, ok := e.(RequestStatus); !ok {
			name := strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", e), "rollout."))
			fmt.Fprintf(&s.out, "%v %s%v\n", s.now, name, e)
		}
	}
}

// parseStatus parses words such as active=v1, failed=v2, running=3 and out.
func parseStatus(t *testing.T, words []string) Status {
	t.Helper()
	st := Status{Serving: true, Limit: 10}
	for _, w := range words {
		k, v, _ := strings.Cut(w, "=")
		switch k {
		case "active":
			st.Active = contract.Digest(v)
		case "failed":
			st.Failed = contract.Digest(v)
		case "running":
			if _, err := fmt.Sscan(v, &st.Running); err != nil {
				t.Fatal(err)
			}
		case "out":
			st.Serving = false
		}
	}
	return st
}

// runLine executes one line of a scenario file.
func (s *scenario) runLine(t *testing.T, line string) {
	t.Helper()
	f := strings.Fields(line)
	switch f[0] {
	case "plan":
		p := Plan{Version: contract.Digest(f[1]), Members: []contract.MachineID{"me", "a", "b", "c", "d"}}
		if _, err := fmt.Sscan(f[2]+" "+f[3], &p.MinReady, &p.MaxFailures); err != nil {
			t.Fatal(err)
		}
		s.step(p)
	case "self":
		s.step(SelfStatus{parseStatus(t, f[1:])})
	case "asked":
		s.step(ReadyToChange{Version: contract.Digest(f[1])})
	case "answer":
		for _, name := range strings.Split(f[1], ",") {
			s.step(StatusReceived{From: contract.MachineID(name), Status: parseStatus(t, f[2:])})
		}
	case "wait":
		d, err := time.ParseDuration(f[1])
		if err != nil {
			t.Fatal(err)
		}
		for until := s.now + d; s.now < until; {
			s.now = min(s.m.Next(), until)
			s.step(Tick{})
		}
	default:
		t.Fatalf("unknown command in line %q", line)
	}
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/sessions", func(t *testing.T, path string) {
		var s *scenario
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "new" {
				s = &scenario{m: New(Config{Self: "me"})}
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
