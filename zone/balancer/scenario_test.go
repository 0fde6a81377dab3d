package balancer

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/zone/ejection"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// scenario applies the commands of a scenario file to a pool.
type scenario struct {
	t     *testing.T
	pool  *Pool
	now   time.Time
	rules map[Place]Rules
	spill bool
}

func newScenario(t *testing.T, off mechanism) *scenario {
	s := &scenario{t: t, now: epoch, rules: map[Place]Rules{}, spill: true}
	s.pool = NewPool(place("khomas-a"), rand.New(rand.NewPCG(3, 4)))
	s.pool.disabled = off
	return s
}

// place returns the place of a zone, whose region is the first part of the zone's name.
func place(zone string) Place {
	region, _, _ := strings.Cut(zone, "-")
	return Place{Region: contract.RegionName(region), Zone: contract.ZoneName(zone)}
}

func (s *scenario) runCommand(d *datadriven.TestData) string {
	id := contract.MachineID("")
	if len(d.CmdArgs) > 0 {
		id = contract.MachineID(d.CmdArgs[0].Key)
	}
	switch d.Cmd {
	case "members":
		s.setMembers(d.Input)
	case "rules":
		s.setRules(d)
	case "up":
		s.pool.LinkUp(s.now, id, d.HasArg("returning"))
	case "down":
		s.pool.LinkDown(s.now, id)
	case "load":
		return s.reportLoad(id, d)
	case "sent":
		s.pool.Sent(s.now, id)
	case "acked":
		s.pool.Acked(id)
	case "ended":
		s.pool.Ended(id, d.HasArg("acked"))
	case "failed":
		cause := ejection.Failed
		if d.HasArg("silent") {
			cause = ejection.Silent
		}
		return fmt.Sprintf("ejected=%t\n", s.pool.Failed(s.now, id, cause))
	case "answered":
		s.pool.Answered(s.now, id, time.Duration(uintArg(s.t, d, "ms"))*time.Millisecond)
	case "advance":
		dur, _ := time.ParseDuration(string(id))
		s.now = s.now.Add(dur)
	case "pick":
		return s.runPick(d)
	default:
		s.t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return "ok\n"
}

func uintArg(t *testing.T, d *datadriven.TestData, key string) uint64 {
	var n uint64
	d.MaybeScanArgs(t, key, &n)
	return n
}

func stringArg(t *testing.T, d *datadriven.TestData, key string) string {
	v := ""
	d.MaybeScanArgs(t, key, &v)
	return v
}

func (s *scenario) setMembers(text string) {
	var list []Member
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		f := append(strings.Fields(line), "")
		list = append(list, Member{Machine: contract.MachineID(f[0]), Place: place(f[1]), Leaving: f[2] == "leaving"})
	}
	s.pool.SetMembers(s.now, list)
	for _, m := range list {
		s.pool.LinkUp(s.now, m.Machine, false)
	}
}

// setRules sets the rules of all zones from the arguments "out=(zone,zone)", "nospill",
// "weights" and "former".
func (s *scenario) setRules(d *datadriven.TestData) {
	rules := map[Place]Rules{}
	for _, zone := range []string{"khomas-a", "khomas-b", "erongo-a"} {
		rules[place(zone)] = Rules{
			ColdLimit: 2, SlowStart: 10 * time.Second,
			Weights: contract.Digest(stringArg(s.t, d, "weights")), Previous: contract.Digest(stringArg(s.t, d, "former")),
		}
	}
	for _, arg := range d.CmdArgs {
		if arg.Key != "out" {
			continue
		}
		for _, zone := range arg.Vals {
			r := rules[place(zone)]
			r.Evacuated = true
			rules[place(zone)] = r
		}
	}
	s.pool.SetRules(s.now, rules, !d.HasArg("nospill"))
}

