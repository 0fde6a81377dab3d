package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/internal/devkeys"
	"mimosastand.example/mimosastand/link"
	"mimosastand.example/mimosastand/machine/entry/claims"
	"mimosastand.example/mimosastand/machine/target"
	"mimosastand.example/mimosastand/settings"
	"mimosastand.example/mimosastand/settings/fixed"
	"mimosastand.example/mimosastand/standin/engine"
	"mimosastand.example/mimosastand/standin/fault"
	"mimosastand.example/mimosastand/standin/logservice"
	"mimosastand.example/mimosastand/standin/service"
	"mimosastand.example/mimosastand/zone/hostlist"
)

var digest = contract.NewDigest([32]byte{1})

// fixedHosts is a host list that never changes.
type fixedHosts hostlist.List

func (h fixedHosts) List(context.Context) (hostlist.List, error) {
	return hostlist.List(h), nil
}

func testSettings() *fixed.View {
	model := settings.ServiceSettings{Kind: settings.KindModel, Weights: digest, ColdRunning: 2, QueueLength: 8, RetryShare: 0.1}
	plain := settings.ServiceSettings{Kind: settings.KindPlain, ColdRunning: 2, QueueLength: 8, RetryShare: 0.1}
	return &fixed.View{
		At:       1,
		Deployed: map[contract.ServiceName]settings.ServiceSettings{"drafts": model, "registry": plain, "absent": plain},
		Teams:    map[contract.TeamName]settings.TeamSettings{"north": {Share: 1, RetryShare: 0.1, MaxPriority: 5}},
	}
}

// noClaims refuses every keyed call.
type noClaims struct{}

// Claim implements claims.Claimer.
func (noClaims) Claim(context.Context, contract.Claim) (claims.Decision, error) {
	return claims.Decision{}, nil
}

// Resolve implements claims.Claimer.
func (noClaims) Resolve(context.Context, contract.Claim, claims.Result) error {
	return nil
}

// testSystem is one entry and two target processes on the loopback interface.
type testSystem struct {
	t     *testing.T
	keys  *devkeys.Authority
	entry *Entry
	list  hostlist.List
	log   *fault.Switch
	plain *fault.Switch
	// relay passes the packets between the entry and the plain target.
	relay *relay
	// stop stops the entry and returns the error of Run.
	stop func() error
}

func newTestSystem(t *testing.T, claimer claims.Claimer) *testSystem {
	t.Helper()
	authority, err := devkeys.NewAuthority(t.TempDir())
	failOnError(t, err)
	ts := &testSystem{t: t, keys: authority, list: hostlist.List{Version: 1}}
	ts.startTarget("target-1", "drafts", config.BackendModel, engine.New(engine.Config{
		WarmLimit: 8, ColdLimit: 2, Digest: digest, TokenDelay: 10 * time.Millisecond,
	}))
	ts.plain = service.New(service.Config{Limit: 8, Delay: 20 * time.Millisecond})
	ts.startTarget("target-2", "registry", config.BackendPlain, ts.plain)
	ts.log = logservice.New(logservice.Config{})
	platformLog := httptest.NewServer(ts.log)
	t.Cleanup(platformLog.Close)
	plainHost := &ts.list.Hosts[1]
	ts.relay = newRelay(t, plainHost.Address)
	plainHost.Address = ts.relay.address()
	process := ts.newProcess("entry-1", link.RoleEntry)
	process.LogURL = platformLog.URL
	process.Entry = config.Entry{MaxBodyBytes: 2048, DefaultTimeout: 20 * time.Second}
	ts.entry, err = New(process, Options{Settings: fixed.Follower{View: testSettings()}, Hosts: fixedHosts(ts.list), Claims: claimer})
	failOnError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- ts.entry.Run(ctx) }()
	ts.stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { _ = ts.stop() })
	ts.waitForTargets()
	return ts
}

