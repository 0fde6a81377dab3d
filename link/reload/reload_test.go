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

// rig holds a process's files and a watcher of them.
type rig struct {
	t       *testing.T
	auth    *devkeys.Authority
	files   link.CredentialFiles
	scope   tally.TestScope
	written bytes.Buffer
	watcher *reload.Watcher
}

func newRig(t *testing.T) *rig {
	t.Helper()
	auth, err := devkeys.NewAuthority(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, auth: auth, scope: tally.NewTestScope("", nil)}
	r.files = r.issue("entry-1", link.RoleEntry, 48*time.Hour)
	creds, err := link.LoadCredentials(r.files, link.RoleEntry, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	r.watcher = reload.New(creds, r.files, r.scope, &log.Logger{Handler: logfmt.New(&r.written), Level: log.DebugLevel})
	return r
}

func (r *rig) issue(machine string, role link.Role, validity time.Duration) link.CredentialFiles {
	r.t.Helper()
	files, err := r.auth.Issue(machine, role, validity)
	if err != nil {
		r.t.Fatal(err)
	}
	return files
}

// replace puts another certificate and key into the process's files.
func (r *rig) replace(from link.CredentialFiles) {
	r.t.Helper()
	for to, source := range map[string]string{r.files.Cert: from.Cert, r.files.Key: from.Key} {
		data, err := os.ReadFile(source)
		if err != nil {
			r.t.Fatal(err)
		}
		if err := os.WriteFile(to, data, 0o600); err != nil {
			r.t.Fatal(err)
		}
	}
}

func (r *rig) count(name string) int64 {
	for _, c := range r.scope.Snapshot().Counters() {
		if c.Name() == "credentials."+name {
			return c.Value()
		}
	}
	return 0
}

func (r *rig) want(reloads, failures int64) {
	r.t.Helper()
	r.watcher.Check(time.Now())
	r.watcher.Check(time.Now()) // an unchanged file counts once
	if r.count("reloads") != reloads || r.count("reload_failures") != failures {
		r.t.Fatalf("reloads %d, failures %d\n%s", r.count("reloads"), r.count("reload_failures"), r.written.String())
	}
}

func TestReload(t *testing.T) {
	r := newRig(t)
	r.want(0, 0)
	r.replace(r.issue("entry-2", link.RoleEntry, time.Hour))
	r.want(1, 0)
	if !strings.Contains(r.written.String(), "more") {
		t.Fatal("no warning about a certificate that ends soon")
	}
	r.replace(r.issue("entry-3", link.RoleEntry, -time.Minute))
	r.want(1, 1)
	r.replace(r.issue("target-1", link.RoleTarget, time.Hour))
	r.want(1, 2)
	if err := os.WriteFile(r.files.Key, []byte("half a fi"), 0o600); err != nil {
		t.Fatal(err)
	}
	r.want(1, 3)
	r.replace(r.issue("entry-4", link.RoleEntry, 48*time.Hour))
	r.want(2, 3)
	if strings.Contains(r.written.String(), "PRIVATE") || strings.Contains(r.written.String(), "half a fi") {
		t.Fatal("key material in the log")
	}
}
