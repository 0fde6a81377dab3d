package harness

import (
	"context"
	"sync"
	"syscall"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/internal/relay"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

// plannedStop is how long a process may take for a planned stop: the platform's grace
// and a little for the process to end.
const plannedStop = 10 * time.Second

// Machine runs one process of a fleet, with a door of its own to the store.
type Machine struct {
	Name string
	Zone Zone
	Role string
	// Callers and Ready are the TCP addresses of an entry.
	CallerAddress, ReadyAddress string
	StoreAccess                 *standin.AccessPoint
	// StorePath leads to the door; nil if the process reaches it without a relay.
	StorePath *relay.TCP
	// LinkPath leads to the links of the process that others make to it; nil as above.
	LinkPath *relay.UDP
	// Troubles are the times in which the process did not run or was just signalled,
	// and what else the caller enters.
	Impairments Impairments

	fleet         *Fleet
	link, metrics string
	// engine and service are set for a target.
	engine, service string

	mu      sync.Mutex
	process *Process
	// serving tells that an entry has been ready since its start; expected that the
	// process was made to end.
	serving, expected bool
	// ownEnds tells that a process ended although nobody made it.
	ownEnds bool
	// disturbed is when the process was last killed, paused, resumed, started or ready
	// for the first time; stopped is when a planned stop began, zero if none did.
	disturbed, stopped time.Time
	// back ends the spell in which the process does not run; nil if it runs.
	back func()
}

// Start starts the process.
func (m *Machine) Start() error {
	file, err := writeINI(m.fleet.Dir, m.Name+".ini", m.sections())
	if err != nil {
		return err
	}
	p, err := m.fleet.spawner.spawn(m.fleet.Dir, m.Name, m.fleet.bin, m.Role, "--config", file)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ownEnds = m.ownEnds || m.endedUnexpectedly()
	m.process, m.serving, m.expected = p, false, false
	m.disturbed, m.stopped = time.Now(), time.Time{}
	m.leave()
	m.comeBack()
	return nil
}

// leave notes that the process does not run from now on, comeBack that it does again;
// mu must be held.
func (m *Machine) leave() {
	if m.back == nil {
		m.back = m.Impairments.Begin()
	}
}

func (m *Machine) comeBack() {
	if m.back != nil {
		m.back()
		m.back = nil
	}
}

func (m *Machine) sections() []section {
	listen := map[string]string{"link": m.link, "metrics": m.metrics}
	if m.Role == config.RoleEntry {
		listen["callers"], listen["ready"] = m.CallerAddress, m.ReadyAddress
	}
	sections := []section{
		{name: "process", keys: map[string]string{
			"role": m.Role, "machine": m.Name, "zone": string(m.Zone.Name), "region": string(m.Zone.Region),
		}},
		{name: "fleet", keys: map[string]string{"zones": m.fleet.zonesText(), "store": m.storeAddress()}},
		{name: "listen", keys: listen},
	}
	if m.Role == config.RoleTarget {
		sections = append(sections, section{name: "engine", keys: map[string]string{"address": m.engine, "service": m.service}})
	}
	return sections
}

// storeAddress is where the process reaches the store.
func (m *Machine) storeAddress() string {
	if m.StorePath != nil {
		return m.StorePath.Address()
	}
	return m.StoreAccess.Address()
}

// AwaitReady waits until an entry is ready for callers.
func (m *Machine) AwaitReady(ctx context.Context, wait time.Duration) error {
	if err := WaitFor(ctx, wait, func() error { return answersOK(m.ReadyAddress) }); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.serving, m.disturbed = true, time.Now()
	return nil
}

// Serving reports whether an entry runs and has been ready since its start.
func (m *Machine) Serving() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving && !m.expected && m.process.Running()
}

// Stopping reports whether an entry was ready and runs a planned stop: callers that have
// an open connection go on using it.
func (m *Machine) Stopping() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serving && !m.stopped.IsZero() && m.process.Running()
}

