package harness

import (
	"context"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/cli"
	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/relay"
	standins "mimosastand.example/mimosastand/standin/fleet"
)

// plannedStopTimeout bounds a planned stop: the platform's grace period plus some time for
// the process to exit.
const plannedStopTimeout = 10 * time.Second

// Machine runs one process of a fleet, with its own access point to the store.
type Machine struct {
	Name string
	Zone Zone
	Role string
	// CallerAddress and ReadyAddress are the TCP addresses of an entry for callers and for
	// its readiness.
	CallerAddress, ReadyAddress string
	StoreAccess                 *standins.AccessPoint
	// StorePath is the relay to StoreAccess, or nil if the process connects to it directly.
	StorePath *relay.TCP
	// LinkPath is the relay for the links that other processes make to this process, or nil
	// if they connect to it directly.
	LinkPath *relay.UDP
	// Impairments are the spans in which the process did not run, and those that users of
	// the harness add.
	Impairments Impairments

	fleet                       *Fleet
	linkAddress, metricsAddress string
	// engineAddress and service are set for a target.
	engineAddress, service string

	mu      sync.Mutex
	process *Process
	// serving reports whether an entry has been ready since its start; endExpected whether
	// the harness stopped or killed the process.
	serving, endExpected bool
	// unexpectedExit reports whether an earlier process exited although the harness had
	// neither stopped nor killed it.
	unexpectedExit bool
	// startedAt is when the current process was started.
	startedAt time.Time
	// disturbedAt is when the process was last killed, paused, resumed, started or found
	// ready. stoppedAt is when its planned stop began; zero if there was none.
	disturbedAt, stoppedAt time.Time
	// endDowntime ends the impairment during which the process does not run; nil while it
	// runs.
	endDowntime func()
}

// Start starts the process.
func (m *Machine) Start() error {
	file, err := writeINI(m.fleet.Dir, m.Name+".ini", m.sections())
	if err != nil {
		return err
	}
	p, err := m.fleet.spawner.spawn(m.fleet.Dir, m.Name, m.fleet.program, m.Role, "--config", file)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unexpectedExit = m.unexpectedExit || m.processExitedUnexpectedly()
	m.process, m.serving, m.endExpected = p, false, false
	m.startedAt = time.Now()
	m.disturbedAt, m.stoppedAt = m.startedAt, time.Time{}
	m.beginDowntime()
	m.finishDowntime()
	return nil
}

// StartedAt returns when the current process was started.
func (m *Machine) StartedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.startedAt
}

// beginDowntime records that the process does not run from now on. mu must be held.
func (m *Machine) beginDowntime() {
	if m.endDowntime == nil {
		m.endDowntime = m.Impairments.Begin()
	}
}

// finishDowntime records that the process runs again. mu must be held.
func (m *Machine) finishDowntime() {
	if m.endDowntime != nil {
		m.endDowntime()
		m.endDowntime = nil
	}
}

// sections returns the settings file of the process.
func (m *Machine) sections() []section {
	listen := map[string]string{"link": m.linkAddress, "metrics": m.metricsAddress}
	if m.Role == config.RoleEntry {
		listen["callers"], listen["ready"] = m.CallerAddress, m.ReadyAddress
	}
	sections := []section{
		{name: "process", keys: map[string]string{
			"role": m.Role, "machine": m.Name, "zone": string(m.Zone.Name), "region": string(m.Zone.Region),
		}},
		{name: "fleet", keys: map[string]string{"zones": m.fleet.zoneList(), "store": m.storeAddress()}},
		{name: "listen", keys: listen},
	}
	if m.Role == config.RoleTarget {
		sections = append(sections, section{name: "engine", keys: map[string]string{"address": m.engineAddress, "service": m.service}})
	}
	return sections
}

// storeAddress returns the address at which the process reaches the store.
func (m *Machine) storeAddress() string {
	if m.StorePath != nil {
		return m.StorePath.Address()
	}
	return m.StoreAccess.Address()
}

// ExplainPlacement runs the command "explain placement" for a request at the entry, and returns what it
// prints. A request that would be refused is no error.
func (m *Machine) ExplainPlacement(ctx context.Context, args ...string) (string, error) {
	args = append([]string{"explain", "placement", "--entry", m.metricsAddress}, args...)
	out, err := exec.CommandContext(ctx, m.fleet.program, args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == cli.ExitWouldRefuse {
		err = nil
	}
	return string(out), errors.Wrap(err, "explain placement")
}

// AwaitReady waits until the entry is ready for callers.
func (m *Machine) AwaitReady(ctx context.Context, timeout time.Duration) error {
	if err := WaitFor(ctx, timeout, func() error { return checkOK(m.ReadyAddress) }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving, m.disturbedAt = true, time.Now()
	return nil
}

// Serving reports whether the entry runs, has been ready since its start and was not
// stopped or killed.
func (m *Machine) Serving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving && !m.endExpected && m.process.Running()
}

// Stopping reports whether an entry that was ready is in a planned stop. Callers keep using
// open connections to it in that time.
func (m *Machine) Stopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving && !m.stoppedAt.IsZero() && m.process.Running()
}

