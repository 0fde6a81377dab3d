//go:build review

package harness

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// Machine runs one process of the system.
type Machine struct {
	Name, Zone, IP string

	deployment *Deployment
	role       string
	// program holds the words that start a stand-in; empty for a process of the system.
	program []string
	// fields are the fields of the settings that only this machine has.
	fields map[string]string
	cmd    *exec.Cmd
	done   chan struct{}
	// wasKilled is set if Kill has ended the process while it ran.
	wasKilled bool
}

// SetField changes a field of the settings from the next start on.
func (m *Machine) SetField(name, value string) { m.fields[name] = value }

// CallerAddress returns the address at which an entry serves clients.
func (m *Machine) CallerAddress() string {
	return fmt.Sprintf("%s:%d", m.IP, m.deployment.network.ports.front)
}

// readyAddress returns the address at which an entry says whether it is ready.
func (m *Machine) readyAddress() string {
	return fmt.Sprintf("%s:%d", m.IP, m.deployment.network.ports.ready)
}

// Start starts the process, one of the system with the command of the deploy file.
func (m *Machine) Start() error {
	d := m.deployment
	if len(m.program) > 0 {
		return m.run(m.program, "")
	}
	role, err := readRole(d.Root, m.role)
	if err != nil {
		return err
	}
	template, err := os.ReadFile(filepath.Join(d.Root, role.template))
	if err != nil {
		return err
	}
	text, err := fillTemplate(string(template), d.zoneList(), m.fields)
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, m.Name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	return m.run(role.run, file)
}

// run starts a program of the repository's root; its output goes to a file.
func (m *Machine) run(words []string, settingsFile string) error {
	logFile, err := os.OpenFile(filepath.Join(m.deployment.dir, m.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(m.deployment.Root, words[0]), words[1:]...)
	cmd.Dir = m.deployment.Root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MIMOSASTAND_NODE_FILE=" + settingsFile}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	// The process ends with this one, whatever happens.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.deployment.starter.start(cmd); err != nil {
		return err
	}
	done := make(chan struct{})
	m.cmd, m.done, m.wasKilled = cmd, done, false
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.deployment.Record.Printf("%s: process %d started at %s", m.Name, cmd.Process.Pid, m.IP)
	return nil
}

// starter starts processes from one locked thread: the kernel ends a child with Pdeathsig when the thread
// that started it exits.
type starter struct{ commands chan func() }

func newStarter() *starter {
	s := &starter{commands: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range s.commands {
			start()
		}
	}()
	return s
}

func (s *starter) start(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	s.commands <- func() { result <- cmd.Start() }
	return <-result
}

// AwaitReady waits until an entry reports that it is ready.
func (m *Machine) AwaitReady(timeout time.Duration) error {
	address := "http://" + m.readyAddress() + "/-/readiness"
	client := &http.Client{Timeout: time.Second}
	for until := time.Now().Add(timeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get(address)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			m.deployment.Record.Printf("%s: ready", m.Name)
			return nil
		}
	}
	return fmt.Errorf("harness: %s is not ready after %v", m.Name, timeout)
}

// IsRunning reports whether the process runs.
func (m *Machine) IsRunning() bool {
	if m.cmd == nil {
		return false
	}
	select {
	case <-m.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process, if it runs.
func (m *Machine) Signal(signal syscall.Signal) {
	if !m.IsRunning() {
		return
	}
	m.deployment.Record.Printf("%s: process %d gets signal %q", m.Name, m.cmd.Process.Pid, signal)
	_ = m.cmd.Process.Signal(signal)
}

// AwaitEnd waits until the process has ended, and reports whether it has in time.
func (m *Machine) AwaitEnd(timeout time.Duration) bool {
	if m.cmd == nil {
		return true
	}
	select {
	case <-m.done:
		return true
	case <-time.After(timeout):
		return false
	}
}

// Kill ends the process at once.
func (m *Machine) Kill() {
	m.wasKilled = m.IsRunning()
	m.Signal(syscall.SIGKILL)
	if m.cmd != nil {
		<-m.done
	}
}
