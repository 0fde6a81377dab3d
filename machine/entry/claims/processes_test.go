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
	testTimeout = 90 * time.Second
	settings    = "[zone z]\nregion = r\nentries = 3\n\n[service registry]\nkind = plain\ntargets = 2\n\n[team t]\nshare = 1\n"
)

// processTest sends calls to a plain service of a system of separate processes.
type processTest struct {
	t       *testing.T
	cluster *harness.Cluster
	caller  *load.Caller
	log     *services.Client
}

func startProcesses(t *testing.T) *processTest {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir, "../../../cmd/mimosastand", "../../../cmd/standins")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build failed: %v\n%s", err, out)
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
	p := &processTest{t: t, cluster: c, caller: load.NewCaller(nil, 20*time.Second), log: services.NewClient("http://" + c.LogAddress)}
	p.must(c.StartStandIns(testTimeout))
	p.must(c.StartAll())
	file := filepath.Join(dir, "settings.ini")
	p.must(os.WriteFile(file, []byte(settings), 0o600))
	p.must(harness.WaitFor(context.Background(), testTimeout, func() error {
		_, err := c.RunOperator(context.Background(), "set", "--file", file)
		return err
	}))
	for _, e := range c.Entries {
		p.must(harness.WaitReady(context.Background(), e.HTTP, testTimeout))
	}
	return p
}

func (p *processTest) must(err error) {
	p.t.Helper()
	if err != nil {
		p.t.Fatal(err)
	}
}

// call sends one call with a key through an entry.
func (p *processTest) call(entry int, key string) load.Result {
	e := load.PlainCall{Service: "registry", Team: "t", Key: key, Body: "filing " + key}
	return p.caller.CallPlain(context.Background(), "http://"+p.cluster.Entries[entry].HTTP, e)
}

// callUntilComplete retries a call, as a caller does, until its answer is complete.
func (p *processTest) callUntilComplete(entry int, key string) {
	for end := time.Now().Add(testTimeout); time.Now().Before(end); {
		r := p.call(entry, key)
		if r.Class == load.Complete {
			return
		}
		p.t.Logf("call with key %s through entry %d is not complete: %s", key, entry, r.Detail)
		time.Sleep(max(r.RetryAfter, 100*time.Millisecond))
	}
	p.t.Errorf("call with key %s has no complete answer within 90 s", key)
}

