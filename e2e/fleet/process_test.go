package fleet

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/internal/harness"
)

// entryFile writes the settings file of an entry that uses the store of a rig. It returns the path
// and the address of the readiness probe. No other process uses the entry's addresses.
func entryFile(t *testing.T, r *rig) (file, ready string) {
	t.Helper()
	network, err := harness.NewNetwork()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Release)
	var addresses [4]string
	for i := range addresses {
		addresses[i] = network.NextAddress(1)
	}
	text := fmt.Sprintf("[process]\nrole = entry\nmachine = e1\nzone = a\nregion = ra\n[fleet]\nzones = a:ra\nstore = %s\n"+
		"[listen]\ncallers = %s\nready = %s\nlink = %s\nmetrics = %s\n",
		r.store.Address(), addresses[0], addresses[1], addresses[2], addresses[3])
	file = filepath.Join(t.TempDir(), "entry.ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file, addresses[1]
}

// startProgram starts a program and returns its output, which may be read once ended has the
// result of the process. When the test ends, the process is killed if it still runs, and its
// output is logged if the test failed.
func startProgram(t *testing.T, program string, args ...string) (process *os.Process, output *bytes.Buffer, ended <-chan error) {
	t.Helper()
	cmd := exec.Command(program, args...)
	output = &bytes.Buffer{}
	cmd.Stdout, cmd.Stderr = output, output
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	result, exited := make(chan error, 1), make(chan struct{})
	go func() {
		result <- cmd.Wait()
		close(exited)
	}()
	t.Cleanup(func() {
		if err := cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Error(err)
		}
		<-exited
		if t.Failed() {
			t.Logf("output of the process:\n%s", output)
		}
	})
	return cmd.Process, output, result
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
	file, readyAddress := entryFile(t, r)
	process, output, ended := startProgram(t, bin, "entry", "--config", file)
	ready := func() bool {
		resp, err := http.Get("http://" + readyAddress)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	r.eventually("the process is ready", ready)
	for range 3 {
		if err := process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !ready() {
		t.Error("process is not ready after SIGHUP, want ready")
	}
	if err := process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("process ended after SIGTERM with %v, want no error", err)
	}
	if !strings.Contains(output.String(), "settings reloaded") {
		t.Errorf("output %s, want a line with \"settings reloaded\"", output.String())
	}
}
