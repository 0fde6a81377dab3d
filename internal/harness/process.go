package harness

import (
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Process is a started program whose output goes to a file.
type Process struct {
	Name    string
	LogFile string
	cmd     *exec.Cmd
	done    chan struct{}
	err     error
}

// spawner starts programs from one locked thread, because the kernel kills a child with
// Pdeathsig when the thread that started it exits.
type spawner struct {
	starts chan func()
}

func newSpawner() *spawner {
	s := &spawner{starts: make(chan func())}
	go func() {
		runtime.LockOSThread()
		for start := range s.starts {
			start()
		}
	}()
	return s
}

func (s *spawner) start(cmd *exec.Cmd) error {
	result := make(chan error, 1)
	s.starts <- func() { result <- cmd.Start() }
	return <-result
}

// spawn starts program with args; its output goes to dir/name.log.
func (s *spawner) spawn(dir, name, program string, args ...string) (*Process, error) {
	logFile := filepath.Join(dir, name+".log")
	out, err := os.OpenFile(logFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "harness")
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(program, args...)
	cmd.Stdout = out
	cmd.Stderr = out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.start(cmd); err != nil {
		return nil, errors.Wrapf(err, "harness: start %s", name)
	}
	p := &Process{Name: name, LogFile: logFile, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// PID returns the process id.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Signal sends a signal to the process if it runs, such as SIGTERM for a planned stop,
// SIGKILL to kill it, SIGSTOP and SIGCONT for a pause.
func (p *Process) Signal(sig os.Signal) error {
	if !p.Running() {
		return nil
	}
	return errors.Wrapf(p.cmd.Process.Signal(sig), "harness: signal %s", p.Name)
}

// Stop requests a planned stop and waits for it. It reports whether the process exited with
// status 0 within grace. A process that has not exited by then is killed.
func (p *Process) Stop(grace time.Duration) bool {
	_ = p.Signal(syscall.SIGTERM)
	timer := time.NewTimer(grace)
	defer timer.Stop()
	select {
	case <-p.done:
		return p.err == nil
	case <-timer.C:
		p.Kill()
		return false
	}
}

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.done
}
