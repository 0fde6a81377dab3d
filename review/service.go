//go:build review

package review

import (
	"bytes"
	"encoding/json"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	// PlainService is the name of the plain service.
	PlainService = "registry-gateway"
	// StatusPath is the path prefix of its idempotent requests, and SubmitPath that of those
	// that may run once only. On PortalHost all paths lead to it.
	StatusPath = "/status/"
	SubmitPath = "/submit/"
	PortalHost = "portal.example"
	// serviceSlots is how many requests it runs at once.
	serviceSlots = 6
)

// Service is a process of the stand-in of a plain service, and its entry in the list.
type Service struct {
	ID string

	program, zone, address string
	options                []string
	store                  *Store

	mu   sync.Mutex
	left bool
	cmd  *exec.Cmd
	born int64
	seq  int64
	out  lockedBuffer
}

// lockedBuffer is a buffer that a process writes to.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.String()
}

// NewService starts a process of the plain service in a zone and lists it. The options are
// those of the stand-in's program.
func (f *Fleet) NewService(program, id, zone string, options ...string) (*Service, error) {
	s := &Service{ID: id, program: program, zone: zone, address: f.nextIP() + ":8740", options: options, store: f.Store}
	go s.report()
	return s, s.Start()
}

// Start starts a new lifetime of the service.
func (s *Service) Start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	cmd := exec.Command(s.program, append([]string{"-listen", s.address, "-id", s.ID}, s.options...)...)
	cmd.Stdout, cmd.Stderr = &s.out, os.Stderr
	if err := cmd.Start(); err != nil {
		return err
	}
	started.add(cmd.Process)
	s.cmd, s.born, s.seq = cmd, time.Now().UnixMilli(), 0
	s.publish()
	return nil
}

// Kill kills the process: the kernel ends its connections.
func (s *Service) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cmd == nil {
		return
	}
	_ = s.cmd.Process.Kill()
	_ = s.cmd.Wait()
	started.remove(s.cmd.Process)
	s.cmd = nil
}

// Leave removes the entry of the service, which never says that it drains and goes on serving.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left = true
	s.store.Put(TopicServers, s.ID, nil)
}

// Runs returns the lines in which the service told its runs.
func (s *Service) Runs() []string { return strings.Split(strings.TrimSpace(s.out.String()), "\n") }

// report writes the entry of the service while it runs.
func (s *Service) report() {
	for range time.Tick(reportInterval) {
		s.mu.Lock()
		if s.cmd != nil && !s.left {
			s.publish()
		}
		s.mu.Unlock()
	}
}

// publish writes the entry of the service; mu must be held.
func (s *Service) publish() {
	s.seq++
	data, err := json.Marshal(map[string]any{
		"service": PlainService, "address": s.address, "zone": s.zone, "version": "v1", "slots": serviceSlots,
		"state": "ready", "cold_left_ms": 0, "seq_no": s.seq, "born": s.born,
	})
	if err != nil {
		panic(err)
	}
	s.store.Put(TopicServers, s.ID, data)
}
