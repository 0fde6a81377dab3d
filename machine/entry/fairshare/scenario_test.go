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

// session drives a queue from the commands of a scenario file.
type session struct {
	queue *Queue
	usage *Usage
	now   time.Time
	made  int
	last  Item
}

func newSession(off mechanism) *session {
	s := &session{queue: NewQueue(100), usage: NewUsage(), now: epoch}
	s.queue.off = off
	return s
}

func number(t *testing.T, d *datadriven.TestData, key string, otherwise int) int {
	n := otherwise
	d.MaybeScanArgs(t, key, &n)
	return n
}

func (s *session) run(t *testing.T, d *datadriven.TestData) string {
	name := contract.TeamName("")
	if len(d.CmdArgs) > 0 {
		name = contract.TeamName(d.CmdArgs[0].Key)
	}
	switch d.Cmd {
	case "limit":
		s.queue.SetLimit(number(t, d, "n", 0))
	case "push":
		return s.push(t, d, name)
	case "pop":
		return s.pop(number(t, d, "n", 1), string(name))
	case "return":
		s.queue.Requeue(s.last)
	case "remove":
		request := contract.RequestID(d.CmdArgs[1].Key)
		return fmt.Sprintf("%t\n", s.queue.Remove(name, request))
	case "wait":
		return fmt.Sprintf("%dms\n", s.queue.EstimateWait(s.now, name, 1).Milliseconds())
	case "sent":
		s.usage.RecordRequest(s.now, name, float64(number(t, d, "weight", 1)))
		s.usage.RecordTokens(s.now, name, uint32(number(t, d, "tokens", 0)))
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

func (s *session) push(t *testing.T, d *datadriven.TestData, name contract.TeamName) string {
	out := ""
	for range number(t, d, "n", 1) {
		s.made++
		item := Item{
			Request: contract.RequestID(fmt.Sprintf("%s%d", name, s.made)), Team: name,
			Weight: float64(number(t, d, "weight", 1)), Priority: int8(number(t, d, "priority", 0)),
			Tokens: uint32(number(t, d, "tokens", 10)),
		}
		if displaced, full := s.queue.Push(item); full {
			out += fmt.Sprintf("displaced %s\n", displaced.Request)
		}
	}
	return out + fmt.Sprintf("length %d\n", s.queue.Len())
}

// pop takes n items, and shows how many each team got and which came first.
func (s *session) pop(n int, skip string) string {
	counts := map[contract.TeamName]int{}
	first := ""
	for range n {
		item, ok := s.queue.Pop(s.now, func(i Item) bool { return skip == "n" || string(i.Team) != skip })
		if !ok {
			break
		}
		s.now = s.now.Add(10 * time.Millisecond)
		s.last = item
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

// TestScenarios compares the orders in testdata.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSession(0)
		datadriven.RunTest(t, path, s.run)
	})
}

// TestMechanisms runs the scenario of each mechanism with it off: the output
// differs from the one with it on.
func TestMechanisms(t *testing.T) {
	for name, off := range map[string]mechanism{"fair": offFairness, "push_out": offPushOut} {
		t.Run(name, func(t *testing.T) {
			same := true
			s := newSession(off)
			datadriven.RunTest(t, "testdata/"+name+".txt", func(t *testing.T, d *datadriven.TestData) string {
				same = s.run(t, d) == d.Expected && same
				return d.Expected
			})
			if same {
				t.Fatalf("nothing changes without %s", name)
			}
		})
	}
}

// TestShares checks on random backlogs that no team gets less than its share of
// the tokens but for one item, and that every item comes out once.
func TestShares(t *testing.T) {
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
				t.Fatalf("item %q again or none", item.Request)
			}
			seen[item.Request] = true
			served[item.Team] += float64(item.Tokens) / item.Weight
		}
		for a := range weights {
			for b := range weights {
				if served[a] > served[b]+50 {
					t.Fatalf("%s got %.0f and %s %.0f tokens by weight", a, served[a], b, served[b])
				}
			}
		}
	})
}
