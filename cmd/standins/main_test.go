package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestRun(t *testing.T) {
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
			t.Fatalf("%q, %v", out.String(), err)
		}
		if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Fatalf("%v, want %s", err, c.want)
		}
	}
}
