package main

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/soak"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// evacuationLimit is how soon after the start of an evacuation new requests must no
	// longer reach the zone. The platform sets it.
	evacuationLimit = 5 * time.Second
	// evacuatedTime is how long the zone stays evacuated after evacuationLimit, while
	// the demo counts new requests in it.
	evacuatedTime = 2 * time.Second
	// servingTime is how long the zone serves before the evacuation and after its return.
	servingTime = 3 * time.Second
	// outageTime is how long a lost machine is away.
	outageTime = 2 * time.Second
	// crashingTime is how long a part of a prompt crashes engines.
	crashingTime   = 10 * time.Second
	servingTimeout = 15 * time.Second
	versionTimeout = 15 * time.Second
	// maxOriginCopies is how many copies of one version the origin may send.
	maxOriginCopies = 1.5
)

// start starts the fleet and the traffic, which continues until stopAll.
func (d *demo) start(ctx context.Context) error {
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	if err := d.awaitAllServing(ctx); err != nil {
		return err
	}
	trafficCtx, stop := context.WithCancel(ctx)
	d.stopTraffic = stop
	d.wg.Go(func() { d.traffic.Run(trafficCtx) })
	return nil
}

// explainPlacement prints where an entry would send a request now, and why.
func (d *demo) explainPlacement(ctx context.Context) error {
	report, err := d.fleet.Entries[0].ExplainPlacement(ctx, "--host", standins.Host, "--path", standins.ChatPath+"x", "--team", harness.FleetTeam, "--prompt", "900", "--answer", "125")
	for line := range strings.Lines(report) {
		fmt.Print("          ", line)
	}
	return err
}

// awaitAllServing waits until every entry serves every kind of request.
func (d *demo) awaitAllServing(ctx context.Context) error {
	return harness.WaitFor(ctx, servingTimeout, d.traffic.CheckAllServe)
}

// sleep waits for d, or fails if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// evacuateAndRestoreZone evacuates a zone, checks that it receives no new requests, and
// ends the evacuation.
func (d *demo) evacuateAndRestoreZone(ctx context.Context) error {
	zone := d.fleet.Spec.Zones[1].Name
	if err := sleep(ctx, servingTime); err != nil {
		return err
	}
	d.fleet.Store.Evacuate(string(zone), true)
	if err := sleep(ctx, evacuationLimit); err != nil {
		return err
	}
	before := d.runsInZone(zone)
	if err := sleep(ctx, evacuatedTime); err != nil {
		return err
	}
	after := d.runsInZone(zone)
	d.addPromise(after == before, "new work in the zone that is out, after 5 s", "%d", after-before)
	d.fleet.Store.Evacuate(string(zone), false)
	if err := sleep(ctx, servingTime); err != nil {
		return err
	}
	back := d.runsInZone(zone)
	d.addPromise(back > after, "new work in the zone after its return", "%d", back-after)
	return nil
}

// limitTarget has a service limit the rate of all entries together, and counts what it gets.
func (d *demo) limitTarget(ctx context.Context) error {
	const perSecond = 2.0
	target := d.fleet.Services[0]
	target.SetRateLimit(strconv.FormatFloat(perSecond, 'f', -1, 64))
	if err := sleep(ctx, standins.LimitNotice); err != nil {
		return err
	}
	from := time.Now()
	if err := sleep(ctx, standins.LimitWindow); err != nil {
		return err
	}
	got := standins.MostArrivals(standins.ArrivalsSince(target.Arrivals(), from))
	target.SetRateLimit("")
	allowed := standins.AllowedArrivals(perSecond)
	d.addPromise(got <= allowed, "requests in 4 s to a target that names a limit of 2 a second", "%d", got)
	return nil
}

// crashEngines has a part of a prompt crash engines, and counts the crashes.
func (d *demo) crashEngines(ctx context.Context) error {
	end := d.traffic.BeginCrashingPart()
	err := sleep(ctx, crashingTime)
	figures := end()
	if err != nil {
		return err
	}
	d.addFigure("crashes of engines by a part of a prompt, in 10 s", "%d", figures.Crashes)
	d.addPromise(figures.KeepBound(), "requests with that part that reached engines from 3 s after the fifth crash on", "%d", figures.Late)
	return d.awaitAllServing(ctx)
}

// runsInZone returns how many attempts the back ends of a zone have run.
func (d *demo) runsInZone(zone contract.ZoneName) int {
	n := 0
	for _, e := range d.fleet.BackEnds() {
		if e.Zone == string(zone) {
			n += e.TotalRuns()
		}
	}
	return n
}

// rollOutSecondVersion announces a version and waits until every engine holds it.
func (d *demo) rollOutSecondVersion(ctx context.Context) error {
	servedBefore := d.fleet.Origin.PiecesServed()
	began := time.Now()
	version := d.fleet.AnnounceNextVersion()
	if err := d.fleet.AwaitVersion(ctx, version, versionTimeout); err != nil {
		return err
	}
	d.addFigure("time until 6 engines hold version 2, under load", "%.2f s", time.Since(began).Seconds())
	copies := float64(d.fleet.Origin.PiecesServed()-servedBefore) / float64(d.fleet.Spec.Pieces)
	d.addPromise(copies <= maxOriginCopies, "copies of version 2 that the origin sent", "%.2f", copies)
	return nil
}

// loseProcesses kills an entry, removes a machine with an engine and later performs a
// planned stop of another entry, all under traffic.
func (d *demo) loseProcesses(ctx context.Context) error {
	killed, stopped, lost := d.fleet.Entries[0], d.fleet.Entries[1], d.fleet.Targets[0]
	killed.Kill()
	lost.Lose()
	if err := sleep(ctx, outageTime); err != nil {
		return err
	}
	if err := errors.CombineErrors(killed.Start(), lost.Restore()); err != nil {
		return err
	}
	if err := killed.AwaitReady(ctx, servingTimeout); err != nil {
		return err
	}
	began := time.Now()
	if err := d.fleet.AwaitVersion(ctx, d.fleet.AnnouncedVersion(), versionTimeout); err != nil {
		return err
	}
	d.addFigure("time until the engine that came back empty serves again", "%.2f s", time.Since(began).Seconds())
	clean := stopped.Stop()
	d.addPromise(clean, "a planned stop ended well", "%v", clean)
	if err := stopped.Start(); err != nil {
		return err
	}
	return d.awaitAllServing(ctx)
}

// stopAll stops the traffic and then the processes.
func (d *demo) stopAll(ctx context.Context) error {
	d.stopTraffic()
	d.wg.Wait()
	failed := d.fleet.StopAll()
	d.addPromise(len(failed) == 0, "processes that did not stop well", "%d %v", len(failed), failed)
	d.checker.CheckRuns()
	d.addResults()
	return ctx.Err()
}

// addResults adds rows with the results that callers received and the broken promises.
func (d *demo) addResults() {
	for kind, c := range d.checker.Counts() {
		d.addFigure(soak.Kind(kind).String()+": sent, served, refused, failed, cut, unanswered", "%d, %d, %d, %d, %d, %d",
			c.Sent, c.Served, c.Refused, c.Failed, c.Cut, c.Unanswered)
	}
	broken := map[soak.Promise]int{}
	for _, v := range d.checker.Violations() {
		broken[v.Promise]++
	}
	for _, p := range soak.AnswerPromises {
		d.addPromise(broken[p] == 0, "broken: "+string(p), "%d", broken[p])
	}
}
