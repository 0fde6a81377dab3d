package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mimosastand.example/mimosastand/zone/hostlist"
)

// pollInterval is the time between two checks of a condition.
const pollInterval = 50 * time.Millisecond

// WaitFor polls check until it returns nil. After timeout, or once ctx ends, it returns the
// last error of check.
func WaitFor(ctx context.Context, timeout time.Duration, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(pollInterval):
		}
	}
}

// waitForLine waits until the log of a process contains line.
func waitForLine(p *Process, line string, timeout time.Duration) error {
	return WaitFor(context.Background(), timeout, func() error {
		if !p.Running() {
			return errors.Newf("harness: %s exited early, see %s", p.Name, p.LogFile)
		}
		data, err := os.ReadFile(p.LogFile)
		if err != nil {
			return errors.Wrap(err, "harness")
		}
		if !bytes.Contains(data, []byte(line)) {
			return errors.Newf("harness: %s did not print %q", p.Name, line)
		}
		return nil
	})
}

// WaitReady waits until the process behind an HTTP address answers /readyz with 200.
func WaitReady(ctx context.Context, address string, timeout time.Duration) error {
	return WaitFor(ctx, timeout, func() error { return checkOK(address + "/readyz") })
}

// checkOK checks that an address ("ip:port", with or without a path) answers 200.
func checkOK(address string) error {
	resp, err := http.Get("http://" + address)
	if err != nil {
		return errors.Wrap(err, "harness")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		return errors.Newf("harness: %s answered status %d: %s", address, resp.StatusCode, body)
	}
	return nil
}

// PutHosts sends the complete list of hosts to the stand-in of the host list.
func (c *Cluster) PutHosts() error {
	list := hostlist.List{Version: 1}
	for _, e := range c.Entries {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Machine: e.Machine, Role: hostlist.Entry, Zone: e.Zone.Name, Region: e.Zone.Region,
			Address: e.AdvertisedLink, State: hostlist.Live,
		})
	}
	for _, t := range c.Targets {
		list.Hosts = append(list.Hosts, hostlist.Host{
			Machine: t.Machine, Role: hostlist.Target, Zone: t.Zone.Name, Region: t.Zone.Region,
			Service: t.Service.Name, Address: t.AdvertisedLink, State: hostlist.Live,
		})
	}
	return sendJSON(http.MethodPut, "http://"+c.HostsAddress+"/hosts", list)
}

// SetFault enables a fault of the stand-in at address; the fault "none" disables all.
func (c *Cluster) SetFault(address, fault string, options map[string]any) error {
	body := map[string]any{"fault": fault}
	for k, v := range options {
		body[k] = v
	}
	return sendJSON(http.MethodPost, "http://"+address+"/fault", body)
}

// sendJSON sends v as JSON and fails if the status of the answer is an error.
func sendJSON(method, url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "harness")
	}
	req, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "harness")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "harness")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusBadRequest {
		body, _ := io.ReadAll(resp.Body)
		return errors.Newf("harness: %s %s answered status %d: %s", method, url, resp.StatusCode, body)
	}
	return nil
}

// Stats returns the counters of the stand-in at address.
func (c *Cluster) Stats(address string) (map[string]float64, error) {
	resp, err := http.Get("http://" + address + "/stats")
	if err != nil {
		return nil, errors.Wrap(err, "harness")
	}
	defer func() { _ = resp.Body.Close() }()
	var raw map[string]any
	if err := json.NewDecoder(resp.Body).Decode(&raw); err != nil {
		return nil, errors.Wrap(err, "harness")
	}
	stats := map[string]float64{}
	for k, v := range raw {
		if n, ok := v.(float64); ok {
			stats[k] = n
		}
	}
	return stats, nil
}

// RunOperator runs an operators' command against all entry hosts and returns its output.
func (c *Cluster) RunOperator(ctx context.Context, args ...string) (string, error) {
	return c.RunOperatorAt(ctx, c.Entries, args...)
}

// RunOperatorAt runs an operators' command against the given entry hosts and returns its
// output.
func (c *Cluster) RunOperatorAt(ctx context.Context, entries []*Entry, args ...string) (string, error) {
	for _, e := range entries {
		args = append(args, "--server", "http://"+e.Admin)
	}
	args = append(args, "--token-file", c.adminTokenFile())
	cmd := exec.CommandContext(ctx, filepath.Join(c.BinDir, "mimosastand"), args...)
	out, err := cmd.CombinedOutput()
	return string(out), errors.Wrapf(err, "harness: mimosastand %s: %s", strings.Join(args[:min(3, len(args))], " "), out)
}

func (c *Cluster) adminTokenFile() string {
	return filepath.Join(c.Dir, "admin.token")
}
