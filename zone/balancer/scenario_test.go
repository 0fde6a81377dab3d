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

// session drives a pool from the commands of a scenario file.
type session struct {
	t     *testing.T
	pool  *Pool
	now   time.Time
	rules map[Place]Rules
	spill bool
}

func newSession(t *testing.T, off mechanism) *session {
	s := &session{t: t, now: epoch, rules: map[Place]Rules{}, spill: true}
	s.pool = NewPool(place("khomas-a"), rand.New(rand.NewPCG(3, 4)))
	s.pool.off = off
	return s
}

// place has the region that the zone's name begins with.
func place(zone string) Place {
	region, _, _ := strings.Cut(zone, "-")
	return Place{Region: contract.RegionName(region), Zone: contract.ZoneName(zone)}
}

func (s *session) run(d *datadriven.TestData) string {
	id := contract.MachineID("")
	if len(d.CmdArgs) > 0 {
		id = contract.MachineID(d.CmdArgs[0].Key)
	}
	switch d.Cmd {
	case "members":
		s.members(d.Input)
	case "rules":
		s.setRules(d)
	case "up":
		s.pool.LinkUp(s.now, id, d.HasArg("returning"))
	case "down":
		s.pool.LinkDown(s.now, id)
	case "load":
		return s.load(id, d)
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
		s.pool.Answered(s.now, id, time.Duration(number(s.t, d, "ms"))*time.Millisecond)
	case "advance":
		dur, _ := time.ParseDuration(string(id))
		s.now = s.now.Add(dur)
	case "pick":
		return s.pick(d)
	default:
		s.t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
	}
	return "ok\n"
}

func number(t *testing.T, d *datadriven.TestData, key string) uint64 {
	var n uint64
	d.MaybeScanArgs(t, key, &n)
	return n
}

func text(t *testing.T, d *datadriven.TestData, key string) string {
	v := ""
	d.MaybeScanArgs(t, key, &v)
	return v
}

func (s *session) members(text string) {
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

// setRules takes "out=(zone,zone)", "nospill", "weights" and "former" for all zones.
func (s *session) setRules(d *datadriven.TestData) {
	rules := map[Place]Rules{}
	for _, zone := range []string{"khomas-a", "khomas-b", "erongo-a"} {
		rules[place(zone)] = Rules{
			ColdLimit: 2, SlowStart: 10 * time.Second,
			Weights: contract.Digest(text(s.t, d, "weights")), Previous: contract.Digest(text(s.t, d, "former")),
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

func (s *session) load(id contract.MachineID, d *datadriven.TestData) string {
	load := contract.Load{
		Running: uint32(number(s.t, d, "running")), Limit: uint32(number(s.t, d, "limit")),
		Credits: uint32(number(s.t, d, "credits")), Seq: number(s.t, d, "seq"), Leaving: d.HasArg("leaving"),
		Weights: contract.Digest(text(s.t, d, "has")),
	}
	fates := [...]string{"taken", "outdated", "unlisted", "contradictory"}
	return fates[s.pool.Report(s.now, id, contract.Incarnation(max(1, number(s.t, d, "inc"))), load)] + "\n"
}

// pick chooses n times, sending each attempt, and shows the counts.
func (s *session) pick(d *datadriven.TestData) string {
	counts := map[string]int{}
	for range max(1, number(s.t, d, "n")) {
		want := Requirements{Pinned: contract.Digest(text(s.t, d, "pinned")), Prefix: number(s.t, d, "prefix"), Bytes: int(number(s.t, d, "bytes")), Headroom: uint32(number(s.t, d, "headroom"))}
		choice, reason, ok := s.pool.Pick(s.now, want)
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

// TestScenarios compares the choices in testdata.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newSession(t, 0)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			s.t = t
			return s.run(d)
		})
	})
}

// TestMechanisms runs one scenario for each mechanism with it on and off: on it
// passes, off its output differs.
func TestMechanisms(t *testing.T) {
	cases := map[string]mechanism{
		"zone_gate": offZoneGate, "leaving": offLeaving, "credits": offCredits, "ramp": offRamp,
		"lag": offLagCorrection, "spill_budget": offSpillBudget, "report_order": offReportOrder,
		"prefix": offPrefixBound, "headroom": offHeadroom, "versions": offVersions,
		"ejection": offEjection, "slow": offEjection,
	}
	for name, off := range cases {
		t.Run(name, func(t *testing.T) {
			same := true
			s := newSession(t, off)
			datadriven.RunTest(t, "testdata/"+name+".txt", func(t *testing.T, d *datadriven.TestData) string {
				s.t = t
				same = s.run(d) == d.Expected && same
				return d.Expected
			})
			if same {
				t.Fatalf("nothing changes without %s", name)
			}
		})
	}
}

// TestSubsetCoversAll checks that no target of a zone is forgotten and that the
// end of one entry moves only its own links.
func TestSubsetCoversAll(t *testing.T) {
	var entries []Entry
	var targets []Member
	for i := range 20 {
		entries = append(entries, Entry{Machine: contract.MachineID(fmt.Sprintf("e%d", i)), Place: place("khomas-a")})
	}
	for i := range 150 {
		targets = append(targets, Member{Machine: contract.MachineID(fmt.Sprintf("t%d", i)), Place: place("khomas-a")})
	}
	before := known(entries, targets)
	after := known(entries[1:], targets)
	for _, m := range targets {
		if len(before[m.Machine]) < EntriesPerTarget {
			t.Fatalf("%s is known by %d entries", m.Machine, len(before[m.Machine]))
		}
		for id := range before[m.Machine] {
			if id != "e0" && !after[m.Machine][id] {
				t.Fatalf("%s lost its link to %s", id, m.Machine)
			}
		}
	}
}

func known(entries []Entry, targets []Member) map[contract.MachineID]map[contract.MachineID]bool {
	by := map[contract.MachineID]map[contract.MachineID]bool{}
	for _, e := range entries {
		for _, m := range Subset(e, entries, targets) {
			if by[m.Machine] == nil {
				by[m.Machine] = map[contract.MachineID]bool{}
			}
			by[m.Machine][e.Machine] = true
		}
	}
	return by
}