// reportLoad reports a load to the pool and returns the result.
func (s *scenario) reportLoad(id contract.MachineID, d *datadriven.TestData) string {
	load := contract.Load{
		Running: uint32(uintArg(s.t, d, "running")), Limit: uint32(uintArg(s.t, d, "limit")),
		Credits: uint32(uintArg(s.t, d, "credits")), Seq: uintArg(s.t, d, "seq"), Leaving: d.HasArg("leaving"),
		Weights: contract.Digest(stringArg(s.t, d, "has")),
	}
	results := [...]string{"taken", "outdated", "unlisted", "contradictory"}
	return results[s.pool.Report(s.now, id, contract.Incarnation(max(1, uintArg(s.t, d, "inc"))), load)] + "\n"
}

// runPick picks n times and returns the counts by target. It sends each attempt, unless
// "dry" is given.
func (s *scenario) runPick(d *datadriven.TestData) string {
	counts := map[string]int{}
	for range max(1, uintArg(s.t, d, "n")) {
		req := Requirements{Pinned: contract.Digest(stringArg(s.t, d, "pinned")), Prefix: uintArg(s.t, d, "prefix"), Bytes: int(uintArg(s.t, d, "bytes")), HeadroomDivisor: uint32(uintArg(s.t, d, "headroom"))}
		choice, reason, ok := s.pool.Pick(s.now, req)
		if !ok {
			counts["none: "+string(reason)]++
			continue
		}
		if !d.HasArg("dry") {
			s.pool.Sent(s.now, choice.Machine)
		}
		counts[string(choice.Machine)]++
	}
	lines := make([]string, 0, len(counts))
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("%s x%d", name, n))
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n") + "\n"
}

// TestScenarios runs the scenarios in testdata and compares their output.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newScenario(t, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.runCommand(d)
		})
	})
}

// TestMechanismsAffectScenarios checks that each mechanism is covered by a scenario,
// whose output differs if the mechanism is switched off.
func TestMechanismsAffectScenarios(t *testing.T) {
	cases := map[string]mechanism{
		"zone_gate": offEvacuation, "leaving": offLeaving, "credits": offCredits, "ramp": offRamp,
		"lag": offInFlightCorrection, "spill_budget": offSpillBudget, "report_order": offReportOrder,
		"prefix": offPrefixBound, "headroom": offHeadroom, "versions": offVersions,
		"ejection": offEjection, "slow": offEjection,
	}
	for name, off := range cases {
		t.Run(name, func(t *testing.T) {
			same := true
			s := newScenario(t, off)
			datadriven.RunTest(t, "testdata/"+name+".txt", func(t *testing.T, d *datadriven.TestData) string {
				s.t = t
				same = s.runCommand(d) == d.Expected && same
				return d.Expected
			})
			if same {
				t.Fatalf("output of scenario %s is the same without its mechanism, want a difference", name)
			}
		})
	}
}

// TestSubsetCoversAllTargets checks that every target of a zone has links, and that the
// removal of one entry moves only the links of that entry.
func TestSubsetCoversAllTargets(t *testing.T) {
	var entries []Entry
	var targets []Member
	for i := range 20 {
		entries = append(entries, Entry{Machine: contract.MachineID(fmt.Sprintf("e%d", i)), Place: place("khomas-a")})
	}
	for i := range 150 {
		targets = append(targets, Member{Machine: contract.MachineID(fmt.Sprintf("t%d", i)), Place: place("khomas-a")})
	}
	before := linksByTarget(entries, targets)
	after := linksByTarget(entries[1:], targets)
	for _, m := range targets {
		if len(before[m.Machine]) < EntriesPerTarget {
			t.Fatalf("target %s has links to %d entries, want at least 2", m.Machine, len(before[m.Machine]))
		}
		for id := range before[m.Machine] {
			if id != "e0" && !after[m.Machine][id] {
				t.Fatalf("entry %s lost its link to %s, want it retained", id, m.Machine)
			}
		}
	}
}

// linksByTarget returns the entries with links to each target.
func linksByTarget(entries []Entry, targets []Member) map[contract.MachineID]map[contract.MachineID]bool {
	links := map[contract.MachineID]map[contract.MachineID]bool{}
	for _, e := range entries {
		for _, m := range Subset(e, entries, targets) {
			if links[m.Machine] == nil {
				links[m.Machine] = map[contract.MachineID]bool{}
			}
			links[m.Machine][e.Machine] = true
		}
	}
	return links
}
