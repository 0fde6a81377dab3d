package swarm_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	bench "mimosastand.example/mimosastand/bench/weights"
	"mimosastand.example/mimosastand/weights/swarm"
)

// params returns a small run: 32 MiB in 128 chunks, 256 KiB each.
func params(hosts, regions int, off ...swarm.Mechanism) bench.Params {
	p := bench.DefaultParams(hosts, regions, 1)
	p.CopyBytes, p.ChunkBytes = 32<<20, 256<<10
	p.Limit = 10 * time.Minute
	p.Prepare = func(s *swarm.Swarm) { s.Disable(off...) }
	return p
}

// command carries out one line of a scenario: a time, a verb and numbers.
func command(t *testing.T, f *bench.Fleet, line string) {
	t.Helper()
	words := strings.Fields(line)
	at, err := time.ParseDuration(words[0])
	if err != nil {
		t.Fatal(err)
	}
	var n, m int
	if len(words) > 2 {
		if _, err := fmt.Sscan(strings.Join(words[2:], " ")+" 0", &n, &m); err != nil {
			t.Fatal(err)
		}
	}
	verbs := map[string]func(){
		"kill": func() { f.Kill(n) }, "silence": func() { f.Silence(n) }, "replace": func() { f.Replace(n) },
		"lie": func() { f.Lie(n) }, "boast": func() { f.Boast(n) }, "slow": func() { f.Slow(n, float64(m)) },
		"origin-down": func() { f.Origin(false) }, "origin-up": func() { f.Origin(true) },
		"cut": func() { f.Cut(n, true) }, "heal": func() { f.Cut(n, false) }, "change": f.Change,
	}
	if verbs[words[1]] == nil {
		t.Fatalf("unknown verb %q", words[1])
	}
	f.At(at, verbs[words[1]])
}

func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			hosts, regions, seconds := 12, 1, 600
			d.MaybeScanArgs(t, "hosts", &hosts)
			d.MaybeScanArgs(t, "regions", &regions)
			d.MaybeScanArgs(t, "limit", &seconds)
			f := bench.NewFleet(params(hosts, regions))
			for _, line := range strings.Split(d.Input, "\n") {
				command(t, f, line)
			}
			return show(f, f.Run(time.Duration(seconds)*time.Second), regions)
		})
	})
}

func show(f *bench.Fleet, r bench.Result, regions int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "done=%v time=%.1fs bound=%.2f origin=%.2f copies, busiest region link=%.2f\n",
		r.Done, r.Time.Seconds(), r.Ratio, r.OriginCopies, r.RegionCopies)
	for i := range regions {
		fmt.Fprintf(&b, "region %d: %d whole\n", i, f.Finished(i))
	}
	for _, k := range slices.Sorted(maps.Keys(r.Notes)) {
		fmt.Fprintf(&b, "%s %d\n", k, r.Notes[k])
	}
	return b.String()
}