func (ts *testSystem) newProcess(machine string, role link.Role) *config.Process {
	files, err := ts.keys.Issue(machine, role, time.Hour)
	failOnError(ts.t, err)
	return &config.Process{
		Machine: contract.MachineID(machine), Zone: "khomas-a", Region: "khomas",
		ShutdownGrace: 5 * time.Second, LinkAddress: "127.0.0.1:0", HTTPAddress: "127.0.0.1:0", TLS: files,
		Link: link.Config{HeartbeatInterval: 50 * time.Millisecond, SilentAfter: 5 * time.Second},
	}
}

func (ts *testSystem) startTarget(machine, name, kind string, backend *fault.Switch) {
	server := httptest.NewServer(backend)
	ts.t.Cleanup(server.Close)
	process := ts.newProcess(machine, link.RoleTarget)
	process.Target = config.Target{Service: contract.ServiceName(name), Kind: kind, BackendURL: server.URL, MaxRunning: 8}
	p, err := target.New(process)
	failOnError(ts.t, err)
	failOnError(ts.t, p.Start())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Run(ctx)
	}()
	ts.t.Cleanup(func() {
		cancel()
		<-ended
	})
	ts.list.Hosts = append(ts.list.Hosts, hostlist.Host{
		Machine: process.Machine, Role: hostlist.Target, Zone: "khomas-a", Region: "khomas",
		Service: contract.ServiceName(name), Address: p.LinkAddress(), State: hostlist.Live,
	})
}

// waitForTargets waits until a call of each service succeeds.
func (ts *testSystem) waitForTargets() {
	for _, c := range []string{"POST /v1/models/drafts/generate\nX-Team: north\n\n{\"prompt\":\"p\",\"max_tokens\":1}",
		"GET /v1/services/registry/x\nX-Team: north"} {
		for range 1000 {
			if status, _ := ts.call(c); status == http.StatusOK {
				break
			}
			<-time.After(5 * time.Millisecond)
		}
	}
}

// call sends a request that is written as "METHOD path", headers, a blank line and the
// body. It returns the status, and the response with request identifiers replaced.
func (ts *testSystem) call(text string) (int, string) {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	if size, ok := strings.CutPrefix(body, "bytes "); ok {
		var n int
		_, _ = fmt.Sscan(size, &n)
		body = strings.Repeat("x", n)
	}
	req, err := http.NewRequest(method, "http://"+ts.entry.HTTPAddress()+path, bytes.NewBufferString(body))
	failOnError(ts.t, err)
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	failOnError(ts.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	failOnError(ts.t, err)
	return resp.StatusCode, formatResponse(resp, string(data))
}

var requestPattern = regexp.MustCompile(`entry-1-[0-9a-z]+-[0-9a-z]+`)

// formatResponse formats the response for comparison; what differs between runs is
// replaced.
func formatResponse(resp *http.Response, body string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%d\n", resp.StatusCode)
	for _, name := range []string{"Content-Type", headerRequest} {
		fmt.Fprintf(&out, "%s: %s\n", name, resp.Header.Get(name))
	}
	if resp.Header.Get(headerRetryAfter) != "" {
		out.WriteString("Retry-After: set\n")
	}
	text := requestPattern.ReplaceAllString(out.String()+body, "REQUEST")
	return regexp.MustCompile(`"retry_after":\d+`).ReplaceAllString(text, `"retry_after":N`) + "\n"
}

func failOnError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestCalls runs the calls in testdata against real processes, with a claimer that
// refuses all keys and with the claimer that uses the log.
func TestCalls(t *testing.T) {
	t.Run("calls", func(t *testing.T) { newTestSystem(t, noClaims{}).runSession(t, "testdata/calls.txt") })
	t.Run("keyed", func(t *testing.T) { newTestSystem(t, nil).runSession(t, "testdata/keyed.txt") })
}

func (ts *testSystem) runSession(t *testing.T, path string) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "call":
			_, text := ts.call(d.Input)
			return text
		case "log":
			ts.log.Set(fault.Request{Fault: fault.Kind(d.CmdArgs[0].Key)})
			return "ok\n"
		case "effects":
			return fmt.Sprintln(ts.plainStats().Effects, "effects,", ts.plainStats().DoubledByKey, "doubled")
		case "stop":
			failOnError(t, ts.stop())
			return "stopped\n"
		default:
			return "unknown command\n"
		}
	})
}

