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
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// demo is one run of the demo.
type demo struct {
	fleet       *harness.Fleet
	checker     *soak.Checker
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

// runPhases runs all phases in order.
func (d *demo) runPhases(ctx context.Context) error {
	for _, p := range []phase{
		{"start the stand-ins and the processes, send calls", d.start},
		{"ask an entry where a request would go now", d.explainPlacement},
		{"evacuate a zone and take it back in", d.evacuateAndRestoreZone},
		{"roll out a second version", d.rollOutSecondVersion},
		{"let a service limit the rate of its requests", d.limitTarget},
		{"let a part of a prompt crash engines", d.crashEngines},
		{"kill an entry, lose a machine, stop an entry as planned", d.loseProcesses},
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

// holdFleet starts the fleet, prints its addresses, keeps it running until ctx ends and
// returns the exit code.
func (d *demo) holdFleet(ctx context.Context) int {
	if err := d.fleet.Start(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	if err := d.awaitAllServing(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	for _, e := range d.fleet.Entries {
		fmt.Printf("%s: callers http://%s, host %s, key %s\n", e.Name, e.CallerAddress, standins.Host, harness.FleetKey)
	}
	fmt.Printf("paths: %s, %s, %s; logs: %s\n", standins.ChatPath, standins.PayPath, standins.LookPath, d.fleet.Dir)
	<-ctx.Done()
	d.fleet.StopAll()
	return 0
}
