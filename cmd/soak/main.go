// Command soak runs a fleet of separate processes on this machine under faults
// drawn from a seed and checks the promises while it runs. It exits with 0 only if
// every promise held; otherwise it keeps the logs.
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

// settings are the flags.
type settings struct {
	seed        uint64
	seeds       int
	length      time.Duration
	bin, plan   string
	keep, quiet bool
}

func parse() settings {
	s := settings{seed: 1, seeds: 1, length: time.Minute, bin: "bin"}
	flaggy.SetName("soak")
	flaggy.SetDescription("run a fleet on this machine under drawn faults and check its promises")
	flaggy.UInt64(&s.seed, "s", "seed", "the first seed")
	flaggy.Int(&s.seeds, "n", "seeds", "how many seeds to play, one after another")
	flaggy.Duration(&s.length, "f", "for", "how long a seed is played")
	flaggy.String(&s.plan, "p", "plan", "file of a plan to play instead of seeds")
	flaggy.String(&s.bin, "b", "bin", "directory of the program")
	flaggy.Bool(&s.keep, "k", "keep", "keep the logs of seeds that held, too")
	flaggy.Bool(&s.quiet, "q", "quiet", "do not print the faults")
	flaggy.Parse()
	return s
}

func run() int {
	s := parse()
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	list, err := s.list()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	code := 0
	for _, opts := range list {
		if ctx.Err() != nil {
			return 1
		}
		if !play(ctx, opts, s.keep) {
			code = 1
		}
	}
	return code
}

// list returns what to play.
func (s settings) list() ([]soak.Options, error) {
	binDir, err := filepath.Abs(s.bin)
	if err != nil {
		return nil, err
	}
	opts := soak.Options{Length: s.length, BinDir: binDir, Spec: soak.DefaultSpec(), CheckBounds: true}
	if !s.quiet {
		opts.Log = os.Stdout
	}
	if s.plan != "" {
		kept, err := soak.ReadSavedPlan(s.plan)
		opts.Seed, opts.Length, opts.Plan = kept.Seed, kept.Length, kept.Events
		return []soak.Options{opts}, err
	}
	var list []soak.Options
	for n := range s.seeds {
		opts.Seed = s.seed + uint64(n)
		list = append(list, opts)
	}
	return list, nil
}

// play plays one plan and reports whether every promise held.
func play(ctx context.Context, opts soak.Options, keep bool) bool {
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
	held := show(report)
	fmt.Printf("seed %d held %v after %.0f s\n", opts.Seed, held, time.Since(start).Seconds())
	if held && !keep {
		_ = os.RemoveAll(dir)
		return true
	}
	fmt.Println("logs and files:", dir)
	return held
}

func show(r soak.Report) bool {
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
