package fleet

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// freePorts returns ports that were free at the time of the call.
func freePorts(t *testing.T, n int) []int {
	var ports []int
	for range n {
		lis, err := net.Listen("tcp", loopback)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }()
		ports = append(ports, lis.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// buildProgram builds mimosastand and returns the path of the binary.
func buildProgram(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "mimosastand")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/mimosastand").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	return bin
}

// TestSIGHUPKeepsServing checks that SIGHUP makes a running process reload its settings file, and
// that the process goes on serving.
func TestSIGHUPKeepsServing(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	bin := buildProgram(t)
	ports := freePorts(t, 4)
	file := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf("[process]\nrole = entry\nmachine = e1\nzone = a\nregion = ra\n[fleet]\nzones = a:ra\nstore = %s\n"+
		"[listen]\ncallers = 127.0.0.1:%d\nready = 127.0.0.1:%d\nlink = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n",
		r.store.Address(), ports[0], ports[1], ports[2], ports[3])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(bin, "entry", "--config", file)
	var output bytes.Buffer
	process.Stdout, process.Stderr = &output, &output
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	ready := func() bool {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d", ports[1]))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	r.eventually("the process is ready", ready)
	for range 3 {
		if err := process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !ready() {
		t.Error("process is not ready after SIGHUP, want ready")
	}
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("process ended after SIGTERM with %v, want no error", err)
	}
	if !strings.Contains(output.String(), "settings reloaded") {
		t.Errorf("output %s, want a line with \"settings reloaded\"", output.String())
	}
}
