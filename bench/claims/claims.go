// Package claims measures what idempotency keys cost: claims a second and the
// added latency of a keyed call over a log of limited append rate, and the cost
// and memory of a ledger for each key.
package claims

import (
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// appendRate is the log's limit in appends a second.
	appendRate = 400
	// appendDelay is the time that an append takes in the log.
	appendDelay = 2 * time.Millisecond
	// loadTime is how long one load lasts.
	loadTime = 4 * time.Second
	// drainTime bounds the wait for calls in progress after the load.
	drainTime = 10 * time.Second
)

// point is one load on the log.
type point struct {
	entries   int
	perSecond int
	// batched is false for the baseline: one claim or outcome to an append.
	batched bool
}

var points = []point{
	{9, 50, false}, {9, 150, false}, {9, 300, false}, {9, 1000, false},
	{1, 50, true}, {9, 50, true}, {9, 150, true}, {9, 300, true}, {9, 1000, true}, {9, 3000, true}, {9, 6000, true},
	{36, 1000, true},
}

// Run prints all tables. The seed fixes the arrival times.
func Run(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "idempotency keys, seed %d; log stand-in: %d appends/s, %s an append; %d cores\n",
		seed, appendRate, appendDelay, runtime.NumCPU())
	if err := printLoads(w, seed); err != nil {
		return err
	}
	return printSlopes(w)
}

func printLoads(w io.Writer, seed uint64) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "entries\tmode\tcalls/s\tcalls\trun\trefused\tp50 ms\tp99 ms\tmax ms\tappends/s\titems/append\tthrottled\tlog bytes/call\tread bytes/s/entry\treads/s/entry\t")
	for _, p := range points {
		r, err := measure(p, seed)
		if err != nil {
			return err
		}
		mode := "batched"
		if !p.batched {
			mode = "one each"
		}
		fmt.Fprintf(t, "%d\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%.0f\t%.1f\t%d\t%.0f\t%.0f\t%.0f\t\n",
			p.entries, mode, p.perSecond, r.calls, r.run, r.refused,
			millis(r.latency, 50), millis(r.latency, 99), millis(r.latency, 100),
			float64(r.appends)/r.elapsed.Seconds(), float64(r.items)/float64(max(r.appends, 1)), r.throttled,
			float64(r.logBytes)/float64(max(r.run, 1)),
			float64(r.readBytes)/r.elapsed.Seconds()/float64(p.entries),
			float64(r.reads)/r.elapsed.Seconds()/float64(p.entries))
	}
	return t.Flush()
}

func millis(h *hdrhistogram.Histogram, quantile float64) string {
	return fmt.Sprintf("%.1f", float64(h.ValueAtQuantile(quantile))/float64(time.Millisecond/time.Microsecond))
}