// runConcurrently runs the calls concurrently and waits for all of them.
func runConcurrently(calls ...func()) {
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

// expectEffects checks the effects that all back ends have counted.
func (p *processTest) expectEffects(want float64) {
	p.t.Helper()
	var effects, doubled float64
	for _, target := range p.cluster.Targets {
		stats, err := p.cluster.Stats(target.Backend)
		p.must(err)
		effects += stats["effects"]
		doubled += stats["doubled_by_key"] + stats["doubled_by_request"]
	}
	if effects != want || doubled != 0 {
		p.t.Errorf("back ends counted %v effects and %v repeated ones, want %v and none", effects, doubled, want)
	}
}

// setSlowEffects delays every effect in the back ends, or ends the delay.
func (p *processTest) setSlowEffects(on bool) {
	for _, target := range p.cluster.Targets {
		kind := map[bool]string{true: "slow", false: "none"}[on]
		p.must(p.cluster.SetFault(target.Backend, kind, map[string]any{"delay_ms": 2000, "path": "/effect"}))
	}
}

func (p *processTest) newestClaimOffset() contract.Offset {
	batch, err := p.log.Read(context.Background(), "claims", 1<<62, 0)
	p.must(err)
	return batch.Newest
}

// TestAtMostOnceAcrossProcesses sends calls with keys while entry processes are killed
// and paused, while the log loses replies and is unavailable, and while a target is
// killed.
func TestAtMostOnceAcrossProcesses(t *testing.T) {
	p := startProcesses(t)
	var calls []func()
	for i := range 5 {
		for entry := range p.cluster.Entries {
			calls = append(calls, func() { p.callUntilComplete(entry, fmt.Sprintf("same-%d", i)) })
		}
	}
	runConcurrently(calls...)
	p.expectEffects(5)

	p.must(p.cluster.SetFault(p.cluster.LogAddress, "lost_reply", map[string]any{"method": "POST", "count": 3, "path": "/log/claims"}))
	p.callUntilComplete(0, "lost")
	p.expectEffects(6)

	p.must(p.cluster.SetFault(p.cluster.LogAddress, "down", nil))
	if r := p.call(0, "outage"); r.Class != load.Refused || r.Reason != contract.ReasonLogUnavailable || r.Outcome != contract.OutcomeNotRun.String() {
		t.Errorf("call while the log is unavailable: %+v, want a refusal that it did not run", r)
	}
	p.must(p.cluster.SetFault(p.cluster.LogAddress, "none", nil))
	p.expectEffects(6)

	p.killAndPauseEntries()
	p.expectEffects(8)

	p.killTarget()
	p.expectEffects(9)
}

// killTarget kills a target while it processes a request. Whether the request ran stays
// unknown, also after the target has started again.
func (p *processTest) killTarget() {
	for _, target := range p.cluster.Targets {
		p.must(p.cluster.SetFault(target.Backend, "stall", map[string]any{"path": "/effect"}))
	}
	result := make(chan load.Result, 1)
	go func() { result <- p.call(2, "dead") }()
	var runningTarget *harness.Target
	p.must(harness.WaitFor(context.Background(), testTimeout, func() error {
		for _, target := range p.cluster.Targets {
			if stats, err := p.cluster.Stats(target.Backend); err == nil && stats["running"] > 0 {
				runningTarget = target
				return nil
			}
		}
		return fmt.Errorf("no target runs the request")
	}))
	runningTarget.Process.Kill()
	for _, target := range p.cluster.Targets {
		p.must(p.cluster.SetFault(target.Backend, "none", nil))
	}
	if r := <-result; r.Class != load.Refused || r.Outcome != contract.OutcomeUnknown.String() {
		p.t.Errorf("call at a target that was killed: %+v, want a refusal with an unknown outcome", r)
	}
	p.expectUnresolved("dead")
	p.must(p.cluster.StartTarget(runningTarget))
	p.must(harness.WaitReady(context.Background(), runningTarget.HTTP, testTimeout))
	p.expectUnresolved("dead")
}

// expectUnresolved retries a call until the entry has asked the targets and reports the
// key as unresolved.
func (p *processTest) expectUnresolved(key string) {
	p.must(harness.WaitFor(context.Background(), testTimeout, func() error {
		r := p.call(1, key)
		if r.Class == load.Complete || r.Outcome != contract.OutcomeUnknown.String() {
			p.t.Fatalf("call with key %s: %+v, want an unknown outcome", key, r)
		}
		if r.Reason != contract.ReasonKeyUnresolved {
			return fmt.Errorf("call with key %s is not unresolved yet: %s", key, r.Detail)
		}
		return nil
	}))
}

// killAndPauseEntries kills one entry and pauses another while each processes a call, and
// sends both calls again through the third entry.
func (p *processTest) killAndPauseEntries() {
	p.setSlowEffects(true)
	before := p.newestClaimOffset()
	results := make(chan load.Result, 2)
	go func() { results <- p.call(0, "killed") }()
	go func() { results <- p.call(1, "paused") }()
	p.must(harness.WaitFor(context.Background(), testTimeout, func() error {
		if now := p.newestClaimOffset(); now < before+2 {
			return fmt.Errorf("newest claim record is at offset %d, want two more records than before", now)
		}
		return nil
	}))
	p.cluster.Entries[0].Process.Kill()
	p.must(p.cluster.Entries[1].Process.Signal(syscall.SIGSTOP))
	p.setSlowEffects(false)
	runConcurrently(func() { p.callUntilComplete(2, "killed") }, func() { p.callUntilComplete(2, "paused") })
	p.must(p.cluster.Entries[1].Process.Signal(syscall.SIGCONT))
	for range 2 {
		p.t.Logf("first call with the key: %+v", <-results)
	}
	p.callUntilComplete(1, "paused")
}
