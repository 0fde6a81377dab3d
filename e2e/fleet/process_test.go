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

// freePorts returns ports that were free at the call.
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

// build builds the program and returns its file.
func build(t *testing.T) string {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "mimosastand")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/mimosastand").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return bin
}

// SIGHUP asks a real process to look at its file; it goes on serving.
func TestHangupKeepsServing(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	bin := build(t)
	ports := freePorts(t, 4)
	file := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf("[process]\nrole = entry\nmachine = e1\nzone = a\nregion = ra\n[fleet]\nzones = a:ra\nstore = %s\n"+
		"[listen]\ncallers = 127.0.0.1:%d\nready = 127.0.0.1:%d\nlink = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n",
		r.store.Address(), ports[0], ports[1], ports[2], ports[3])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(bin, "entry", "--config", file)
	var logs bytes.Buffer
	process.Stdout, process.Stderr = &logs, &logs
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
		t.Error("not ready after SIGHUP")
	}
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("ended: %v", err)
	}
	if !strings.Contains(logs.String(), "settings reloaded") {
		t.Errorf("logs: %s", logs.String())
	}
}
