package settings

import (
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/follow/spread"
	"mimosastand.example/mimosastand/settings/follow/spread/sim"
	"mimosastand.example/mimosastand/settings/record"
	"mimosastand.example/mimosastand/settings/schema"
)

// size is a number of processes in a number of zones.
type size struct {
	entries, targets, zones int
}

var sizes = []size{{9, 16, 3}, {50, 300, 4}, {150, 1000, 8}, {450, 3000, 8}, {1500, 10000, 8}}

const (
	// linksPerTarget is how many entry hosts of its zone have a link to a target.
	linksPerTarget = 6
	// tailersPerZone matches the default of the follower.
	tailersPerZone = 3
	// auditGap matches the follower's.
	auditGap      = 500 * time.Millisecond
	changes       = 8
	settle        = 5 * time.Second
	patience      = time.Minute
	changesPerDay = 27000
	secondsPerDay = 86400
)

// spreadResult is what one size gave.
type spreadResult struct {
	processes  int
	mean, max  time.Duration
	bytes      float64
	pulls      float64
	steps      float64
	stepTime   time.Duration
	logReads   float64
	heartbeats float64
}

func runSpread(w io.Writer, seed uint64) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "processes\taccepted to everywhere: mean\tmax\tpulls/process/change\tbytes/process/change\tlog reads/s\theartbeats/process/s\tsteps/process/s\ttime/step\t")
	for _, s := range sizes {
		r, err := measureSpread(seed, s, false)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(out, "%d\t%.2f s\t%.2f s\t%.2f\t%.0f\t%.1f\t%.1f\t%.1f\t%d ns\t\n", r.processes, r.mean.Seconds(), r.max.Seconds(),
			r.pulls, r.bytes, r.logReads, r.heartbeats, r.steps, r.stepTime.Nanoseconds())
	}
	if err := out.Flush(); err != nil {
		return err
	}
	last := sizes[len(sizes)-1]
	r, err := measureSpread(seed, last, true)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "%d processes, all tailing ones cut off from the log: mean %.2f s, max %.2f s, %.1f log reads/s\n",
		r.processes, r.mean.Seconds(), r.max.Seconds(), r.logReads)
	return err
}

// build makes a world of linked entry hosts and targets. cutTailers takes the
// log from those that tail it.
func build(seed uint64, s size, cutTailers bool) *sim.World {
	w := sim.NewWorld(seed, spread.Timing{})
	rng := rand.New(rand.NewPCG(seed, uint64(s.targets)))
	byZone := make([][]*sim.Node, s.zones)
	for i := range s.entries {
		z := i % s.zones
		tails := len(byZone[z]) < tailersPerZone
		entry := w.Start(fmt.Sprint("e", i), zoneName(z), tails)
		entry.Deliver(spread.Tailing{On: tails, Audit: time.Duration(s.entries/s.zones) * auditGap})
		entry.CutLog(tails && cutTailers)
		byZone[z] = append(byZone[z], entry)
	}
	for i := range s.targets {
		z := i % s.zones
		target := w.Start(fmt.Sprint("t", i), zoneName(z), false)
		for _, j := range rng.Perm(len(byZone[z]))[:min(linksPerTarget, len(byZone[z]))] {
			w.Link(target, byZone[z][j])
		}
	}
	return w
}

func zoneName(i int) contract.ZoneName {
	return contract.ZoneName(fmt.Sprint("zone-", i))
}

func measureSpread(seed uint64, s size, cutTailers bool) (spreadResult, error) {
	began := time.Now()
	w := build(seed, s, cutTailers)
	w.Run(settle)
	n := s.entries + s.targets
	r := spreadResult{processes: n}
	before := w.Cost()
	reads, _ := w.Log.Served()
	start := w.Now()
	for i := range changes {
		took, err := spreadOne(w, i)
		if err != nil {
			return r, err
		}
		r.mean += took / changes
		r.max = max(r.max, took)
	}
	after := w.Cost()
	readsAfter, _ := w.Log.Served()
	seconds := (w.Now() - start).Seconds()
	perProcess := float64(n)
	r.bytes = float64(after.PullBytes-before.PullBytes) / perProcess / changes
	r.pulls = float64(after.Pulls-before.Pulls) / perProcess / changes
	r.steps = float64(after.Steps-before.Steps) / perProcess / seconds
	r.logReads = float64(readsAfter-reads) / seconds
	r.heartbeats = float64(after.Heartbeats-before.Heartbeats) / perProcess / seconds
	r.stepTime = time.Since(began) / time.Duration(after.Steps)
	return r, nil
}

// spreadOne appends a change and waits until every process has applied it.
func spreadOne(w *sim.World, i int) (time.Duration, error) {
	base := w.Log.Newest()
	data, err := record.Encode(record.Record{Change: &record.Change{
		ID: fmt.Sprint("change-", i), Author: "operator", Base: base, UnixMilli: 1,
		Changes: []settings.Change{{Scope: settings.Scope{Zone: "zone-0"}, Key: schema.Out, Value: fmt.Sprint(i%2 == 0)}},
	}})
	if err != nil {
		return 0, err
	}
	offset, err := w.Append(data)
	if err != nil {
		return 0, err
	}
	accepted := w.Now()
	const tick = 10 * time.Millisecond
	for !applied(w, offset) {
		if w.Now()-accepted > patience {
			return 0, errors.Newf("change %d has not spread in %s", offset, patience)
		}
		w.Run(tick)
	}
	took := w.Now() - accepted
	// The next change comes at another phase of the heartbeats.
	w.Run(settle/2 + time.Duration(i)*137*time.Millisecond)
	return took, nil
}

func applied(w *sim.World, offset contract.Offset) bool {
	for _, n := range w.Nodes() {
		if n.Machine.State().Offset() < offset {
			return false
		}
	}
	return true
}
