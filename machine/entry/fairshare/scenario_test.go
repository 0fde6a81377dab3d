package fairshare

import (
	"fmt"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"mimosastand.example/mimosastand/contract"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scenario applies the commands of a scenario file to a queue.
type scenario struct {
	queue      *Queue
	usage      *Usage
	now        time.Time
	pushed     int
	lastPopped Item
}

func newScenario(disabled mechanism) *scenario {
	s := &scenario{queue: NewQueue(100), usage: NewUsage(), now: epoch}
	s.queue.disabled = disabled
	return s
}

// intArg returns the integer argument with this key, or fallback without one.
func intArg(t *testing.T, d *datadriven.TestData, key string, fallback int) int {
	n := fallback
	d.MaybeScanArgs(t, key, &n)
	return n
}

// runCommand executes one command and returns its output.
func (s *scenario) runCommand(t *testing.T, d *datadriven.TestData) string {
	name := contract.TeamName("")
	if len(d.CmdArgs) > 0 {
		name = contract.TeamName(d.CmdArgs[0].Key)
	}
	switch d.Cmd {
	case "limit":
		s.queue.SetLimit(intArg(t, d, "n", 0))
	case "push":
		return s.push(t, d, name)
	case "pop":
		return s.pop(intArg(t, d, "n", 1), string(name))
	case "return":
		s.queue.Requeue(s.lastPopped)
	case "remove":
		request := contract.RequestID(d.CmdArgs[1].Key)
		return fmt.Sprintf("%t\n", s.queue.Remove(name, request))
	case "wait":
		return fmt.Sprintf("%dms\n", s.queue.EstimateWait(s.now, name, 1).Milliseconds())
	case "sent":
		s.usage.RecordRequest(s.now, name, float64(intArg(t, d, "weight", 1)))
		s.usage.RecordTokens(s.now, name, uint32(intArg(t, d, "tokens", 0)))
	case "headroom":
		return fmt.Sprintf("%d\n", s.usage.HeadroomDivisor(s.now, name))
	case "advance":
		dur, _ := time.ParseDuration(string(name))
		s.now = s.now.Add(dur)
	default:
		t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return "ok\n"
}

func (s *scenario) push(t *testing.T, d *datadriven.TestData, name contract.TeamName) string {
	out := ""
	for range intArg(t, d, "n", 1) {
		s.pushed++
		item := Item{
			Request: contract.RequestID(fmt.Sprintf("%s%d", name, s.pushed)), Team: name,
			Weight: float64(intArg(t, d, "weight", 1)), Priority: int8(intArg(t, d, "priority", 0)),
			Tokens: uint32(intArg(t, d, "tokens", 10)),
		}
		if displaced, full := s.queue.Push(item); full {
			out += fmt.Sprintf("displaced %s\n", displaced.Request)
		}
	}
	return out + fmt.Sprintf("length %d\n", s.queue.Len())
}

// pop pops up to n items, skipping those of the team skip, and returns how many items each
// team got and which item came first. Without a team, skip is "n", the key of the first
// argument.
func (s *scenario) pop(n int, skip string) string {
	counts := map[contract.TeamName]int{}
	first := ""
	for range n {
		item, ok := s.queue.Pop(s.now, func(i Item) bool { return skip == "n" || string(i.Team) != skip })
		if !ok {
			break
		}
		s.now = s.now.Add(10 * time.Millisecond)
		s.lastPopped = item
		counts[item.Team]++
		if first == "" {
			first = string(item.Request)
		}
	}
	var list []string
	for name, count := range counts {
		list = append(list, fmt.Sprintf("%s x%d", name, count))
	}
	sort.Strings(list)
	return fmt.Sprintf("%s; first %s\n", strings.Join(list, ", "), first)
}

// TestScenarios compares the output of the scenarios in testdata.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScenario(0)
		datadriven.RunTest(t, path, s.runCommand)
	})
}

// TestDisabledMechanismChangesScenario checks that the scenario of each mechanism fails
// without it: with the mechanism disabled, some output differs from the expected one.
func TestDisabledMechanismChangesScenario(t *testing.T) {
	for name, disabled := range map[string]mechanism{"fair": disableFairness, "push_out": disablePushOut} {
		t.Run(name, func(t *testing.T) {
			unchanged := true
			s := newScenario(disabled)
			datadriven.RunTest(t, "testdata/"+name+".txt", func(t *testing.T, d *datadriven.TestData) string {
				unchanged = s.runCommand(t, d) == d.Expected && unchanged
				return d.Expected
			})
			if unchanged {
				t.Fatalf("output of scenario %s is as expected with its mechanism disabled, want a difference", name)
			}
		})
	}
}

// TestPopSharesTokensByWeight checks on random backlogs that no team gets less than its share
// of the tokens by more than one item, and that each Pop returns another item.
func TestPopSharesTokensByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(1000)
		weights := map[contract.TeamName]float64{}
		for i := range rapid.IntRange(2, 6).Draw(t, "teams") {
			name := contract.TeamName(fmt.Sprintf("t%d", i))
			weights[name] = float64(rapid.IntRange(1, 4).Draw(t, "weight"))
			for j := range 100 {
				tokens := rapid.IntRange(1, 50).Draw(t, "tokens")
				q.Push(Item{Request: contract.RequestID(fmt.Sprintf("%s-%d", name, j)), Team: name, Weight: weights[name], Tokens: uint32(tokens)})
			}
		}
		seen := map[contract.RequestID]bool{}
		served := map[contract.TeamName]float64{}
		for range 60 {
			item, ok := q.Pop(epoch, func(Item) bool { return true })
			if !ok || seen[item.Request] {
				t.Fatalf("Pop() = %q, want an item that was not popped before", item.Request)
			}
			seen[item.Request] = true
			served[item.Team] += float64(item.Tokens) / item.Weight
		}
		for a := range weights {
			for b := range weights {
				if served[a] > served[b]+50 {
					t.Fatalf("tokens served by weight: %s %.0f, %s %.0f, want a difference of at most 50", a, served[a], b, served[b])
				}
			}
		}
	})
}
