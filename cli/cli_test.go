package cli_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/integrii/flaggy"

	"mimosastand.example/mimosastand/cli"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/machine/entry/admin"
	"mimosastand.example/mimosastand/settings/follow"
	"mimosastand.example/mimosastand/settings/follow/spread/sim"
)

const version = contract.Digest("blake3:0000000000000000000000000000000000000000000000000000000000000001")

// fakeStatus reports one target, which already serves version.
type fakeStatus struct{}

func (fakeStatus) Machines() []admin.MachineStatus {
	return []admin.MachineStatus{{Machine: "t1", Zone: "khomas-a", Service: "drafting-models", Weights: version, Warm: true}}
}

// testSystem is an administration API over a log in memory, a store that accepts every
// object, and a directory with the files that the commands read.
type testSystem struct {
	log   *sim.Log
	url   string
	store string
	dir   string
}

func newTestSystem(t *testing.T) *testSystem {
	t.Helper()
	s := &testSystem{dir: t.TempDir()}
	s.log = sim.NewLog(func() time.Time { return time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC) })
	follower := follow.New(follow.Options{Log: s.log, Machine: "e1"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	sum := sha256.Sum256([]byte("hunter2"))
	s.write(t, "tokens.ini", "[root]\nhash = sha256:"+hex.EncodeToString(sum[:])+"\nscope = admin\n")
	s.write(t, "token", "hunter2\n")
	s.write(t, "model", strings.Repeat("weights ", 1024))
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusCreated)
	}))
	t.Cleanup(store.Close)
	s.store = store.URL
	s.write(t, "wrong", "hunter3\n")
	s.write(t, "bad.ini", "[defaults]\nmax_running = 0\n[planet x]\n")
	tokens, err := admin.LoadTokens(filepath.Join(s.dir, "tokens.ini"))
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(admin.New(admin.Options{Machine: "e1", Follower: follower, Tokens: tokens, Status: fakeStatus{}}).Handler())
	s.url = server.URL
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	return s
}

func (s *testSystem) write(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(s.dir, name), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// run executes one command line and returns its output and exit code. In the line SERVER
// and STORE stand for the addresses of the API and the store, DEAD for an address where
// nothing listens, DIR for the directory and EXAMPLES for the example files.
func (s *testSystem) run(line string) string {
	line = strings.NewReplacer("SERVER", s.url, "STORE", s.store, "DIR", s.dir, "DEAD", "http://127.0.0.1:1", "EXAMPLES", filepath.Join("..", "examples")).Replace(line)
	parser := flaggy.NewParser("mimosastand")
	set := cli.Register(parser)
	var out, errOut bytes.Buffer
	if err := parser.ParseArgs(splitArgs(line)); err != nil {
		return fmt.Sprintf("parse: %v\n", err)
	}
	code := set.Run(context.Background(), &out, &errOut)
	text := fmt.Sprintf("%s%sexit %d\n", out.String(), errOut.String(), code)
	return strings.NewReplacer(s.dir, "DIR", s.url, "SERVER").Replace(text)
}

// splitArgs splits a command line at spaces outside double quotes.
func splitArgs(line string) []string {
	var args []string
	for i, part := range strings.Split(line, `"`) {
		if i%2 == 1 {
			args = append(args, part)
			continue
		}
		args = append(args, strings.Fields(part)...)
	}
	return args
}

// TestCommands runs the command lines in testdata and compares their output and exit
// codes.
func TestCommands(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := newTestSystem(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "run":
				return s.run(strings.ReplaceAll(d.Input, "\n", " "))
			case "log":
				s.log.SetDown(d.HasArg("down"))
				return ""
			}
			return "unknown command"
		})
	})
}
