package processes

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/harness"
)

// sample is what one process has used so far.
type sample struct {
	rssBytes float64
	// cpuSeconds is user and system time.
	cpuSeconds float64
	// linkBytes and callBytes are those of links and of calls to the platform.
	linkBytes, callBytes float64
}

// begin starts the processes and loads the example tree.
func begin(cluster *harness.Cluster, dir string) error {
	if err := cluster.StartStandIns(startWait); err != nil {
		return err
	}
	if err := cluster.StartAll(); err != nil {
		return err
	}
	tree, err := os.ReadFile("examples/kalahari.ini")
	if err != nil {
		return errors.Wrap(err, "processes")
	}
	file := filepath.Join(dir, "settings.ini")
	if err := os.WriteFile(file, tree, 0o600); err != nil {
		return errors.Wrap(err, "processes")
	}
	ctx := context.Background()
	return harness.WaitFor(ctx, startWait, func() error {
		_, err := cluster.RunOperator(ctx, "set", "--file", file)
		return err
	})
}

// sampleAll reads all processes, by role.
func sampleAll(cluster *harness.Cluster) (map[string][]sample, error) {
	samples := map[string][]sample{}
	for _, e := range cluster.Entries {
		s, err := read(e.Process.PID(), e.HTTP)
		if err != nil {
			return nil, err
		}
		samples["entry"] = append(samples["entry"], s)
	}
	for _, t := range cluster.Targets {
		s, err := read(t.Process.PID(), t.HTTP)
		if err != nil {
			return nil, err
		}
		samples["target"] = append(samples["target"], s)
	}
	return samples, nil
}

func read(pid int, address string) (sample, error) {
	var s sample
	var err error
	if s.rssBytes, err = residentBytes(pid); err != nil {
		return s, err
	}
	if s.cpuSeconds, err = cpuSeconds(pid); err != nil {
		return s, err
	}
	return s, s.readTraffic(address)
}

// residentBytes reads the resident set from the second field of statm, in pages.
func residentBytes(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, errors.Wrap(err, "processes")
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0, errors.Newf("processes: statm %q", data)
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()), errors.Wrap(err, "processes")
}

// cpuSeconds reads user and system time, fields 14 and 15 of stat, in ticks.
func cpuSeconds(pid int) (float64, error) {
	const ticksPerSecond, userField = 100, 11
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "processes")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= userField+1 {
		return 0, errors.Newf("processes: stat %q", data)
	}
	user, err := strconv.ParseFloat(fields[userField], 64)
	if err != nil {
		return 0, errors.Wrap(err, "processes")
	}
	system, err := strconv.ParseFloat(fields[userField+1], 64)
	return (user + system) / ticksPerSecond, errors.Wrap(err, "processes")
}

// readTraffic adds up the traffic gauges of a metrics page.
func (s *sample) readTraffic(address string) error {
	resp, err := http.Get("http://" + address + "/metrics")
	if err != nil {
		return errors.Wrap(err, "processes")
	}
	defer func() { _ = resp.Body.Close() }()
	found := 0
	scanner := bufio.NewScanner(resp.Body)
	for scanner.Scan() {
		name, value, _ := strings.Cut(scanner.Text(), " ")
		total := s.counter(name)
		if total == nil {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return errors.Wrap(err, "processes")
		}
		*total += n
		found++
	}
	const gauges = 4
	if found != gauges {
		return errors.Newf("processes: %d traffic gauges at %s, want %d", found, address, gauges)
	}
	return errors.Wrap(scanner.Err(), "processes")
}

// counter returns the total that a gauge belongs to, or nil.
func (s *sample) counter(name string) *float64 {
	switch {
	case strings.HasSuffix(name, "_link_sent_bytes"), strings.HasSuffix(name, "_link_received_bytes"):
		return &s.linkBytes
	case strings.HasSuffix(name, "_platform_sent_bytes"), strings.HasSuffix(name, "_platform_received_bytes"):
		return &s.callBytes
	default:
		return nil
	}
}

// summarize prints mean and highest of a role's processes.
func summarize(before, after []sample) string {
	var rss, links, calls, cpu column
	for i := range after {
		rss.add(after[i].rssBytes / (1 << 20))
		links.add((after[i].linkBytes - before[i].linkBytes) / window.Seconds())
		calls.add((after[i].callBytes - before[i].callBytes) / window.Seconds())
		cpu.add(100 * (after[i].cpuSeconds - before[i].cpuSeconds) / window.Seconds())
	}
	return fmt.Sprintf("%6.1f (%5.1f) %8.0f (%6.0f) %8.0f (%6.0f) %8.2f (%5.2f)", rss.mean(), rss.highest,
		links.mean(), links.highest, calls.mean(), calls.highest, cpu.mean(), cpu.highest)
}

// column adds up one figure of all processes.
type column struct {
	sum, highest float64
	n            int
}

func (c *column) add(v float64) {
	c.sum += v
	c.highest = max(c.highest, v)
	c.n++
}

func (c *column) mean() float64 {
	return c.sum / float64(max(1, c.n))
}
