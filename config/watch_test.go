package config

import (
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const fleetFile = `[process]
role = entry
machine = e1
zone = a
region = ra
[fleet]
zones = a:ra,b:rb
store = 127.0.0.1:7000
[listen]
callers = 127.0.0.1:8001
ready = 127.0.0.1:8002
link = 127.0.0.1:7700
metrics = 127.0.0.1:7701
[bounds]
retry_ratio = 0.2
`

func TestWatchReloadsOnSignalOrChangeAndReportsFaults(t *testing.T) {
	file := filepath.Join(t.TempDir(), "entry.ini")
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fleetFile)
	type reload struct {
		process *Process
		err     error
	}
	reloads := make(chan reload)
	hup := make(chan os.Signal)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, file, hup, func(p *Process, err error) { reloads <- reload{p, err} })
	}()
	hup <- syscall.SIGHUP
	if got := <-reloads; got.err != nil || got.process.Fleet.Bounds.RetryRatio != 0.2 {
		t.Errorf("reload after SIGHUP = %+v, want retry ratio 0.2 and no error", got)
	}
	write(strings.Replace(fleetFile, "retry_ratio = 0.2", "retry_ratio = many", 1))
	hup <- syscall.SIGHUP
	if got := <-reloads; got.err == nil {
		t.Error("reload of a file with a fault returned no error")
	}
	write(strings.Replace(fleetFile, "retry_ratio = 0.2", "retry_ratio = 0.5", 1))
	if got := <-reloads; got.err != nil || got.process.Fleet.Bounds.RetryRatio != 0.5 {
		t.Errorf("reload after a change without a signal = %+v, want retry ratio 0.5 and no error", got)
	}
	cancel()
	<-done
}

// TestDeployTemplatesLoad fills in the fields of the deployment templates as the
// platform does and loads the resulting files.
func TestDeployTemplatesLoad(t *testing.T) {
	fields := map[string]string{
		"{{node}}": "n1", "{{zone}}": "a", "{{region}}": "ra", "{{bounds.grace_s}}": "8",
		"{{#zones}}{{@}}:{{.}}{{,}}{{/zones}}": "a:ra,b:rb", "{{platform.address}}": "10.0.0.1:8007", "{{beat_interval_ms}}": "1200",
		"{{listen.front}}": "10.0.0.2:8005", "{{listen.ready}}": "10.0.0.2:8002", "{{ip}}": "10.0.0.2",
		"{{internal_ports.0}}": "7700", "{{internal_ports.1}}": "7701", "{{bounds.retry_budget_ratio}}": "0.2",
		"{{bounds.retry_budget_burst}}": "106", "{{bounds.budget_window_s}}": "10", "{{bounds.cold_rate_factor}}": "1.5",
		"{{bounds.cold_slack}}": "5", "{{bounds.version_ms}}": "8000", "{{app}}": "10.0.0.2:8001", "{{service}}": "huvo11a",
	}
	for _, name := range []string{"entry.ini", "target.ini"} {
		data, err := os.ReadFile(filepath.Join("..", "deploy", name))
		if err != nil {
			t.Fatal(err)
		}
		text := string(data)
		for from, to := range fields {
			text = strings.ReplaceAll(text, from, to)
		}
		file := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p, err := Load(file)
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if p.Fleet == nil || p.Fleet.Zones["b"] != "rb" || p.Fleet.Store != "10.0.0.1:8007" {
			t.Errorf("Load(%s).Fleet = %+v, want zone b in region rb and store 10.0.0.1:8007", name, p.Fleet)
		}
	}
}
