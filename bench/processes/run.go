package processes

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
)

const (
	binDir    = "bin"
	startWait = 30 * time.Second
	// settle is the time for start-up costs to pass, window the time measured.
	settle = 6 * time.Second
	window = 10 * time.Second

	service contract.ServiceName = "drafting-models"
)

// sizes are entries and targets for each of three zones.
var sizes = []struct{ entries, targets int }{{1, 2}, {3, 5}, {6, 10}}

// Run measures systems of growing size and prints a line for each. The seed has
// no effect, because nothing is drawn.
func Run(w io.Writer, _ uint64) error {
	if _, err := os.Stat(filepath.Join(binDir, "mimosastand")); err != nil {
		return errors.Wrap(err, "processes: build the programs first")
	}
	_, _ = fmt.Fprintf(w, "at rest, mean and (highest) of each role over %v; bytes are sent and received\n", window)
	_, _ = fmt.Fprintln(w, "entries targets  role      RSS MB         links B/s         platform B/s      CPU % of a core")
	for _, s := range sizes {
		if err := measure(w, s.entries, s.targets); err != nil {
			return err
		}
	}
	return nil
}

// measure starts one system and prints what its processes need.
func measure(w io.Writer, entries, targets int) error {
	dir, err := os.MkdirTemp("", "mimosastand-bench-")
	if err != nil {
		return errors.Wrap(err, "processes")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	bin, err := filepath.Abs(binDir)
	if err != nil {
		return errors.Wrap(err, "processes")
	}
	cluster, err := harness.New(dir, bin, spec(entries, targets))
	if err != nil {
		return err
	}
	defer cluster.Close()
	if err := begin(cluster, dir); err != nil {
		return err
	}
	time.Sleep(settle)
	before, err := sampleAll(cluster)
	if err != nil {
		return err
	}
	time.Sleep(window)
	after, err := sampleAll(cluster)
	if err != nil {
		return err
	}
	for _, role := range []string{"entry", "target"} {
		_, _ = fmt.Fprintf(w, "%7d %7d  %-8s%s\n", 3*entries, 3*targets, role, summarize(before[role], after[role]))
	}
	return nil
}

func spec(entries, targets int) harness.Spec {
	return harness.Spec{
		Zones: []harness.Zone{
			{Name: "khomas-a", Region: "khomas"},
			{Name: "erongo-a", Region: "erongo"},
			{Name: "oshana-a", Region: "oshana"},
		},
		Services:       []harness.Service{{Name: service, Model: true, PerZone: targets}},
		EntriesPerZone: entries,
		Link:           harness.LinkTimes{HeartbeatInterval: "1s", SilentAfter: "3s"},
	}
}
