//go:build review

package review

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// readyTimeout bounds the time until an entry is ready.
	readyTimeout = 15 * time.Second
	// waitInterval is the time between two looks at a state that is waited for.
	waitInterval = 50 * time.Millisecond
)

// Zone is a zone with the machines in it.
type Zone struct {
	Name, Region     string
	Entries, Engines int
	// HasStorePath is set if the zone's processes reach the store over a path that can be cut.
	HasStorePath bool
}

// Spec describes a small deployment. Program is the program that the deploy file builds, and
// Templates the folder of its templates.
type Spec struct {
	Zones              []Zone
	Program, Templates string
	// KeepHistory is how long the store keeps its history.
	KeepHistory time.Duration
}

// Fleet is a small deployment: the project's processes, and stand-ins of the rest.
type Fleet struct {
	Store   *Store
	Origin  *Origin
	Entries []*Process
	Targets []*Process
	Engines []*Engine
	// StorePaths holds the paths to the store that can be cut, by zone.
	StorePaths map[string]*CutPath

	spec     Spec
	dir      string
	record   *Record
	network  string
	lastHost int
}

// NewFleet starts the stand-ins and prepares the processes.
func NewFleet(spec Spec, record *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{spec: spec, dir: dir, record: record, StorePaths: map[string]*CutPath{}}
	f.network = freeNetwork()
	storeAddress, originAddress := f.nextIP()+":8007", f.nextIP()+":8006"
	if f.Store, err = NewStore(storeAddress, spec.KeepHistory); err != nil {
		return nil, err
	}
	if f.Origin, err = NewOrigin(originAddress); err != nil {
		return nil, err
	}
	f.Store.Put(TopicOperators, "config", manifest(originAddress, spec.Zones[0].Name))
	for _, z := range spec.Zones {
		if err := f.addZone(z, storeAddress); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// freeNetwork returns the first three parts of loopback addresses of which the first is free.
func freeNetwork() string {
	for {
		network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", network+".1:8007")
		if err == nil {
			_ = listener.Close()
			return network
		}
	}
}

// nextIP returns a loopback address of its own for each machine, as on the platform.
func (f *Fleet) nextIP() string {
	f.lastHost++
	return f.network + "." + strconv.Itoa(f.lastHost)
}

func (f *Fleet) addZone(z Zone, storeAddress string) error {
	if z.HasStorePath {
		path, err := NewCutPath(f.nextIP()+":8007", storeAddress)
		if err != nil {
			return err
		}
		f.StorePaths[z.Name], storeAddress = path, path.Address
	}
	for n := range z.Entries {
		ip := f.nextIP()
		fields := f.fields(fmt.Sprintf("edge-%s-%d", z.Name, n+1), z, ip, storeAddress)
		fields["listen.front"], fields["listen.ready"] = ip+":8005", ip+":8002"
		f.Entries = append(f.Entries, f.process("entry", fields))
	}
	for n := range z.Engines {
		ip := f.nextIP()
		fields := f.fields(fmt.Sprintf("side-%s-%d", z.Name, n+1), z, ip, storeAddress)
		fields["app"], fields["service"] = ip+":8001", ModelService
		f.Targets = append(f.Targets, f.process("target", fields))
		e, err := NewEngine(fmt.Sprintf("i-%s-%d", z.Name, n+1), z.Name, ip+":8001", f.Store, f.record)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
	}
	return nil
}

// fields returns the fields of the platform's settings that the templates use, with the bounds
// of the sheet of Kalahari.
func (f *Fleet) fields(name string, z Zone, ip, storeAddress string) map[string]string {
	return map[string]string{
		"node": name, "zone": z.Name, "region": z.Region, "ip": ip, "platform.address": storeAddress,
		"internal_ports.0": "7700", "beat_interval_ms": strconv.FormatInt(reportInterval.Milliseconds(), 10),
		"bounds.grace_s": "8", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_burst": "106", "bounds.budget_window_s": "10",
		"bounds.cold_rate_factor": "1.5", "bounds.cold_slack": "5", "bounds.version_ms": "8000",
	}
}

// render fills in a template of the deploy file.
func (f *Fleet) render(role string, fields map[string]string) (string, error) {
	text, err := os.ReadFile(filepath.Join(f.spec.Templates, role+".ini"))
	if err != nil {
		return "", err
	}
	var zones, pairs []string
	for _, z := range f.spec.Zones {
		zones = append(zones, z.Name+":"+z.Region)
	}
	pairs = append(pairs, "{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}", strings.Join(zones, ","))
	for name, value := range fields {
		pairs = append(pairs, "{{"+name+"}}", value)
	}
	out := strings.NewReplacer(pairs...).Replace(string(text))
	if strings.Contains(out, "{{") {
		return "", fmt.Errorf("template %s has a placeholder without a value", role)
	}
	return out, nil
}

func (f *Fleet) process(role string, fields map[string]string) *Process {
	return &Process{
		Name: fields["node"], CallerAddress: fields["listen.front"], readyAddress: fields["listen.ready"],
		fleet: f, role: role, fields: fields,
	}
}

// manifest returns the operators' manifest.
func manifest(originAddress, originZone string) []byte {
	data, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{
			{"name": "notes-draft", "host": Host, "path_prefix": ChatPath, "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 400,
				"priority": 1, "service": ModelService, "max_attempts": 2, "can_resume": true, "gap_target_ms": 300, "sticky": true},
			{"name": "filing-status", "host": Host, "path_prefix": StatusPath, "kind": "idempotent", "timeout_ms": 600, "target_latency_ms": 100,
				"priority": 2, "service": PlainService, "max_attempts": 2},
			{"name": "registry-submit", "host": Host, "path_prefix": SubmitPath, "kind": "non_idempotent", "timeout_ms": 600, "target_latency_ms": 100,
				"priority": 2, "service": PlainService, "max_attempts": 1},
			{"name": "portal", "host": PortalHost, "path_prefix": "/", "kind": "non_idempotent", "timeout_ms": 600, "target_latency_ms": 100,
				"priority": 2, "service": PlainService, "max_attempts": 1},
		},
		"services": []map[string]any{
			{"name": ModelService, "health_path": "/health", "max_conns": 434, "cold_start_s": 0, "cold_per_s": 38, "engine": map[string]any{
				"slots": engineSlots, "step_ms": 7.4, "per_seq_ms": 0.0387, "context_per_k": 0.0203, "read_per_s": 31900, "stride": 6,
				"models": []map[string]any{{"name": Model}}, "usual": map[string]any{"prompt": 100, "answer": 32},
				"layers": modelLayers, "chunks": pieceCount, "chunk_bytes": pieceBytes, "report_lag_ms": 200,
			}},
			{"name": PlainService, "health_path": "/health", "max_conns": 110, "cold_start_s": 0, "cold_per_s": 0},
			{"name": "ledger-portal", "origin": originAddress, "zone": originZone, "max_conns": 48},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{{"name": "tenant-1", "api_keys": []string{Key}}},
	})
	if err != nil {
		panic(err)
	}
	return data
}

// AnnounceVersion names new weights, as operators do.
func (f *Fleet) AnnounceVersion(version int64) {
	f.record.Announce("the operator names version %d", version)
	f.Store.Put(TopicOperators, "version/"+Model, fmt.Appendf(nil, `{"model":%q,"version":%d}`, Model, version))
}

// StartAll starts all processes and waits until the entries are ready.
func (f *Fleet) StartAll() error {
	for _, p := range f.processes() {
		if err := p.Start(); err != nil {
			return err
		}
	}
	for _, p := range f.Entries {
		if err := WaitFor(readyTimeout, p.isReady); err != nil {
			return fmt.Errorf("%s is not ready: %w", p.Name, err)
		}
	}
	return nil
}

func (f *Fleet) processes() []*Process {
	return append(append([]*Process(nil), f.Entries...), f.Targets...)
}

// KillAll kills all processes.
func (f *Fleet) KillAll() {
	for _, p := range f.processes() {
		p.Kill()
	}
}

// Close kills all processes and removes the temporary folder.
func (f *Fleet) Close() {
	f.KillAll()
	_ = os.RemoveAll(f.dir)
}

// HoldVersion reports whether all engines hold a version.
func (f *Fleet) HoldVersion(version int64) bool {
	for _, e := range f.Engines {
		if e.Version() != version {
			return false
		}
	}
	return true
}

// CallerAddresses returns the addresses of the entries for clients.
func (f *Fleet) CallerAddresses() []string {
	var list []string
	for _, p := range f.Entries {
		list = append(list, p.CallerAddress)
	}
	return list
}

// WaitFor waits until a condition holds.
func WaitFor(timeout time.Duration, holds func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(waitInterval) {
		if holds() {
			return nil
		}
	}
	return context.DeadlineExceeded
}

// Process is one process of the project.
type Process struct {
	Name, CallerAddress string

	readyAddress string
	fleet        *Fleet
	role         string
	fields       map[string]string
	cmd          *exec.Cmd
}

// Start starts the process as the deploy file does. Its log goes to the temporary folder.
func (p *Process) Start() error {
	text, err := p.fleet.render(p.role, p.fields)
	if err != nil {
		return err
	}
	file := filepath.Join(p.fleet.dir, p.Name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.fleet.dir, p.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(p.fleet.spec.Program, p.role)
	p.cmd.Env = []string{"MIMOSASTAND_NODE_FILE=" + file}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	started.add(p.cmd.Process)
	return nil
}

// Kill kills the process, if it runs.
func (p *Process) Kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	_ = p.cmd.Process.Kill()
	_ = p.cmd.Wait()
	started.remove(p.cmd.Process)
	p.cmd = nil
}

// Freeze suspends the process.
func (p *Process) Freeze() error { return p.cmd.Process.Signal(syscall.SIGSTOP) }

// Thaw continues a suspended process.
func (p *Process) Thaw() error { return p.cmd.Process.Signal(syscall.SIGCONT) }

// MemoryBytes returns the memory of the process that no file backs.
func (p *Process) MemoryBytes() (int64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == "RssAnon:" {
			kilobytes, err := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, fmt.Errorf("no memory of process %s", p.Name)
}

func (p *Process) isReady() bool {
	resp, err := http.Get("http://" + p.readyAddress + "/-/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// started holds the processes that run, for an end of the case by a signal.
var started = processSet{running: map[*os.Process]bool{}}

type processSet struct {
	mu      sync.Mutex
	running map[*os.Process]bool
}

func (s *processSet) add(p *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[p] = true
}

func (s *processSet) remove(p *os.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.running, p)
}

// killStarted kills all processes that run.
func killStarted() {
	started.mu.Lock()
	defer started.mu.Unlock()
	for p := range started.running {
		_ = p.Kill()
	}
}
