package claims_test

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/load"
	"mimosastand.example/mimosastand/services"
)

const (
	patience = 90 * time.Second
	settings = "[zone z]\nregion = r\nentries = 3\n\n[service registry]\nkind = plain\ntargets = 2\n\n[team t]\nshare = 1\n"
)

// filings calls a plain service of a system of separate processes.
type filings struct {
	t       *testing.T
	cluster *harness.Cluster
	caller  *load.Caller
	log     *services.Client
}

func startFilings(t *testing.T) *filings {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../../../cmd/mimosastand", "../../../cmd/standins")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	c, err := harness.New(filepath.Join(dir, "run"), dir, harness.Spec{
		Zones:          []harness.Zone{{Name: "z", Region: "r"}},
		Services:       []harness.Service{{Name: "registry", PerZone: 2}},
		EntriesPerZone: 3,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	f := &filings{t: t, cluster: c, caller: load.NewCaller(nil, 20*time.Second), log: services.NewClient("http://" + c.LogAddress)}
	f.must(c.StartStandIns(patience))
	f.must(c.StartAll())
	file := filepath.Join(dir, "settings.ini")
	f.must(os.WriteFile(file, []byte(settings), 0o600))
	f.must(harness.WaitFor(context.Background(), patience, func() error {
		_, err := c.RunOperator(context.Background(), "set", "--file", file)
		return err
	}))
	for _, e := range c.Entries {
		f.must(harness.WaitReady(context.Background(), e.HTTP, patience))
	}
	return f
}

func (f *filings) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

// file makes one call with a key through an entry.
func (f *filings) file(entry int, key string) load.Result {
	e := load.PlainCall{Service: "registry", Team: "t", Key: key, Body: "filing " + key}
	return f.caller.CallPlain(context.Background(), "http://"+f.cluster.Entries[entry].HTTP, e)
}

// fileUntilWhole repeats a call, as a caller does, until it has its answer.
func (f *filings) fileUntilWhole(entry int, key string) {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		r := f.file(entry, key)
		if r.Class == load.Complete {
			return
		}
		f.t.Logf("%s through entry %d: %s", key, entry, r.Detail)
		time.Sleep(max(r.RetryAfter, 100*time.Millisecond))
	}
	f.t.Errorf("%s has no answer", key)
}

// together runs the calls at once and waits for all.
func together(calls ...func()) {
	var wg sync.WaitGroup
	for _, call := range calls {
		wg.Add(1)
		go func() {
			defer wg.Done()
			call()
		}()
	}
	wg.Wait()
}

// expectEffects checks the books of all back ends.
func (f *filings) expectEffects(want float64) {
	f.t.Helper()
	var effects, doubled float64
	for _, target := range f.cluster.Targets {
		stats, err := f.cluster.Stats(target.Backend)
		f.must(err)
		effects += stats["effects"]
		doubled += stats["doubled_by_key"] + stats["doubled_by_request"]
	}
	if effects != want || doubled != 0 {
		f.t.Errorf("%v effects, %v doubled; want %v and none", effects, doubled, want)
	}
}

// setSlow delays every filing in the back ends, or ends that.
func (f *filings) setSlow(on bool) {
	for _, target := range f.cluster.Targets {
		kind := map[bool]string{true: "slow", false: "none"}[on]
		f.must(f.cluster.SetFault(target.Backend, kind, map[string]any{"delay_ms": 2000, "path": "/effect"}))
	}
}

func (f *filings) claimRecords() contract.Offset {
	batch, err := f.log.Read(context.Background(), "claims", 1<<62, 0)
	f.must(err)
	return batch.Newest
}