// TestMechanismsMatter runs each history with the mechanism on, where the
// promise holds, and off, where it does not.
func TestMechanismsMatter(t *testing.T) {
	const limit = 120 * time.Second
	within := func(ratio float64) func(*bench.Fleet, bench.Result) bool {
		return func(_ *bench.Fleet, r bench.Result) bool { return r.Done && r.Ratio <= ratio }
	}
	for _, c := range []struct {
		name    string
		off     swarm.Mechanism
		hosts   int
		regions int
		faults  []string
		budget  int
		change  func(*bench.Params)
		holds   func(*bench.Fleet, bench.Result) bool
	}{
		{name: "a silent slot holder is taken over", off: swarm.MechTakeOver, hosts: 24, regions: 1,
			faults: []string{"1.5s silence 3", "1.5s silence 4", "1.5s silence 5"}, holds: within(10)},
		{name: "a silent source is dropped", off: swarm.MechStall, hosts: 24, regions: 1,
			faults: silence(2, 12), holds: within(12)},
		{name: "one copy leaves the origin", off: swarm.MechSlots, hosts: 24, regions: 1,
			holds: func(_ *bench.Fleet, r bench.Result) bool { return r.Done && r.OriginCopies <= 1.1 }},
		{name: "a liar is not asked again and again", off: swarm.MechTrust, hosts: 24, regions: 1,
			faults: []string{"0s lie 2", "0s lie 3"},
			holds:  func(_ *bench.Fleet, r bench.Result) bool { return r.Done && r.Notes[swarm.NoteCorrupt] <= 24*2*4 }},
		{name: "a replaced host is not asked for what it held", off: swarm.MechEpoch, hosts: 24, regions: 1,
			faults: []string{"5s replace 7", "9s replace 9"},
			holds:  func(_ *bench.Fleet, r bench.Result) bool { return r.Done && r.Notes[swarm.NoteMissing] == 0 }},
		{name: "uploads are bounded", off: swarm.MechUploadBound, hosts: 24, regions: 1,
			holds: func(f *bench.Fleet, r bench.Result) bool { return r.Done && f.MostServed() <= 12 }},
		{name: "a withdrawn version is not drawn", off: swarm.MechWithdraw, hosts: 24, regions: 1,
			faults: []string{"3s change"},
			holds:  func(f *bench.Fleet, r bench.Result) bool { return r.Done && f.Sent() < 24*(32<<20)*3/2 }},
		{name: "late chunks get a second source", off: swarm.MechEndgame, hosts: 24, regions: 1,
			faults: []string{"6.5s slow 3 100", "6.5s slow 4 100", "6.5s slow 5 100"},
			change: func(p *bench.Params) { p.Swarm.StallTimeout = time.Hour }, holds: within(3)},
		{name: "weights keep to the budget", off: swarm.MechBudget, hosts: 24, regions: 1, budget: 1 << 20,
			holds: func(f *bench.Fleet, r bench.Result) bool {
				return r.Done && float64(f.Sent()) <= 24*(1<<20)*r.Time.Seconds()
			}},
		{name: "announcements are bounded", off: swarm.MechControlBound, hosts: 24, regions: 1,
			change: func(p *bench.Params) { p.Swarm.ControlBytes = 100 },
			holds:  func(_ *bench.Fleet, r bench.Result) bool { return r.Done && r.Control < 30_000 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, off := range []swarm.Mechanism{0, c.off} {
				p := params(c.hosts, c.regions, off)
				if c.change != nil {
					c.change(&p)
				}
				f := bench.NewFleet(p)
				f.Budget(swarm.Budget{Upload: c.budget})
				for _, line := range c.faults {
					command(t, f, line)
				}
				r := f.Run(limit)
				if c.holds(f, r) != (off == 0) {
					t.Errorf("switched off: %v, holds: %v, %+v", off != 0, off == 0, r)
				}
			}
		})
	}
}

// silence lists the faults that silence the hosts first to last.
func silence(first, last int) []string {
	var out []string
	for i := first; i <= last; i++ {
		out = append(out, fmt.Sprintf("4s silence %d", i))
	}
	return out
}

// TestEveryLivingHostGetsTheVersion draws random faults that leave one path to
// every chunk, and checks that all get the version and origin copies stay few.
func TestEveryLivingHostGetsTheVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(4, 24).Draw(t, "hosts")
		regions := rapid.IntRange(1, 3).Draw(t, "regions")
		seed := rapid.Uint64().Draw(t, "seed")
		corrupt := rapid.Float64Range(0, 0.1).Draw(t, "corrupt")
		faults := rapid.IntRange(0, 6).Draw(t, "faults")
		if r := runWithFaults(hosts, regions, seed, corrupt, faults); !r.Done || r.OriginCopies > 8 {
			t.Fatalf("%+v", r)
		}
	})
}

// TestOneHostSlowedThreeTimes runs a history whose faults slow the same host
// three times: its link has a twentieth of its rate, as after the first.
func TestOneHostSlowedThreeTimes(t *testing.T) {
	if r := runWithFaults(6, 1, 0x2d, 0.1, 6); !r.Done || r.OriginCopies > 8 {
		t.Fatalf("%+v", r)
	}
}

func runWithFaults(hosts, regions int, seed uint64, corrupt float64, faults int) bench.Result {
	p := params(hosts, regions)
	p.CopyBytes, p.ChunkBytes = 8<<20, 128<<10
	p.Seed = seed
	p.Corrupt = corrupt
	f := bench.NewFleet(p)
	rng := rand.New(rand.NewPCG(seed, 1))
	for range faults {
		randomFault(f, rng, hosts, regions)
	}
	return f.Run(p.Limit)
}

func randomFault(f *bench.Fleet, rng *rand.Rand, hosts, regions int) {
	at := time.Duration(rng.Int64N(int64(8 * time.Second)))
	later := at + time.Duration(rng.Int64N(int64(20*time.Second)))
	i := rng.IntN(hosts)
	switch rng.IntN(7) {
	case 0:
		f.At(at, func() { f.Kill(i) })
		f.At(later, func() { f.Replace(i) })
	case 1:
		f.At(at, func() { f.Silence(i) })
	case 2:
		f.At(at, func() { f.Slow(i, 20) })
	case 3:
		f.At(at, func() { f.Origin(false) })
		f.At(later, func() { f.Origin(true) })
	case 4:
		f.At(at, func() { f.Cut(i%regions, true) })
		f.At(later, func() { f.Cut(i%regions, false) })
	case 5:
		f.At(at, func() { f.Boast(i) })
	case 6:
		f.At(at, f.Change)
	}
}
