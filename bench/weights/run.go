package weights

import (
	"fmt"
	"io"
	"runtime"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrUnfinished marks a run in which not every living target got the version.
var ErrUnfinished = errors.New("bench: a run did not finish")

// workers bounds the runs that are simulated at the same time.
func workers() int {
	const most = 4
	return max(1, min(most, runtime.NumCPU()/2))
}

// job is one run of a table, filled in by runAll.
type job struct {
	name   string
	params Params
	run    func(Params) Result
	result Result
}

// runAll carries out jobs side by side; each is deterministic by itself.
func runAll(jobs []*job) error {
	var wg sync.WaitGroup
	slots := make(chan struct{}, workers())
	for _, j := range jobs {
		wg.Add(1)
		slots <- struct{}{}
		go func() {
			defer wg.Done()
			j.result = j.run(j.params)
			<-slots
		}()
	}
	wg.Wait()
	for _, j := range jobs {
		if !j.result.Done {
			return errors.Wrapf(ErrUnfinished, "%s, %d targets, %d regions", j.name, j.params.Hosts, j.params.Regions)
		}
	}
	return nil
}

// Shares of faults in the runs with faults.
const (
	killedShare  = 0.05
	corruptShare = 0.01
)

// Sizes of the runs.
var (
	hostCounts   = []int{8, 32, 100, 350}
	regionCounts = []int{1, 3}
	chunkSizes   = []int{128 << 10, 256 << 10, 512 << 10, 1 << 20}
)

// Run prints all tables. It fails with ErrUnfinished.
func Run(w io.Writer, seed uint64) error {
	fmt.Fprintf(w, "weights: distribution in virtual time, seed %d\n", seed)
	for _, part := range []func(io.Writer, uint64) error{reportTime, reportChunkSizes, reportTokens, reportCost} {
		if err := part(w, seed); err != nil {
			return err
		}
	}
	return nil
}

func reportTime(w io.Writer, seed uint64) error {
	var jobs []*job
	for _, regions := range regionCounts {
		for _, hosts := range hostCounts {
			jobs = append(jobs, timeJobs(hosts, regions, seed)...)
		}
	}
	if err := runAll(jobs); err != nil {
		return err
	}
	p := DefaultParams(1, 1, seed)
	fmt.Fprintf(w, "\ntime to N: %d MiB in %d KiB chunks; rates in MB/s: machine %.2f, origin %.2f, between regions %.2f\n",
		p.CopyBytes>>20, p.ChunkBytes>>10, p.Machine/1e6, p.Origin/1e6, p.Region/1e6)
	fmt.Fprintln(w, "bound: a copy over the narrowest link that must carry it; mesh: the same if a region draws over all its links at once")
	fmt.Fprintf(w, "%-14s %6s %8s %9s %7s %7s %8s %8s %9s\n",
		"policy", "N", "regions", "time s", "/bound", "/mesh", "origin", "region", "control B")
	for _, j := range jobs {
		printTime(w, j)
	}
	return nil
}

// timeJobs are the policy, the policy under faults and the two baselines.
func timeJobs(hosts, regions int, seed uint64) []*job {
	p := DefaultParams(hosts, regions, seed)
	faulty := p
	faulty.Killed, faulty.Corrupt = killedShare, corruptShare
	return []*job{
		{name: "swarm", params: p, run: RunSwarm},
		{name: "swarm, faults", params: faulty, run: RunSwarm},
		{name: "tree", params: p, run: RunTree},
		{name: "origin only", params: p, run: RunOrigin},
	}
}

func printTime(w io.Writer, j *job) {
	r := j.result
	fmt.Fprintf(w, "%-14s %6d %8d %9.1f %7.2f %7.2f %8.3f %8.3f %9.0f\n",
		j.name, j.params.Hosts, j.params.Regions, r.Time.Seconds(), r.Ratio,
		r.Time.Seconds()/MeshBound(j.params).Seconds(), r.OriginCopies, r.RegionCopies, r.Control)
}

func reportChunkSizes(w io.Writer, seed uint64) error {
	const hosts = 100
	var jobs []*job
	for _, regions := range regionCounts {
		for _, bytes := range chunkSizes {
			p := DefaultParams(hosts, regions, seed)
			p.ChunkBytes = bytes
			jobs = append(jobs, &job{name: "swarm", params: p, run: RunSwarm})
		}
	}
	if err := runAll(jobs); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nchunk size, N=%d\n%-10s %8s %8s %7s %8s %9s\n", hosts, "KiB", "regions", "chunks", "/bound", "origin", "control B")
	for _, j := range jobs {
		fmt.Fprintf(w, "%-10d %8d %8d %7.2f %8.3f %9.0f\n", j.params.ChunkBytes>>10, j.params.Regions,
			j.params.chunks(), j.result.Ratio, j.result.OriginCopies, j.result.Control)
	}
	return nil
}
