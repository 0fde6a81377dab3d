// Command demo starts a complete fleet of separate processes on this machine and keeps
// it under load while a zone is evacuated, new weights roll out, machines fail and
// processes stop. It prints the results that callers received and exits with 0 only if
// every promise was kept.
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

// demoTimeout bounds the entire run.
const demoTimeout = 100 * time.Second

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
	return runDemo(dir, bin, hold)
}

// runDemo runs the demo in dir and returns the exit code. With hold it only starts the
// fleet and keeps it running until interrupted.
func runDemo(dir, bin string, hold bool) int {
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
	checker := soak.NewChecker(fleet.Spec.StreamEvents, fleet.RunCount)
	d := &demo{fleet: fleet, checker: checker, traffic: soak.NewTraffic(fleet, checker), started: time.Now()}
	if hold {
		return d.holdFleet(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	if err := d.runPhases(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		return 1
	}
	return d.report(os.Stdout)
}