// FuzzParse checks that no request makes the parser panic, and that accepted requests are
// within the limits.
func FuzzParse(f *testing.F) {
	f.Add("POST", "/v1/models/drafts/generate", "north", "1s", "", `{"prompt":"p","max_tokens":1}`)
	f.Add("PUT", "/v1/services/registry/x?y", "north", "-1s", "k", "x")
	p := parser{maxBodyBytes: 1 << 10, defaultTimeout: time.Second}
	f.Fuzz(func(t *testing.T, method, path, team, timeout, key, body string) {
		r := httptest.NewRequest(http.MethodGet, "/", strings.NewReader(body))
		r.Method, r.URL.Path = method, path
		r.Header.Set(headerTeam, team)
		r.Header.Set(headerTimeout, timeout)
		r.Header.Set(headerKey, key)
		req, err := p.parse("r", httptest.NewRecorder(), r)
		if err != nil {
			return
		}
		if req.Timeout <= 0 || req.Timeout > maxTimeout || req.Tokens == 0 || len(req.Body) > 1<<10 {
			t.Fatalf("parse() = %+v, want an error, or a timeout above 0 and up to 1h, some tokens and a body of at most 1024 bytes", req)
		}
	})
}

// plainStats reads the statistics of the plain service.
func (ts *testSystem) plainStats() service.Stats {
	w := httptest.NewRecorder()
	ts.plain.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/stats", nil))
	var s service.Stats
	failOnError(ts.t, json.Unmarshal(w.Body.Bytes(), &s))
	return s
}

// TestClosedConnectionLosesNoAnswer closes the connection during calls that must not be
// repeated. Each call that takes effect must be answered, over a new connection, and must
// take effect once.
func TestClosedConnectionLosesNoAnswer(t *testing.T) {
	ts := newTestSystem(t, noClaims{})
	before := ts.plainStats().Effects
	const calls = 8
	statuses := make(chan int, calls)
	for i := range calls {
		go func() {
			status, _ := ts.call(fmt.Sprintf("POST /v1/services/registry/filings\nX-Team: north\nX-Unkeyed: allow\n\nfiling %d", i))
			statuses <- status
		}()
	}
	for ts.plainStats().Running == 0 {
		runtime.Gosched()
	}
	if conn, ok := ts.entry.links.pool.Get("target-2"); ok {
		conn.Close()
	}
	done := uint64(0)
	for range calls {
		if <-statuses == http.StatusOK {
			done++
		}
	}
	if effects := ts.plainStats().Effects - before; effects != done || done == 0 {
		t.Fatalf("%d calls succeeded with %d effects, want at least one call, and as many effects as calls", done, effects)
	}
}

// TestStopCompletesOpenStreams stops the entry during streams that take longer than the
// delay in which a stopping entry still accepts requests. Each stream must complete.
func TestStopCompletesOpenStreams(t *testing.T) {
	ts := newTestSystem(t, noClaims{})
	const calls, tokens = 4, 120
	answers := make(chan string, calls)
	for range calls {
		go func() {
			_, text := ts.call(fmt.Sprintf("POST /v1/models/drafts/generate\nX-Team: north\n\n{\"prompt\":\"p\",\"max_tokens\":%d}", tokens))
			answers <- text
		}()
	}
	for ts.entry.loop.openRequests() < calls {
		runtime.Gosched()
	}
	failOnError(t, ts.stop())
	for range calls {
		if text := <-answers; strings.Count(text, "event: token") != tokens || !strings.Contains(text, "event: end") {
			t.Errorf("stream = %.400s, want 120 tokens and an end event", text)
		}
	}
}

// TestRefusalMetricHasReason checks that refusals are counted by reason.
func TestRefusalMetricHasReason(t *testing.T) {
	ts := newTestSystem(t, noClaims{})
	ts.call("GET /v1/services/nowhere/x\nX-Team: north")
	for range 1000 {
		resp, err := http.Get("http://" + ts.entry.HTTPAddress() + "/metrics")
		failOnError(t, err)
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if strings.Contains(string(data), `entry_refusals{reason="unknown_service"} 1`) {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	t.Fatal("metrics page has no entry_refusals counter with reason unknown_service and value 1")
}
