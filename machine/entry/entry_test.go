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

func view() *fixed.View {
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

// rig is one entry and two target processes on loopback.
type rig struct {
	t     *testing.T
	keys  *devkeys.Authority
	entry *Entry
	list  hostlist.List
	log   *fault.Switch
	plain *fault.Switch
	// relay stands between the entry and the plain target.
	relay *relay
	// stop stops the entry and returns what Run gave.
	stop func() error
}

func newRig(t *testing.T, claimer claims.Claimer) *rig {
	t.Helper()
	authority, err := devkeys.NewAuthority(t.TempDir())
	fatal(t, err)
	r := &rig{t: t, keys: authority, list: hostlist.List{Version: 1}}
	r.target("target-1", "drafts", config.BackendModel, engine.New(engine.Config{
		WarmLimit: 8, ColdLimit: 2, Digest: digest, TokenDelay: 10 * time.Millisecond,
	}))
	r.plain = service.New(service.Config{Limit: 8, Delay: 20 * time.Millisecond})
	r.target("target-2", "registry", config.BackendPlain, r.plain)
	r.log = logservice.New(logservice.Config{})
	platformLog := httptest.NewServer(r.log)
	t.Cleanup(platformLog.Close)
	plainHost := &r.list.Hosts[1]
	r.relay = newRelay(t, plainHost.Address)
	plainHost.Address = r.relay.address()
	process := r.process("entry-1", link.RoleEntry)
	process.LogURL = platformLog.URL
	process.Entry = config.Entry{MaxBodyBytes: 2048, DefaultTimeout: 20 * time.Second}
	r.entry, err = New(process, Options{Settings: fixed.Follower{View: view()}, Hosts: fixedHosts(r.list), Claims: claimer})
	fatal(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.entry.Run(ctx) }()
	r.stop = sync.OnceValue(func() error {
		cancel()
		return <-done
	})
	t.Cleanup(func() { _ = r.stop() })
	r.awaitTargets()
	return r
}

func (r *rig) process(machine string, role link.Role) *config.Process {
	files, err := r.keys.Issue(machine, role, time.Hour)
	fatal(r.t, err)
	return &config.Process{
		Machine: contract.MachineID(machine), Zone: "khomas-a", Region: "khomas",
		ShutdownGrace: 5 * time.Second, LinkAddress: "127.0.0.1:0", HTTPAddress: "127.0.0.1:0", TLS: files,
		Link: link.Config{HeartbeatInterval: 50 * time.Millisecond, SilentAfter: 5 * time.Second},
	}
}

func (r *rig) target(machine, name, kind string, back *fault.Switch) {
	server := httptest.NewServer(back)
	r.t.Cleanup(server.Close)
	process := r.process(machine, link.RoleTarget)
	process.Target = config.Target{Service: contract.ServiceName(name), Kind: kind, BackendURL: server.URL, MaxRunning: 8}
	p, err := target.New(process)
	fatal(r.t, err)
	fatal(r.t, p.Start())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = p.Run(ctx)
	}()
	r.t.Cleanup(func() {
		cancel()
		<-ended
	})
	r.list.Hosts = append(r.list.Hosts, hostlist.Host{
		Machine: process.Machine, Role: hostlist.Target, Zone: "khomas-a", Region: "khomas",
		Service: contract.ServiceName(name), Address: p.LinkAddress(), State: hostlist.Live,
	})
}

// awaitTargets waits until a call of each service is answered.
func (r *rig) awaitTargets() {
	for _, c := range []string{"POST /v1/models/drafts/generate\nX-Team: north\n\n{\"prompt\":\"p\",\"max_tokens\":1}",
		"GET /v1/services/registry/x\nX-Team: north"} {
		for range 1000 {
			if status, _ := r.call(c); status == http.StatusOK {
				break
			}
			<-time.After(5 * time.Millisecond)
		}
	}
}

