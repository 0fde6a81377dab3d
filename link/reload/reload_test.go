package reload_test

import (
	"bytes"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/link/reload"
)

// fixture holds the credential files of a process and a watcher for them.
type fixture struct {
	t         *testing.T
	auth      *devkeys.Authority
	files     link.CredentialFiles
	scope     tally.TestScope
	logOutput bytes.Buffer
	watcher   *reload.Watcher
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	auth, err := devkeys.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	f := &fixture{t: t, auth: auth, scope: tally.NewTestScope("", nil)}
	f.files = f.issue("entry-1", link.RoleEntry, 48*time.Hour)
	creds, err := link.LoadCredentials(f.files, link.RoleEntry, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	f.watcher = reload.New(creds, f.files, f.scope, &log.Logger{Handler: logfmt.New(&f.logOutput), Level: log.DebugLevel})
	return f
}

func (f *fixture) issue(machine string, role link.Role, validity time.Duration) link.CredentialFiles {
	f.t.Helper()
	files, err := f.auth.Issue(machine, role, validity)
	if err != nil {
		f.t.Fatal(err)
	}
	return files
}

// replaceFiles overwrites the certificate and key of the process with those in from.
func (f *fixture) replaceFiles(from link.CredentialFiles) {
	f.t.Helper()
	for to, source := range map[string]string{f.files.Cert: from.Cert, f.files.Key: from.Key} {
		data, err := os.ReadFile(source)
		if err != nil {
			f.t.Fatal(err)
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fixture) counter(name string) int64 {
	for _, c := range f.scope.Snapshot().Counters() {
		if c.Name() == "credentials."+name {
			return c.Value()
		}
	}
	return 0
}

func (f *fixture) checkAndExpect(reloads, failures int64) {
	f.t.Helper()
	f.watcher.Check(time.Now())
	f.watcher.Check(time.Now()) // unchanged files are handled once
	if f.counter("reloads") != reloads || f.counter("reload_failures") != failures {
		f.t.Fatalf("reloads = %d, reload_failures = %d, want the counts passed to checkAndExpect; log:\n%s", f.counter("reloads"), f.counter("reload_failures"), f.logOutput.String())
	}
}

func TestChecksReloadOnlyUsableFiles(t *testing.T) {
	f := newFixture(t)
	f.checkAndExpect(0, 0)
	f.replaceFiles(f.issue("entry-2", link.RoleEntry, time.Hour))
	f.checkAndExpect(1, 0)
	if !strings.Contains(f.logOutput.String(), "certificate expires in") {
		t.Fatal("log has no warning about the expiry within 1 h, want one")
	}
	f.replaceFiles(f.issue("entry-3", link.RoleEntry, -time.Minute))
	f.checkAndExpect(1, 1)
	f.replaceFiles(f.issue("target-1", link.RoleTarget, time.Hour))
	f.checkAndExpect(1, 2)
	if err := os.WriteFile(f.files.Key, []byte("half a fi"), 0o600); err != nil {
		t.Fatal(err)
	}
	f.checkAndExpect(1, 3)
	f.replaceFiles(f.issue("entry-4", link.RoleEntry, 48*time.Hour))
	f.checkAndExpect(2, 3)
	if strings.Contains(f.logOutput.String(), "PRIVATE") || strings.Contains(f.logOutput.String(), "half a fi") {
		t.Fatal("log contains key material, want none")
	}
}
