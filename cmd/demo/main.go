// Command demo starts a whole fleet of separate processes on this machine, puts it
// under load while a zone is evacuated, weights roll out, machines are lost and
// processes stop, and prints what callers got. It exits with 0 only if every promise
// held.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/soak"
)

// demoLimit bounds the whole run.
const demoLimit = 100 * time.Second

func main() {
	os.Exit(run())
}

func run() int {
	bin, keep, hold := "bin", false, false
	flaggy.SetName("demo")
	flaggy.SetDescription("run a whole fleet on this machine under load and print what callers got")
	flaggy.String(&bin, "b", "bin", "directory of the programs")
	flaggy.Bool(&keep, "k", "keep", "keep the processes' logs and files")
	flaggy.Bool(&hold, "o", "hold", "start the fleet, print its addresses and keep it until interrupted")
	flaggy.Parse()

	dir, err := os.MkdirTemp("", "mimosastand-demo-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if keep {
		fmt.Println("logs and files:", dir)
	} else {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	return play(dir, bin, hold)
}

// play runs the demo in dir and returns the exit code.
func play(dir, bin string, hold bool) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	absolute, err := filepath.Abs(bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fleet, err := harness.NewFleet(dir, absolute, soak.DefaultSpec())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer fleet.Close()
	ledger := soak.NewChecker(fleet.Spec.StreamEvents, fleet.RunCount)
	d := &demo{fleet: fleet, ledger: ledger, traffic: soak.NewTraffic(fleet, ledger), started: time.Now()}
	if hold {
		return d.hold(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	if err := d.play(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	return d.report(os.Stdout)
}