// OnlyStoppedSince reports whether a planned stop of the process began after at and nothing
// else has disturbed the process since at.
func (m *Machine) OnlyStoppedSince(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stoppedAt.After(at) && m.disturbedAt.Before(at)
}

func (m *Machine) currentProcess() *Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// Running reports whether the process runs.
func (m *Machine) Running() bool {
	p := m.currentProcess()
	return p != nil && p.Running()
}

// ExitedUnexpectedly reports whether a process of this machine has exited although the
// harness had neither stopped nor killed it.
func (m *Machine) ExitedUnexpectedly() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.unexpectedExit || m.processExitedUnexpectedly()
}

// processExitedUnexpectedly is ExitedUnexpectedly for the current process. mu must be held.
func (m *Machine) processExitedUnexpectedly() bool {
	return m.process != nil && !m.endExpected && !m.process.Running()
}

// UndisturbedSince reports whether the process has run since at without being started,
// stopped, killed, paused, resumed or found ready.
func (m *Machine) UndisturbedSince(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process != nil && !m.endExpected && m.process.Running() && m.disturbedAt.Before(at)
}

// Kill kills the process.
func (m *Machine) Kill() {
	m.mu.Lock()
	m.unexpectedExit = m.unexpectedExit || m.processExitedUnexpectedly()
	m.endExpected, m.disturbedAt = true, time.Now()
	m.beginDowntime()
	p := m.process
	m.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// Stop runs a planned stop and reports whether the process exited with status 0 in time.
func (m *Machine) Stop() bool {
	m.mu.Lock()
	m.unexpectedExit = m.unexpectedExit || m.processExitedUnexpectedly()
	m.endExpected, m.stoppedAt = true, time.Now()
	m.beginDowntime()
	p := m.process
	m.mu.Unlock()
	return p != nil && p.Stop(plannedStopTimeout)
}

// Pause suspends the process until Resume.
func (m *Machine) Pause() error { return m.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (m *Machine) Resume() error { return m.signal(syscall.SIGCONT) }

// Reload makes the process read its settings again.
func (m *Machine) Reload() error {
	p := m.currentProcess()
	if p == nil {
		return nil
	}
	return p.Signal(syscall.SIGHUP)
}

func (m *Machine) signal(sig syscall.Signal) error {
	m.mu.Lock()
	m.disturbedAt = time.Now()
	if sig == syscall.SIGSTOP {
		m.beginDowntime()
	}
	p := m.process
	m.mu.Unlock()
	if p == nil {
		return nil
	}
	err := p.Signal(sig)
	if sig == syscall.SIGCONT {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.finishDowntime()
	}
	return err
}

// TargetHost is a machine with a model engine and the target process next to it.
type TargetHost struct {
	*Machine
	id string

	engineMu sync.Mutex
	current  *standins.Engine
}

// Engine returns the engine that runs, or ran last.
func (t *TargetHost) Engine() *standins.Engine {
	t.engineMu.Lock()
	defer t.engineMu.Unlock()
	return t.current
}

func (t *TargetHost) startEngine(version int64) error {
	e := &standins.Engine{
		ID: t.id, Service: standins.ModelService, Zone: string(t.Zone.Name), Model: standins.Model,
		Slots: engineSlots, EventCount: t.fleet.Spec.StreamEvents, EventInterval: t.fleet.Spec.EventInterval,
		UseRelay: t.fleet.Spec.UseRelays,
	}
	if err := e.Start(t.fleet.Store, version); err != nil {
		return err
	}
	t.engineMu.Lock()
	t.current = e
	t.engineMu.Unlock()
	e.SetCrashCauses(t.fleet.crashCausesNow())
	t.engineAddress, t.service = e.Address(), standins.ModelService
	return nil
}

// Lose simulates the loss of the machine: the engine and the target process end at once.
func (t *TargetHost) Lose() {
	t.Kill()
	t.Engine().Stop()
}

// Restore brings a lost machine back, with an engine that has the same name, another address
// and no weights.
func (t *TargetHost) Restore() error {
	lost := t.Engine()
	if err := t.startEngine(0); err != nil {
		return err
	}
	t.fleet.mu.Lock()
	t.fleet.formerEngines = append(t.fleet.formerEngines, lost)
	t.fleet.mu.Unlock()
	return t.Start()
}
