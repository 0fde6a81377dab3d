// Command soak runs a fleet of separate processes on this machine under faults
// drawn from a seed and checks the promises while it runs. It exits with 0 only if
// every promise held; otherwise it keeps the logs.
package main

import (
	"context"
	"fmt"
	"io"
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

func run() int {
	seed, seeds, length, bin, keep, quiet := uint64(1), 1, time.Minute, "bin", false, false
	flaggy.SetName("soak")
	flaggy.SetDescription("run a fleet on this machine under drawn faults and check its promises")
	flaggy.UInt64(&seed, "s", "seed", "the first seed")
	flaggy.Int(&seeds, "n", "seeds", "how many seeds to play, one after another")
	flaggy.Duration(&length, "f", "for", "how long a seed is played")
	flaggy.String(&bin, "b", "bin", "directory of the program")
	flaggy.Bool(&keep, "k", "keep", "keep the logs of seeds that held, too")
	flaggy.Bool(&quiet, "q", "quiet", "do not print the faults")
	flaggy.Parse()

	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	code := 0
	for n := range seeds {
		if ctx.Err() != nil {
			return 1
		}
		if !play(ctx, seed+uint64(n), length, bin, keep, quiet) {
			code = 1
		}
	}
	return code
}

// play plays one seed and reports whether every promise held.
func play(ctx context.Context, seed uint64, length time.Duration, bin string, keep, quiet bool) bool {
	dir, err := os.MkdirTemp("", fmt.Sprintf("mimosastand-soak-%d-", seed))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	binDir, err := filepath.Abs(bin)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return false
	}
	var out io.Writer = os.Stdout
	if quiet {
		out = nil
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, Length: length, Dir: dir, BinDir: binDir, Spec: soak.DefaultSpec(), Bounds: true, Log: out,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		return false
	}
	held := show(report)
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
	for _, v := range r.Broken {
		fmt.Printf("BROKEN at %s: %s: %s\n", v.At.Format("15:04:05.000"), v.Promise, v.Detail)
	}
	return len(r.Broken) == 0
}