// StoppedSince reports whether nothing but a planned stop has befallen the process
// since at.
func (m *Machine) OnlyStoppedSince(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.stopped.After(at) && m.disturbed.Before(at)
}

func (m *Machine) current() *Process {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process
}

// Running reports whether the process runs.
func (m *Machine) Running() bool {
	p := m.current()
	return p != nil && p.Running()
}

// EndedByItself reports whether a process of this machine has ended although nobody
// made it.
func (m *Machine) ExitedUnexpectedly() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ownEnds || m.endedUnexpectedly()
}

func (m *Machine) endedUnexpectedly() bool {
	return m.process != nil && !m.expected && !m.process.Running()
}

// UndisturbedSince reports whether the process has run since at.
func (m *Machine) UndisturbedSince(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.process != nil && !m.expected && m.process.Running() && m.disturbed.Before(at)
}

// Kill ends the process at once.
func (m *Machine) Kill() {
	m.mu.Lock()
	m.ownEnds = m.ownEnds || m.endedUnexpectedly()
	m.expected, m.disturbed = true, time.Now()
	m.leave()
	p := m.process
	m.mu.Unlock()
	if p != nil {
		p.Kill()
	}
}

// Stop asks for a planned stop and reports whether the process ended well.
func (m *Machine) Stop() bool {
	m.mu.Lock()
	m.ownEnds = m.ownEnds || m.endedUnexpectedly()
	m.expected, m.stopped = true, time.Now()
	m.leave()
	p := m.process
	m.mu.Unlock()
	return p != nil && p.Stop(plannedStop)
}

// Pause stops the process where it is; Resume lets it go on.
func (m *Machine) Pause() error { return m.signal(syscall.SIGSTOP) }

// Resume lets a paused process go on.
func (m *Machine) Resume() error { return m.signal(syscall.SIGCONT) }

// Reload asks the process to read its settings again.
func (m *Machine) Reload() error {
	p := m.current()
	if p == nil {
		return nil
	}
	return p.Signal(syscall.SIGHUP)
}

func (m *Machine) signal(sig syscall.Signal) error {
	m.mu.Lock()
	m.disturbed = time.Now()
	if sig == syscall.SIGSTOP {
		m.leave()
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
		m.comeBack()
	}
	return err
}

// TargetHost is a machine with a model engine and the process beside it.
type TargetHost struct {
	*Machine
	id string

	engineMu sync.Mutex
	running  *standin.Engine
}

// Engine is the engine that runs, or ran last.
func (t *TargetHost) Engine() *standin.Engine {
	t.engineMu.Lock()
	defer t.engineMu.Unlock()
	return t.running
}

func (t *TargetHost) startEngine(version int64) error {
	e := &standin.Engine{
		ID: t.id, Service: standin.ModelService, Zone: string(t.Zone.Name), Model: standin.Model,
		Slots: engineSlots, EventCount: t.fleet.Spec.StreamEvents, EventInterval: t.fleet.Spec.EventInterval,
		UseRelay: t.fleet.Spec.Relayed,
	}
	if err := e.Start(t.fleet.Store, version); err != nil {
		return err
	}
	t.engineMu.Lock()
	t.running = e
	t.engineMu.Unlock()
	t.engine, t.service = e.Address(), standin.ModelService
	return nil
}

// Lose takes the machine away: the engine and the process beside it end at once.
func (t *TargetHost) Lose() {
	t.Kill()
	t.Engine().Stop()
}

// Return brings the machine back: an engine under the same name, at another address,
// that holds nothing.
func (t *TargetHost) Restore() error {
	lost := t.Engine()
	if err := t.startEngine(0); err != nil {
		return err
	}
	t.fleet.mu.Lock()
	t.fleet.former = append(t.fleet.former, lost)
	t.fleet.mu.Unlock()
	return t.Start()
}
