package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/soak"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

// demo is one run.
type demo struct {
	fleet       *harness.Fleet
	ledger      *soak.Checker
	traffic     *soak.Traffic
	stopTraffic context.CancelFunc
	wg          sync.WaitGroup
	started     time.Time
	rows        []row
}

// phase is one step of the demo.
type phase struct {
	name string
	run  func(context.Context) error
}

// play runs all phases in order.
func (d *demo) play(ctx context.Context) error {
	for _, p := range []phase{
		{"start the stand-ins and the processes, send calls", d.start},
		{"evacuate a zone and take it back in", d.zoneOutAndBack},
		{"roll out a second version", d.secondVersion},
		{"kill an entry, lose a machine, stop an entry as planned", d.losses},
		{"stop everything", d.stopAll},
	} {
		fmt.Printf("%5.1fs  %s\n", time.Since(d.started).Seconds(), p.name)
		if err := p.run(ctx); err != nil {
			return errors.Wrap(err, p.name)
		}
	}
	fmt.Printf("%5.1fs  done\n", time.Since(d.started).Seconds())
	return nil
}

// hold starts the fleet and keeps it until ctx ends.
func (d *demo) hold(ctx context.Context) int {
	if err := d.fleet.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	if err := d.allServe(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	for _, e := range d.fleet.Entries {
		fmt.Printf("%s: callers http://%s, host %s, key %s\n", e.Name, e.CallerAddress, standin.Host, harness.FleetKey)
	}
	fmt.Printf("paths: %s, %s, %s; logs: %s\n", standin.ChatPath, standin.PayPath, standin.LookPath, d.fleet.Dir)
	<-ctx.Done()
	d.fleet.StopAll()
	return 0
}
