package serving

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"mimosastand.example/mimosastand/machine/entry/dispatch"
)

// scenario drives a world under load.
type scenario struct {
	name string
	play func(w *world)
}

// calm is the load as a share of the capacity.
const calm = 0.5

func scenarios(s size) []scenario {
	return []scenario{
		{"calm", func(w *world) {
			w.everyTeam(calm)
			w.queue.RunFor(60 * time.Second)
		}},
		{"zone out at 20 s, back at 50 s", func(w *world) {
			w.everyTeam(calm)
			w.queue.RunFor(20 * time.Second)
			w.setZone(s.zones[0].Zone, true)
			w.queue.RunFor(30 * time.Second)
			w.setZone(s.zones[0].Zone, false)
			w.queue.RunFor(40 * time.Second)
		}},
		{"faults: 3 deaths, 4 silent links, 2 targets turn cold", func(w *world) {
			w.everyTeam(calm)
			w.faults()
			w.queue.RunFor(60 * time.Second)
		}},
		{"overload: 1.5 times the capacity", func(w *world) {
			w.everyTeam(1.5)
			w.queue.RunFor(60 * time.Second)
		}},
	}
}

// everyTeam starts calls at a share of the capacity, divided among the teams.
func (w *world) everyTeam(share float64) {
	n := float64(w.size.teams)
	for i := range w.size.teams {
		w.start(load{
			team: team(i), models: share * capacity(w.size.engines) / n, plains: 20 / n, singles: 5 / n,
		})
	}
}

// faults schedules faults at random times.
func (w *world) faults() {
	at := func() time.Duration { return time.Duration(5+w.rng.IntN(40)) * time.Second }
	pick := func() *target { return w.order[w.rng.IntN(len(w.order)-1)] }
	for range 3 {
		t := pick()
		w.queue.After(at(), func() {
			if !t.Down() {
				w.kill(t, 5*time.Second)
			}
		})
	}
	for range 4 {
		h, t := w.hosts[w.rng.IntN(len(w.hosts))], pick()
		w.queue.After(at(), func() { w.silence(h, t) })
	}
	for range 2 {
		t := pick()
		w.queue.After(at(), func() { t.TurnCold(w.now()) })
	}
}

func policyWorld(s size, seed uint64) *world {
	return newWorld(s, seed, true, func(c dispatch.Config, rng *rand.Rand) policy { return dispatch.New(c, rng) })
}

func baselineWorld(s size, seed uint64) *world {
	return newWorld(s, seed, false, func(dispatch.Config, *rand.Rand) policy { return newBaseline() })
}

// Run plays all scenarios with the policy and with the baseline and writes
// tables. The same seed gives the same tables.
func Run(out io.Writer, seed uint64) error {
	fmt.Fprintf(out, "serving, virtual time, seed %d\n", seed)
	for _, s := range []size{kalahari(), lantern()} {
		fmt.Fprintf(out, "\n%s: %d entries, %d engines, model capacity %.0f calls/s\n",
			s.name, s.entries, s.engines, capacity(s.engines))
		for _, sc := range scenarios(s) {
			if err := compare(out, s, sc, seed); err != nil {
				return err
			}
		}
		if err := fairness(out, s, seed); err != nil {
			return err
		}
	}
	if err := slope(out, seed); err != nil {
		return err
	}
	if err := membership(out); err != nil {
		return err
	}
	return costs(out)
}

func compare(out io.Writer, s size, sc scenario, seed uint64) error {
	var results []*result
	for _, w := range []*world{policyWorld(s, seed), baselineWorld(s, seed)} {
		sc.play(w)
		results = append(results, w.end())
	}
	fmt.Fprintf(out, "\n%s, %s\n", s.name, sc.name)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tmimosastand\tbaseline")
	baselineRows := results[1].rows()
	for i, row := range results[0].rows() {
		fmt.Fprintf(table, "%s\t%s\t%s\n", row[0], row[1], baselineRows[i][1])
	}
	return table.Flush()
}

// fairness compares a small team's first tokens alone and beside a team that
// floods the system, from the moment on at which the flood begins.
func fairness(out io.Writer, s size, seed uint64) error {
	const small = 2.0
	fmt.Fprintf(out, "\n%s, fairness: first token of a team with %.0f calls/s, alone and beside a team with twice the capacity\n", s.name, small)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tflood begins\talone p99\tbeside p99\tratio\tits calls refused")
	for _, make := range []struct {
		name  string
		world func(size, uint64) *world
	}{{"mimosastand", policyWorld}, {"baseline", baselineWorld}} {
		for _, begins := range []time.Duration{0, time.Minute} {
			alone, _ := smallTeam(make.world(s, seed), small, 0, begins)
			beside, refused := smallTeam(make.world(s, seed), small, 2*capacity(s.engines), begins)
			fmt.Fprintf(table, "%s\tafter %s\t%.1f ms\t%.1f ms\t%.2f\t%d\n", make.name, begins, alone, beside, beside/alone, refused)
		}
	}
	return table.Flush()
}

// smallTeam returns the p99 of the first token of team 0 in milliseconds, and
// how many of its calls were not answered whole, over the time of the flood.
func smallTeam(w *world, rate, flood float64, begins time.Duration) (p99 float64, missing int) {
	w.start(load{team: team(0), models: rate})
	w.queue.RunFor(begins)
	delete(w.result.byTeam, team(0))
	from := w.now()
	w.start(load{team: team(1), models: flood})
	w.queue.RunFor(180 * time.Second)
	w.end()
	for _, c := range w.calls {
		late := !c.sent.Before(from)
		if late && c.request.Team == team(0) && c.parts != uint64(c.request.Tokens) {
			missing++
		}
	}
	return millis(w.result.byTeam[team(0)], 99), missing
}

// slope shows how decisions and latency change with entries and targets.
func slope(out io.Writer, seed uint64) error {
	fmt.Fprintf(out, "\nslope with entries and engines at half load, 20 s\n")
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "entries\tengines\tcalls\twhole\tfirst token p50\tp99\tattempts per call\tlinks per entry")
	for _, factor := range []int{1, 2, 4, 8} {
		s := kalahari()
		s.entries *= factor
		s.engines *= factor
		w := policyWorld(s, seed)
		w.everyTeam(calm)
		w.queue.RunFor(20 * time.Second)
		links := w.links()
		r := w.end()
		fmt.Fprintf(table, "%d\t%d\t%d\t%.2f %%\t%.1f ms\t%.1f ms\t%.3f\t%.1f\n", s.entries, s.engines, r.calls,
			100*ratio(float64(r.whole), float64(r.calls)), millis(r.firsts, 50), millis(r.firsts, 99),
			ratio(float64(r.attempts), float64(r.calls)), links)
	}
	return table.Flush()
}

// links is the mean number of targets that an entry keeps links to.
func (w *world) links() float64 {
	total := 0
	for _, h := range w.hosts {
		total += h.peers
	}
	return float64(total) / float64(len(w.hosts))
}