// call sends a request written as "METHOD path", headers, a blank line and the
// body, and returns the answer with request identifiers replaced.
func (r *rig) call(text string) (int, string) {
	head, body, _ := strings.Cut(text, "\n\n")
	lines := strings.Split(strings.TrimSpace(head), "\n")
	method, path, _ := strings.Cut(lines[0], " ")
	if size, ok := strings.CutPrefix(body, "bytes "); ok {
		var n int
		_, _ = fmt.Sscan(size, &n)
		body = strings.Repeat("x", n)
	}
	req, err := http.NewRequest(method, "http://"+r.entry.HTTPAddress()+path, bytes.NewBufferString(body))
	fatal(r.t, err)
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	fatal(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	fatal(r.t, err)
	return resp.StatusCode, show(resp, string(data))
}

var requestPattern = regexp.MustCompile(`entry-1-[0-9a-z]+-[0-9a-z]+`)

func show(resp *http.Response, body string) string {
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

func fatal(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestCalls runs the calls in testdata against real processes, without and with
// a claimer of keys.
func TestCalls(t *testing.T) {
	t.Run("calls", func(t *testing.T) { newRig(t, noClaims{}).session(t, "testdata/calls.txt") })
	t.Run("keyed", func(t *testing.T) { newRig(t, nil).session(t, "testdata/keyed.txt") })
}

func (r *rig) session(t *testing.T, path string) {
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "call":
			_, text := r.call(d.Input)
			return text
		case "log":
			r.log.Set(fault.Request{Fault: fault.Kind(d.CmdArgs[0].Key)})
			return "ok\n"
		case "effects":
			return fmt.Sprintln(r.stats().Effects, "effects,", r.stats().DoubledByKey, "doubled")
		case "stop":
			fatal(t, r.stop())
			return "stopped\n"
		default:
			return "unknown command\n"
		}
	})
}

// FuzzParse checks that no request stops the parser, and that what it takes is
// within bounds.
func FuzzParse(f *testing.F) {
	f.Add("POST", "/v1/models/drafts/generate", "north", "1s", "", `{"prompt":"p","max_tokens":1}`)
	f.Add("PUT", "/v1/services/registry/x?y", "north", "-1s", "k", "x")
	p := parser{maxBody: 1 << 10, defaultTimeout: time.Second}
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
			t.Fatalf("accepted %+v", req)
		}
	})
}

// stats reads the counts of the plain service.
func (r *rig) stats() service.Stats {
	w := httptest.NewRecorder()
	r.plain.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/stats", nil))
	var s service.Stats
	fatal(r.t, json.Unmarshal(w.Body.Bytes(), &s))
	return s
}

// TestCutLinkLosesNoAnswer cuts the connection under calls that may not be
// repeated: each is answered whole over a new one, and has one effect.
func TestCutLinkLosesNoAnswer(t *testing.T) {
	r := newRig(t, noClaims{})
	before := r.stats().Effects
	const calls = 8
	statuses := make(chan int, calls)
	for i := range calls {
		go func() {
			status, _ := r.call(fmt.Sprintf("POST /v1/services/registry/filings\nX-Team: north\nX-Unkeyed: allow\n\nfiling %d", i))
			statuses <- status
		}()
	}
	for r.stats().Running == 0 {
		runtime.Gosched()
	}
	if conn, ok := r.entry.links.pool.Get("target-2"); ok {
		conn.Close()
	}
	done := uint64(0)
	for range calls {
		if <-statuses == http.StatusOK {
			done++
		}
	}
	if effects := r.stats().Effects - before; effects != done || done == 0 {
		t.Fatalf("%d calls done, %d effects", done, effects)
	}
}

// TestStopCutsNothing stops the entry under streams that outlast its notice to
// the balancer.
func TestStopCutsNothing(t *testing.T) {
	r := newRig(t, noClaims{})
	const calls, tokens = 4, 120
	answers := make(chan string, calls)
	for range calls {
		go func() {
			_, text := r.call(fmt.Sprintf("POST /v1/models/drafts/generate\nX-Team: north\n\n{\"prompt\":\"p\",\"max_tokens\":%d}", tokens))
			answers <- text
		}()
	}
	for r.entry.loop.open() < calls {
		runtime.Gosched()
	}
	fatal(t, r.stop())
	for range calls {
		if text := <-answers; strings.Count(text, "event: token") != tokens || !strings.Contains(text, "event: end") {
			t.Errorf("cut: %.400s", text)
		}
	}
}

// TestMetricsNameReasons checks that refusals are counted by their reason.
func TestMetricsNameReasons(t *testing.T) {
	r := newRig(t, noClaims{})
	r.call("GET /v1/services/nowhere/x\nX-Team: north")
	for range 1000 {
		resp, err := http.Get("http://" + r.entry.HTTPAddress() + "/metrics")
		fatal(t, err)
		data, _ := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if strings.Contains(string(data), `entry_refusals{reason="unknown_service"} 1`) {
			return
		}
		<-time.After(5 * time.Millisecond)
	}
	t.Fatal("no counter")
}