// TestProcesses files with keys while entry processes are killed and paused,
// while the log loses replies and is down, and while a target is killed.
func TestProcesses(t *testing.T) {
	f := startFilings(t)
	var calls []func()
	for i := range 5 {
		for entry := range f.cluster.Entries {
			calls = append(calls, func() { f.fileUntilWhole(entry, fmt.Sprintf("same-%d", i)) })
		}
	}
	together(calls...)
	f.expectEffects(5)

	f.must(f.cluster.SetFault(f.cluster.LogAddress, "lost_reply", map[string]any{"method": "POST", "count": 3, "path": "/log/claims"}))
	f.fileUntilWhole(0, "lost")
	f.expectEffects(6)

	f.must(f.cluster.SetFault(f.cluster.LogAddress, "down", nil))
	if r := f.file(0, "outage"); r.Class != load.Refused || r.Reason != contract.ReasonLogUnavailable || r.Outcome != contract.OutcomeNotRun.String() {
		t.Errorf("log down: %+v", r)
	}
	f.must(f.cluster.SetFault(f.cluster.LogAddress, "none", nil))
	f.expectEffects(6)

	f.killAndPause()
	f.expectEffects(8)

	f.killTarget()
	f.expectEffects(9)
}

// killTarget ends the target that has just had a filing's effect. Nobody can
// tell then whether it ran, also after the target has started again.
func (f *filings) killTarget() {
	for _, target := range f.cluster.Targets {
		f.must(f.cluster.SetFault(target.Backend, "stall", map[string]any{"path": "/effect"}))
	}
	first := make(chan load.Result, 1)
	go func() { first <- f.file(2, "dead") }()
	var ran *harness.Target
	f.must(harness.WaitFor(context.Background(), patience, func() error {
		for _, target := range f.cluster.Targets {
			if stats, err := f.cluster.Stats(target.Backend); err == nil && stats["running"] > 0 {
				ran = target
				return nil
			}
		}
		return fmt.Errorf("the filing does not run")
	}))
	ran.Process.Kill()
	for _, target := range f.cluster.Targets {
		f.must(f.cluster.SetFault(target.Backend, "none", nil))
	}
	if r := <-first; r.Class != load.Refused || r.Outcome != contract.OutcomeUnknown.String() {
		f.t.Errorf("filing at a target that died: %+v", r)
	}
	f.expectUnresolved("dead")
	f.must(f.cluster.StartTarget(ran))
	f.must(harness.WaitReady(context.Background(), ran.HTTP, patience))
	f.expectUnresolved("dead")
}

// expectUnresolved files again until the entry has asked the targets.
func (f *filings) expectUnresolved(key string) {
	f.must(harness.WaitFor(context.Background(), patience, func() error {
		r := f.file(1, key)
		if r.Class == load.Complete || r.Outcome != contract.OutcomeUnknown.String() {
			f.t.Fatalf("%s: %+v", key, r)
		}
		if r.Reason != contract.ReasonKeyUnresolved {
			return fmt.Errorf("%s: %s", key, r.Detail)
		}
		return nil
	}))
}

// killAndPause ends one entry and pauses another with a filing in each, and
// files both again through the third.
func (f *filings) killAndPause() {
	f.setSlow(true)
	before := f.claimRecords()
	ended := make(chan load.Result, 2)
	go func() { ended <- f.file(0, "killed") }()
	go func() { ended <- f.file(1, "paused") }()
	f.must(harness.WaitFor(context.Background(), patience, func() error {
		if now := f.claimRecords(); now < before+2 {
			return fmt.Errorf("%d records", now)
		}
		return nil
	}))
	f.cluster.Entries[0].Process.Kill()
	f.must(f.cluster.Entries[1].Process.Signal(syscall.SIGSTOP))
	f.setSlow(false)
	together(func() { f.fileUntilWhole(2, "killed") }, func() { f.fileUntilWhole(2, "paused") })
	f.must(f.cluster.Entries[1].Process.Signal(syscall.SIGCONT))
	for range 2 {
		f.t.Logf("first call: %+v", <-ended)
	}
	f.fileUntilWhole(1, "paused")
}
