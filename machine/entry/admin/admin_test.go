package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/machine/entry/admin"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/settings/follow/spread/sim"
)

// fixture is an administration API on an in-memory log.
type fixture struct {
	log       *sim.Log
	follower  *follow.Follower
	server    *admin.Server
	logOutput bytes.Buffer
}

// fixedStatus reports a fixed status of three hosts.
type fixedStatus struct{}

func (fixedStatus) Machines() []admin.MachineStatus {
	return []admin.MachineStatus{
		{Machine: "t1", Zone: "a", Region: "north", Service: "drafts", Warm: true, Running: 3, Settings: 1,
			Weights: "blake3:0000000000000000000000000000000000000000000000000000000000000001"},
		{Machine: "t2", Zone: "a", Region: "north", Service: "drafts", Silent: true, Settings: 1},
		{Machine: "e2", Zone: "a", Region: "north", Settings: 2},
	}
}

// loadTokens loads a tokens file with one token per name of scopes. The secret of each
// token is its name with the prefix "secret-of-".
func loadTokens(t testing.TB, scopes map[string]string) *admin.Tokens {
	t.Helper()
	var text strings.Builder
	for name, scope := range scopes {
		sum := sha256.Sum256([]byte("secret-of-" + name))
		text.WriteString("[" + name + "]\nhash = sha256:" + hex.EncodeToString(sum[:]) + "\nscope = " + scope + "\n")
	}
	file := filepath.Join(t.TempDir(), "tokens.ini")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	loaded, err := admin.LoadTokens(file)
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

func newFixture(t testing.TB) *fixture {
	t.Helper()
	f := &fixture{}
	f.log = sim.NewLog(func() time.Time { return time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC) })
	logger := &log.Logger{Handler: logfmt.New(&f.logOutput), Level: log.DebugLevel}
	follower := follow.New(follow.Options{Log: f.log, Machine: "e1"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	for {
		changed := follower.Changed()
		if follower.Ready() {
			break
		}
		<-changed
	}
	f.follower = follower
	f.server = admin.New(admin.Options{
		Machine: "e1", Follower: follower, Status: fixedStatus{}, Logger: logger,
		Tokens: loadTokens(t, map[string]string{"root": "admin", "viewer": "read", "lead": "team trusts"}),
	})
	return f
}

var requestIDPattern = regexp.MustCompile(`admin-[0-9a-f]{16}`)

// call sends one request with the token that as names, or without a token if as is empty.
// It returns the response, with the request's identifier replaced.
func (f *fixture) call(method, path, as, body string) string {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if as != "" {
		req.Header.Set("Authorization", "Bearer secret-of-"+as)
	}
	rec := httptest.NewRecorder()
	f.server.Handler().ServeHTTP(rec, req)
	var pretty bytes.Buffer
	text := rec.Body.Bytes()
	if json.Indent(&pretty, text, "", " ") == nil {
		text = pretty.Bytes()
	}
	out := strings.TrimSpace(rec.Result().Status + " " + rec.Header().Get("Content-Type") + "\n" + string(text))
	return requestIDPattern.ReplaceAllString(out, "REQUEST") + "\n"
}

// TestOperatorSessions runs the operator sessions in testdata. Each call states the
// method, the path and the token.
func TestOperatorSessions(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		f := newFixture(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var as, target string
			d.MaybeScanArgs(t, "as", &as)
			switch d.Cmd {
			case "GET", "POST":
				d.ScanArgs(t, "path", &target)
				return f.call(d.Cmd, strings.ReplaceAll(target, "+", "%20"), as, d.Input)
			case "log":
				f.log.SetDown(d.HasArg("down"))
				if d.HasArg("lose-reply") {
					f.log.LoseReplies(1)
				}
				return ""
			case "secrets":
				return searchForSecrets(f)
			}
			return "unknown command"
		})
	})
}

// searchForSecrets reports whether the log lines or the records of the log contain the
// secret of a token.
func searchForSecrets(f *fixture) string {
	batch, err := f.log.Read(context.Background(), "settings", 0, 0)
	if err != nil {
		return err.Error()
	}
	text := f.logOutput.String()
	for _, r := range batch.Records {
		text += string(r.Data)
	}
	if strings.Contains(text, "secret-of-") {
		return "found\n"
	}
	return "none\n"
}

func FuzzTokensFile(f *testing.F) {
	f.Add([]byte("[root]\nhash = sha256:00\nscope = admin\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		file := filepath.Join(t.TempDir(), "tokens.ini")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		_, _ = admin.LoadTokens(file)
	})
}

// TestTokensFileErrorHidesHashValue checks that all three faults of a tokens file are
// reported and that the report does not contain the value of the hash key, which may be
// the secret itself.
func TestTokensFileErrorHidesHashValue(t *testing.T) {
	file := filepath.Join(t.TempDir(), "tokens.ini")
	if err := os.WriteFile(file, []byte("[root]\nhash = hunter2\nscope = team\ncolour = red\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := admin.LoadTokens(file)
	if err == nil || strings.Contains(err.Error(), "hunter2") || strings.Count(err.Error(), "\n") != 2 {
		t.Fatalf("LoadTokens() error = %v, want three lines without the value of the hash key", err)
	}
}

// TestTokensExpireAndReload checks that an expired token is refused, that a reload
// applies a changed file, and that the previous tokens stay valid after a failed reload.
func TestTokensExpireAndReload(t *testing.T) {
	f := newFixture(t)
	file := filepath.Join(t.TempDir(), "tokens.ini")
	sum := sha256.Sum256([]byte("secret-of-root"))
	line := "[root]\nhash = sha256:" + hex.EncodeToString(sum[:]) + "\nscope = admin\n"
	write := func(text string) {
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(line)
	loaded, err := admin.LoadTokens(file)
	if err != nil {
		t.Fatal(err)
	}
	f.server = admin.New(admin.Options{Follower: f.follower, Tokens: loaded})
	check := func(want string) {
		t.Helper()
		if got := f.call("GET", "/v1/settings", "root", ""); !strings.HasPrefix(got, want) {
			t.Fatalf("GET /v1/settings = %s, want status %s", got, want)
		}
	}
	check("200")
	write("[root]\nscope = admin\n")
	if loaded.Reload() == nil {
		t.Fatal("Reload() = nil, want an error for a token without a hash")
	}
	check("200")
	write(line + "expires = 2001-01-01T00:00:00Z\n")
	if err := loaded.Reload(); err != nil {
		t.Fatal(err)
	}
	check("401")
}
