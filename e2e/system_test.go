package e2e

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/harness"
	"mimosastand.example/mimosastand/internal/load"
	"mimosastand.example/mimosastand/services"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/weights"
)

const (
	modelService contract.ServiceName = "mimosa-pool"
	plainService contract.ServiceName = "wallet-core"
	team         contract.TeamName    = "parents"

	// hangTimeout ends a wait that would otherwise never end.
	hangTimeout = time.Minute
)

const settingsINI = `
[defaults]
max_running = 12
cold_running = 4
slow_start = 500ms

[zone taipei-a]
region = tw-north

[zone taichung-a]
region = tw-central

[service mimosa-pool]
kind = model
targets = 4

[service wallet-core]
kind = plain
targets = 2

[team parents]
share = 1
`

// binDir is the directory of the built programs.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

// runTests builds the programs and runs the tests.
func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mimosastand-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "../cmd/mimosastand", "../cmd/standins")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// system is a running cluster with a deployed version.
type system struct {
	*harness.Cluster
	t      *testing.T
	caller *load.Caller
	digest contract.Digest
}

func startSystem(t *testing.T) *system {
	t.Helper()
	return startSystemWith(t, defaultSpec())
}

// startWithRelays starts a system whose network connections run through relays, so that they can
// be cut.
func startWithRelays(t *testing.T) *system {
	t.Helper()
	relayed := defaultSpec()
	relayed.UseRelays = true
	return startSystemWith(t, relayed)
}

func defaultSpec() harness.Spec {
	return harness.Spec{
		Zones: []harness.Zone{
			{Name: "taipei-a", Region: "tw-north"},
			{Name: "taichung-a", Region: "tw-central"},
		},
		Services: []harness.Service{
			{Name: modelService, Model: true, PerZone: 2},
			{Name: plainService, PerZone: 1},
		},
		EntriesPerZone: 1,
		EngineOptions: map[string]string{
			"cold_start": "500ms", "cold_limit": "4", "warm_limit": "12",
			"token_delay": "20ms", "prefill_delay": "10ms", "report_lag": "200ms", "fencing": "true",
		},
	}
}

func startSystemWith(t *testing.T, spec harness.Spec) *system {
	t.Helper()
	cluster, err := harness.New(t.TempDir(), binDir, spec)
	if err != nil {
		t.Fatal(err)
	}
	s := &system{Cluster: cluster, t: t, caller: load.NewCaller(engine.Token, 20*time.Second)}
	t.Cleanup(s.stop)
	s.must(cluster.StartStandIns(hangTimeout))
	s.must(cluster.StartAll())
	s.configure()
	return s
}

// stop ends all processes and, if the test failed, shows the ends of their logs.
func (s *system) stop() {
	s.Close()
	if !s.t.Failed() {
		return
	}
	for _, p := range s.Processes() {
		const shown = 4 << 10
		data, _ := os.ReadFile(p.LogFile)
		s.t.Logf("%s:\n%s", p.Name, data[max(0, len(data)-shown):])
	}
}

func (s *system) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// configure applies the settings, deploys a version and waits until all hosts serve it.
func (s *system) configure() {
	s.t.Helper()
	ctx := context.Background()
	file := filepath.Join(s.Dir, "settings.ini")
	s.must(os.WriteFile(file, []byte(settingsINI), 0o600))
	s.must(harness.WaitFor(ctx, hangTimeout, func() error {
		_, err := s.RunOperator(ctx, "set", "--file", file)
		return err
	}))
	s.digest = s.publishVersion("first", 1)
	_, err := s.RunOperator(ctx, "deploy", string(modelService), "--weights", string(s.digest))
	s.must(err)
	for _, target := range s.Targets {
		s.must(harness.WaitReady(ctx, target.HTTP, hangTimeout))
	}
	for _, entry := range s.Entries {
		s.must(harness.WaitFor(ctx, hangTimeout, func() error { return s.checkServing(entry) }))
	}
}

// checkServing checks that an entry host serves the deployed version.
func (s *system) checkServing(entry *harness.Entry) error {
	probe := load.ModelCall{Service: modelService, Team: team, Prompt: "probe", MaxTokens: 1}
	if r := s.caller.Generate(context.Background(), "http://"+entry.HTTP, probe); r.Class != load.Complete {
		return fmt.Errorf("%s: %s", entry.Machine, r.Detail)
	}
	return nil
}

// publishVersion publishes a version of random weights at the origin.
func (s *system) publishVersion(name string, seed uint64) contract.Digest {
	s.t.Helper()
	const versionBytes, chunkBytes = 1 << 20, 128 << 10
	rng := rand.New(rand.NewPCG(seed, 0))
	data := make([]byte, versionBytes)
	for i := range data {
		data[i] = byte(rng.Uint32())
	}
	origin := services.NewClient("http://" + s.OriginAddress)
	digest, err := weights.Publish(context.Background(), origin, bytes.NewReader(data), name, chunkBytes)
	s.must(err)
	return digest
}

// startTraffic starts calls through all entry hosts; they end with Stop.
func (s *system) startTraffic(modelInterval, plainInterval time.Duration) *load.Traffic {
	var bases []string
	for _, e := range s.Entries {
		bases = append(bases, "http://"+e.HTTP)
	}
	traffic := &load.Traffic{
		Caller: s.caller, Entries: load.NewRoundRobin(bases...),
		ModelService: modelService, PlainService: plainService, Teams: []contract.TeamName{team},
		MaxTokens: 30, ModelInterval: modelInterval, PlainInterval: plainInterval,
	}
	traffic.Start(context.Background())
	return traffic
}

// stopAndWait stops the traffic and waits for the calls in progress.
func stopAndWait(traffic *load.Traffic) {
	traffic.Stop()
	traffic.Wait()
}

// waitForCalls waits until at least n calls have ended.
func (s *system) waitForCalls(tally *load.Tally, n int) {
	s.t.Helper()
	s.must(harness.WaitFor(context.Background(), hangTimeout, func() error {
		if got := tally.Total(); got < n {
			return fmt.Errorf("%d calls ended, want %d", got, n)
		}
		return nil
	}))
}

// firstTarget returns the first target of a service.
func (s *system) firstTarget(service contract.ServiceName) *harness.Target {
	for _, t := range s.Targets {
		if t.Service.Name == service {
			return t
		}
	}
	s.t.Fatalf("no target of %s", service)
	return nil
}

// checkNoRepeatedEffects fails the test if an effect ran twice.
func (s *system) checkNoRepeatedEffects() {
	s.t.Helper()
	for _, t := range s.Targets {
		if t.Service.Model {
			continue
		}
		stats, err := s.Stats(t.Backend)
		s.must(err)
		if repeated := stats["doubled_by_key"] + stats["doubled_by_request"]; repeated != 0 {
			s.t.Errorf("%s: %.0f effects ran twice, want none", t.Machine, repeated)
		}
	}
}

// checkNoBadAnswers fails the test if a caller got a truncated or a wrong answer.
func (s *system) checkNoBadAnswers(tally *load.Tally) {
	s.t.Helper()
	if bad := tally.Count(load.Truncated) + tally.Count(load.Wrong); bad != 0 {
		s.t.Errorf("%d answers truncated or wrong, want none: %v", bad, tally.Details())
	}
}

// checkAllComplete fails the test if a caller got anything but a complete answer.
func (s *system) checkAllComplete(tally *load.Tally) {
	s.t.Helper()
	if complete, all := tally.Count(load.Complete), tally.Total(); complete != all {
		s.t.Errorf("%d of %d answers complete, want all: %v", complete, all, tally.Details())
	}
}
