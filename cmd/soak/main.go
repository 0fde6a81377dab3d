// Command soak runs a fleet of separate processes on this machine, injects faults
// drawn from a seed and checks the system's promises while it runs. It exits with 0
// only if every promise was kept; otherwise it keeps the logs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/internal/soak"
)

func main() {
	os.Exit(run())
}

// flags holds the values of the command line.
type flags struct {
	seed            uint64
	seeds           int
	length          time.Duration
	bin, plan       string
	keepLogs, quiet bool
	drills, hideEra bool
}

// parseFlags parses the command line.
func parseFlags() flags {
	f := flags{seed: 1, seeds: 1, length: time.Minute, bin: "bin"}
	flaggy.SetName("soak")
	flaggy.SetDescription("run a fleet on this machine under drawn faults and check its promises")
	flaggy.UInt64(&f.seed, "s", "seed", "the first seed")
	flaggy.Int(&f.seeds, "n", "seeds", "how many seeds to play, one after another")
	flaggy.Duration(&f.length, "f", "for", "how long a seed is played")
	flaggy.String(&f.plan, "p", "plan", "file of a plan to play instead of seeds")
	flaggy.String(&f.bin, "b", "bin", "directory of the program")
	flaggy.Bool(&f.keepLogs, "k", "keep", "keep the logs of seeds that held, too")
	flaggy.Bool(&f.quiet, "q", "quiet", "do not print the faults")
	flaggy.Bool(&f.drills, "d", "drills", "play returns of the store from older copies only")
	flaggy.Bool(&f.hideEra, "e", "hide-era", "leave the era out of the store's answers, so that no process notices such a return")
	flaggy.Parse()
	return f
}

func run() int {
	f := parseFlags()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	runs, err := f.runOptions()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := 0
	for _, opts := range runs {
		if ctx.Err() != nil {
			return 1
		}
		if !runPlan(ctx, opts, f.keepLogs) {
			code = 1
		}
	}
	return code
}

// runOptions returns the options of each run: the saved plan, or one run per seed.
func (f flags) runOptions() ([]soak.Options, error) {
	binDir, err := filepath.Abs(f.bin)
	if err != nil {
		return nil, err
	}
	opts := soak.Options{Length: f.length, BinDir: binDir, Spec: soak.DefaultSpec(), CheckBounds: true, Drills: f.drills, HideEra: f.hideEra}
	if !f.quiet {
		opts.Log = os.Stdout
	}
	if f.plan != "" {
		saved, err := soak.ReadSavedPlan(f.plan)
		opts.Seed, opts.Length, opts.Plan = saved.Seed, saved.Length, saved.Events
		return []soak.Options{opts}, err
	}
	var list []soak.Options
	for n := range f.seeds {
		opts.Seed = f.seed + uint64(n)
		list = append(list, opts)
	}
	return list, nil
}

// runPlan runs the soak once and reports whether every promise was kept.
func runPlan(ctx context.Context, opts soak.Options, keepLogs bool) bool {
	dir, err := os.MkdirTemp("", fmt.Sprintf("mimosastand-soak-%d-", opts.Seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	opts.Dir = dir
	start := time.Now()
	report, err := soak.Run(ctx, opts)
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	kept := printReport(report)
	fmt.Printf("seed %d held %v after %.0f s\n", opts.Seed, kept, time.Since(start).Seconds())
	if kept && !keepLogs {
		_ = os.RemoveAll(dir)
		return true
	}
	fmt.Println("logs and files:", dir)
	return kept
}

// printReport prints the counts and the broken promises of a run and reports whether
// every promise was kept.
func printReport(r soak.Report) bool {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "seed %d\t%d faults\tsent\tserved\trefused\tfailed\tcut\tunanswered\n", r.Seed, r.Events)
	for kind, c := range r.Counts {
		_, _ = fmt.Fprintf(w, "\t%s\t%d\t%d\t%d\t%d\t%d\t%d\n", soak.Kind(kind), c.Sent, c.Served, c.Refused, c.Failed, c.Cut, c.Unanswered)
	}
	_ = w.Flush()
	for _, v := range r.Violations {
		fmt.Printf("BROKEN at %s: %s: %s\n", v.At.Format("15:04:05.000"), v.Promise, v.Detail)
	}
	return len(r.Violations) == 0
}
