package main

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/soak"
)

const (
	// settleTime is how soon after an evacuation no new work may reach the zone, that
	// of the platform.
	settleTime = 5 * time.Second
	// outTime is how long the zone stays out after settleTime.
	outTime    = 2 * time.Second
	returnTime = 3 * time.Second
	// lostTime is how long a lost machine is away.
	lostTime    = 2 * time.Second
	serveWait   = 15 * time.Second
	versionWait = 15 * time.Second
	// allowedCopies is what the origin may send of one version.
	allowedCopies = 1.5
)

// start starts the fleet and the calls that go on until stopAll.
func (d *demo) start(ctx context.Context) error {
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	if err := d.allServe(ctx); err != nil {
		return err
	}
	loaded, stop := context.WithCancel(ctx)
	d.stopTraffic = stop
	d.wg.Go(func() { d.traffic.Run(loaded) })
	return nil
}

// allServe waits until every entry serves every kind of request.
func (d *demo) allServe(ctx context.Context) error {
	return harness.WaitFor(ctx, serveWait, d.traffic.CheckAllServe)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// zoneOutAndBack evacuates a zone and takes it back in.
func (d *demo) zoneOutAndBack(ctx context.Context) error {
	zone := d.fleet.Spec.Zones[1].Name
	if err := pause(ctx, returnTime); err != nil {
		return err
	}
	d.fleet.Store.Evacuate(string(zone), true)
	if err := pause(ctx, settleTime); err != nil {
		return err
	}
	before := d.workIn(zone)
	if err := pause(ctx, outTime); err != nil {
		return err
	}
	after := d.workIn(zone)
	d.promise(after == before, "new work in the zone that is out, after 5 s", "%d", after-before)
	d.fleet.Store.Evacuate(string(zone), false)
	if err := pause(ctx, returnTime); err != nil {
		return err
	}
	back := d.workIn(zone)
	d.promise(back > after, "new work in the zone after its return", "%d", back-after)
	return nil
}

// workIn counts the runs at the back ends of a zone.
func (d *demo) workIn(zone contract.ZoneName) int {
	n := 0
	for _, e := range d.fleet.BackEnds() {
		if e.Zone == string(zone) {
			n += e.TotalRuns()
		}
	}
	return n
}

// secondVersion names a version and waits until every engine holds it.
func (d *demo) secondVersion(ctx context.Context) error {
	drawn := d.fleet.Origin.PiecesServed()
	began := time.Now()
	version := d.fleet.AnnounceNextVersion()
	if err := d.fleet.AwaitVersion(ctx, version, versionWait); err != nil {
		return err
	}
	d.fact("time until 6 engines hold version 2, under load", "%.2f s", time.Since(began).Seconds())
	copies := float64(d.fleet.Origin.PiecesServed()-drawn) / float64(d.fleet.Spec.Pieces)
	d.promise(copies <= allowedCopies, "copies of version 2 that the origin sent", "%.2f", copies)
	return nil
}

// losses kills an entry, takes a machine with an engine away and stops an entry as
// planned, with calls going on.
func (d *demo) losses(ctx context.Context) error {
	killed, stopped, lost := d.fleet.Entries[0], d.fleet.Entries[1], d.fleet.Targets[0]
	killed.Kill()
	lost.Lose()
	if err := pause(ctx, lostTime); err != nil {
		return err
	}
	if err := errors.CombineErrors(killed.Start(), lost.Restore()); err != nil {
		return err
	}
	if err := killed.AwaitReady(ctx, serveWait); err != nil {
		return err
	}
	began := time.Now()
	if err := d.fleet.AwaitVersion(ctx, d.fleet.AnnouncedVersion(), versionWait); err != nil {
		return err
	}
	d.fact("time until the engine that came back empty serves again", "%.2f s", time.Since(began).Seconds())
	well := stopped.Stop()
	d.promise(well, "a planned stop ended well", "%v", well)
	if err := stopped.Start(); err != nil {
		return err
	}
	return d.allServe(ctx)
}

// stopAll ends the calls and then the processes.
func (d *demo) stopAll(ctx context.Context) error {
	d.stopTraffic()
	d.wg.Wait()
	failed := d.fleet.StopAll()
	d.promise(len(failed) == 0, "processes that did not stop well", "%d %v", len(failed), failed)
	d.ledger.CheckRuns()
	d.results()
	return ctx.Err()
}

// results reports what callers got and which promises were broken.
func (d *demo) results() {
	for kind, c := range d.ledger.Counts() {
		d.fact(soak.Kind(kind).String()+": sent, served, refused, failed, cut, unanswered", "%d, %d, %d, %d, %d, %d",
			c.Sent, c.Served, c.Refused, c.Failed, c.Cut, c.Unanswered)
	}
	broken := map[soak.Promise]int{}
	for _, v := range d.ledger.Violations() {
		broken[v.Promise]++
	}
	for _, p := range soak.AnswerPromises {
		d.promise(broken[p] == 0, "broken: "+string(p), "%d", broken[p])
	}
}
