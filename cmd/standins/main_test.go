package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestRunServesOrRejectsConfig checks that run prints "ready" for a valid file and
// reports the fault of an invalid one.
func TestRunServesOrRejectsConfig(t *testing.T) {
	cases := []struct{ text, want string }{
		{"[log]\nlisten = 127.0.0.1:0\n[store]\nlisten = 127.0.0.1:0\n[origin]\nlisten = 127.0.0.1:0\nrate = 1000\n" +
			"[hosts]\nlisten = 127.0.0.1:0\nlag = 1s\n[engine a]\nlisten = 127.0.0.1:0\nfencing = true\n" +
			"[service b]\nlisten = 127.0.0.1:0\nno_report = true\n", ""},
		{"[log]\nlisten = 127.0.0.1:0\nspeed = 1\n", "speed: unknown key"},
		{"[lag]\nlisten = 127.0.0.1:0\n", "unknown section"},
		{"[log]\nlisten = 10.0.0.1:0\n", "loopback"},
		{"[log]\nlisten = 127.0.0.1:0\nretention = many\n", "many"},
	}
	for _, c := range cases {
		file := filepath.Join(t.TempDir(), "standins.ini")
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var out bytes.Buffer
		err := run(ctx, file, &out)
		if c.want == "" && (err != nil || out.String() != "ready\n") {
			t.Fatalf("run() printed %q with error %v, want \"ready\\n\" without one", out.String(), err)
		}
		if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Fatalf("run() error = %v, want one that contains %q", err, c.want)
		}
	}
}
