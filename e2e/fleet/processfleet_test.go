package fleet

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosastand.example/mimosastand/internal/harness"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	// stagingPieces is the number of pieces of a version of a processFleet.
	stagingPieces = 12
	// requestInterval is the time between two requests to a processFleet.
	requestInterval = 20 * time.Millisecond
	// oldVersionBound is how long after the announcement of a version older ones may be served.
	oldVersionBound = 4 * time.Second
)

// processFleet is a fleet of an entry process and target processes, each beside a stagingEngine.
type processFleet struct {
	*rig
	program string
	callers string
	engines []*stagingEngine
	targets []*fleetProcess
	// version is the newest one that was announced.
	version atomic.Int64

	mu sync.Mutex
	// statuses counts the answers to callers by their status; 0 stands for no answer.
	statuses map[int]int
}

// fleetProcess is a process of the fleet, which may be killed and started again.
type fleetProcess struct {
	t                   *testing.T
	program, role, file string
	output              *os.File

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
}

// newProcessFleet starts a fleet of a program, with requests to its entry, and waits until it serves.
func newProcessFleet(t *testing.T, program string, engines int) *processFleet {
	t.Helper()
	network, err := harness.NewNetwork()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Release)
	f := &processFleet{rig: newBareRig(t, stagingPieces), program: program, statuses: map[int]int{}}
	f.version.Store(1)
	dir := t.TempDir()
	for i := range engines {
		f.engines = append(f.engines, f.startStagingEngine(fmt.Sprintf("i-w%d", i), engineZone(i)))
	}
	file, ready := f.entryFile(dir, network)
	f.startProcess("entry", "e1", file)
	for i := range engines {
		f.targets = append(f.targets, f.startProcess("target", fmt.Sprintf("t%d", i), f.targetFile(dir, network, i)))
	}
	f.eventually("the entry is ready", func() bool { return isReady(ready) })
	f.wg.Go(f.sendRequests)
	f.eventually("all engines serve", func() bool {
		for _, e := range f.engines {
			if e.servedCount() == 0 {
				return false
			}
		}
		return true
	})
	return f
}

func isReady(address string) bool {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

const fleetText = "[process]\nrole = %s\nmachine = %s\nzone = %s\nregion = ra\n[fleet]\nzones = %s\nstore = %s\n" +
	"[bounds]\nversion = %v\n[listen]\nlink = %s\nmetrics = %s\n"

// engineZone returns the zone of an engine. Each has its own, so that they do not load one after another.
func engineZone(i int) string { return fmt.Sprintf("z%d", i) }

// zones returns the setting that lists the zones.
func (f *processFleet) zones() string {
	var list []string
	for i := range max(1, len(f.engines)) {
		list = append(list, engineZone(i)+":ra")
	}
	return strings.Join(list, ", ")
}

func (f *processFleet) entryFile(dir string, network *harness.Network) (file, ready string) {
	ready, f.callers = network.NextAddress(1), network.NextAddress(1)
	text := fmt.Sprintf(fleetText, "entry", "e1", engineZone(0), f.zones(), f.store.Address(), oldVersionBound, network.NextAddress(1), network.NextAddress(1))
	return f.writeFile(dir, "entry.ini", text+fmt.Sprintf("callers = %s\nready = %s\n", f.callers, ready)), ready
}

func (f *processFleet) targetFile(dir string, network *harness.Network, i int) string {
	name := fmt.Sprintf("t%d", i)
	text := fmt.Sprintf(fleetText, "target", name, engineZone(i), f.zones(), f.store.Address(), oldVersionBound, network.NextAddress(1), network.NextAddress(1))
	return f.writeFile(dir, name+".ini", text+fmt.Sprintf("[engine]\naddress = %s\nservice = %s\n", f.engines[i].address, standins.ModelService))
}

func (f *processFleet) writeFile(dir, name, text string) string {
	file := filepath.Join(dir, name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return file
}

// startProcess starts a process of the fleet. When the test ends it is killed, and its output is logged
// if the test failed.
func (f *processFleet) startProcess(role, name, file string) *fleetProcess {
	f.t.Helper()
	output, err := os.Create(file + ".log")
	if err != nil {
		f.t.Fatal(err)
	}
	p := &fleetProcess{t: f.t, program: f.program, role: role, file: file, output: output}
	p.start()
	f.t.Cleanup(func() {
		p.kill()
		_ = output.Close()
		if f.t.Failed() {
			text, _ := os.ReadFile(output.Name())
			f.t.Logf("output of %s:\n%s", name, text)
		}
	})
	return p
}

// start starts the process.
func (p *fleetProcess) start() {
	cmd, done := exec.Command(p.program, p.role, "--config", p.file), make(chan struct{})
	cmd.Stdout, cmd.Stderr = p.output, p.output
	if err := cmd.Start(); err != nil {
		p.t.Error(err)
		return
	}
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.done = cmd, done
}

// kill kills the process and waits until it has ended.
func (p *fleetProcess) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-done
}

// restart kills the process and starts it again at once.
func (p *fleetProcess) restart() {
	p.kill()
	p.start()
}

// freeze has the process stand still for a time.
func (p *fleetProcess) freeze(d time.Duration) {
	p.mu.Lock()
	process := p.cmd.Process
	p.mu.Unlock()
	_ = process.Signal(syscall.SIGSTOP)
	time.Sleep(d)
	_ = process.Signal(syscall.SIGCONT)
}

// sendRequests sends requests to the entry until the rig ends, without waiting for their answers.
func (f *processFleet) sendRequests() {
	for f.ctx.Err() == nil {
		f.wg.Go(func() { f.callProcess() })
		time.Sleep(requestInterval)
	}
}

func (f *processFleet) callProcess() {
	request := standins.Request{AttemptID: fmt.Sprintf("%016x", f.requestCount.Add(1)), APIKey: apiKey, Entry: f.callers,
		Method: http.MethodPost, Path: "/chat/x", Body: "prompt", Prompt: []standins.PromptPart{{ID: fmt.Sprintf("%x", f.requestCount.Load()), Tokens: 100}}}
	req, err := request.NewHTTPRequest()
	if err != nil {
		f.t.Error(err)
		return
	}
	resp, err := http.DefaultTransport.RoundTrip(req.WithContext(f.ctx))
	status := 0
	if err == nil {
		status = resp.StatusCode
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[status]++
}

// announce announces the next version.
func (f *processFleet) announce() int64 {
	version := f.version.Add(1)
	f.store.AnnounceVersion(version)
	return version
}

// awaitVersion waits until an engine holds a version, with sound weights, and serves it.
func (f *processFleet) awaitVersion(e *stagingEngine, version int64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("%s serves version %d soundly", e.id, version), func() bool { return e.servesSoundly(version) })
}

// unsoundLoadsThatServed returns the number of loads of unsound pieces with which requests were answered.
func (f *processFleet) unsoundLoadsThatServed() int {
	n := 0
	for _, e := range f.engines {
		for _, l := range e.unsoundLoads() {
			if l.answers > 0 {
				n++
			}
		}
	}
	return n
}

// servedCount returns the number of requests that the engines answered.
func (f *processFleet) servedCount() int {
	n := 0
	for _, e := range f.engines {
		n += e.servedCount()
	}
	return n
}

// statusCounts returns the number of answers to callers by their status.
func (f *processFleet) statusCounts() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return fmt.Sprint(f.statuses)
}
