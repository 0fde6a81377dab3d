// Package fleet runs entries and targets against stand-ins of the users' platform.
package fleet

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mimosastand.example/mimosastand/config"
	"mimosastand.example/mimosastand/contract"
	entrydirect "mimosastand.example/mimosastand/machine/entry/direct"
	targetdirect "mimosastand.example/mimosastand/machine/target/direct"
	standin "mimosastand.example/mimosastand/standin/fleet"
)

const (
	loopback = "127.0.0.1:0"
	chunks   = 6
	host     = "h.example"
	key      = "key-1"
	// patience bounds the wait for a state that must come about.
	patience = 20 * time.Second
)

// rig is a fleet of processes and stand-ins.
type rig struct {
	t       *testing.T
	ctx     context.Context
	store   *standin.Store
	origin  *standin.Origin
	engines []*standin.Engine
	plain   []*standin.Engine
	entries []*entrydirect.Entry
	wg      sync.WaitGroup
	version int
	keys    []string
	ids     atomic.Int64
}

func newRig(t *testing.T) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{t: t, ctx: ctx, store: standin.NewStore(), origin: standin.NewOrigin(chunks), keys: []string{key}}
	for i := range 2 {
		e := &standin.Engine{ID: fmt.Sprintf("i-m%d", i), Service: "models", Zone: "a", Model: "daka", Slots: 8, Events: 8, Gap: 10 * time.Millisecond}
		e.Start(r.store, int64(1-i))
		r.engines = append(r.engines, e)
	}
	for i := range 2 {
		e := &standin.Engine{ID: fmt.Sprintf("i-p%d", i), Service: "ledger", Zone: "a", Slots: 8, Work: 5 * time.Millisecond}
		e.Start(r.store, 0)
		r.plain = append(r.plain, e)
	}
	r.writeManifest()
	t.Cleanup(func() {
		cancel()
		r.wg.Wait()
		for _, e := range append(r.engines, r.plain...) {
			e.Stop()
		}
		r.origin.Close()
		r.store.Close()
	})
	return r
}

func (r *rig) process(role string, name string) *config.Process {
	return &config.Process{
		Role: role, Machine: contract.MachineID(name), Zone: "a", Region: "ra", ShutdownGrace: 8 * time.Second,
		Fleet: &config.Fleet{
			Zones: map[contract.ZoneName]contract.RegionName{"a": "ra"}, Store: r.store.Address(),
			LinkAddress: loopback, MetricsAddress: loopback, CallerAddress: loopback, ReadyAddress: loopback,
			Bounds: config.Bounds{RetryRatio: 0.2, RetryBurst: 50, RetryWindow: 10 * time.Second, ColdFactor: 1, Version: 8 * time.Second},
		},
	}
}

// entry starts an entry whose store is at address; it returns how to stop it.
func (r *rig) entry(name, store string) (e *entrydirect.Entry, stop context.CancelFunc) {
	p := r.process(config.RoleEntry, name)
	p.Fleet.Store = store
	e, err := entrydirect.New(p)
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(r.ctx)
	r.wg.Go(func() { _ = e.Run(ctx) })
	r.entries = append(r.entries, e)
	r.eventually("entry ready", func() bool {
		resp, err := http.Get("http://" + e.ReadyAddress())
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	return e, stop
}

func (r *rig) target(name string, engine *standin.Engine) {
	p := r.process(config.RoleTarget, name)
	p.Fleet.EngineAddress, p.Fleet.EngineService = engine.Address(), "models"
	t, err := targetdirect.New(p)
	if err != nil {
		r.t.Fatal(err)
	}
	r.wg.Go(func() { _ = t.Run(r.ctx) })
}

func (r *rig) writeManifest() {
	r.version++
	text, err := json.Marshal(map[string]any{
		"version": r.version,
		"routes": []map[string]any{
			{"name": "chat", "host": host, "path_prefix": "/chat/", "kind": "streaming", "timeout_ms": 6000, "target_latency_ms": 1000,
				"service": "models", "max_attempts": 2, "can_resume": true, "gap_target_ms": 300},
			{"name": "pay", "host": host, "path_prefix": "/pay/", "kind": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 500,
				"service": "ledger", "max_attempts": 2},
			{"name": "look", "host": host, "path_prefix": "/look/", "kind": "idempotent", "timeout_ms": 2000, "target_latency_ms": 100,
				"service": "ledger", "max_attempts": 2},
		},
		"services": []map[string]any{
			{"name": "models", "max_conns": 100, "engine": map[string]any{"slots": 8, "step_ms": 2, "read_per_s": 31900, "stride": 4,
				"usual": map[string]any{"prompt": 100, "answer": 32}, "models": []map[string]any{{"name": "daka"}}, "layers": 16, "chunks": chunks}},
			{"name": "ledger", "max_conns": 100},
			{"name": "source", "origin": r.origin.Address(), "zone": "a"},
		},
		"limits":  map[string]any{"max_body_bytes": 1000},
		"tenants": []map[string]any{{"name": "team-1", "api_keys": r.keys}},
	})
	if err != nil {
		r.t.Fatal(err)
	}
	r.store.Put("keyed.op", "config", string(text))
}

func (r *rig) eventually(what string, done func() bool) {
	r.t.Helper()
	until := time.Now().Add(patience)
	for !done() {
		if time.Now().After(until) {
			r.t.Fatalf("not within %v: %s", patience, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// result is what a caller got.
type result struct {
	id     string
	status int
	stamp  string
	after  string
	body   string
	err    error
}

func (r *rig) call(e *entrydirect.Entry, method, path, body string, change func(http.Header)) result {
	req, err := http.NewRequest(method, "http://"+e.CallerAddress()+path, strings.NewReader(body))
	if err != nil {
		r.t.Fatal(err)
	}
	res := result{id: fmt.Sprintf("attempt-%d", r.ids.Add(1))}
	req.Host = host
	req.Header.Set("Attempt-Id", res.id)
	req.Header.Set("Authorization", "Bearer "+key)
	if change != nil {
		change(req.Header)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		res.err = err
		return res
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	res.status, res.stamp, res.after, res.body, res.err = resp.StatusCode, resp.Header.Get("Server-Stamp"), resp.Header.Get("Retry-After"), string(data), err
	return res
}

// wholeStream reports whether a body is the events 1 to n, each once.
func wholeStream(body string, n int) bool {
	scanner := bufio.NewScanner(strings.NewReader(body))
	next := 1
	for scanner.Scan() {
		if id, ok := strings.CutPrefix(scanner.Text(), "id: "); ok {
			if id != fmt.Sprint(next) {
				return false
			}
			next++
		}
	}
	return next == n+1
}

func (r *rig) runs(attempt string) int {
	n := 0
	for _, e := range append(append([]*standin.Engine(nil), r.engines...), r.plain...) {
		n += e.Runs(attempt)
	}
	return n
}

func TestCalm(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	chat := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if chat.status != http.StatusOK || !wholeStream(chat.body, 8) || !strings.HasPrefix(chat.stamp, "stamp-i-m0") {
		t.Errorf("chat: %+v", chat)
	}
	pay := r.call(e, http.MethodPost, "/pay/x?y=%20z", "amount", nil)
	if pay.status != http.StatusOK || pay.body != "POST /pay/x?y=%20z amount tenant=team-1" || pay.stamp == "" {
		t.Errorf("pay: %+v", pay)
	}
	for _, c := range []struct {
		path, body, key string
		want            int
	}{
		{"/other/", "", key, http.StatusNotFound},
		{"/pay/x", "", "wrong", http.StatusUnauthorized},
		{"/pay/x", strings.Repeat("x", 1001), key, http.StatusRequestEntityTooLarge},
	} {
		got := r.call(e, http.MethodPost, c.path, c.body, func(h http.Header) { h.Set("Authorization", "Bearer "+c.key) })
		if got.status != c.want || got.stamp != "" || r.runs(got.id) != 0 {
			t.Errorf("%s with key %s: %+v", c.path, c.key, got)
		}
	}
}

// An engine that dies in the middle of an event: another goes on after the last
// whole event, and the caller gets each event once.
func TestStreamGoesOnAtAnotherEngine(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	second := &standin.Engine{ID: "i-m9", Service: "models", Zone: "a", Model: "daka", Slots: 8, Events: 8, Gap: 10 * time.Millisecond}
	second.Start(r.store, 1)
	r.engines = append(r.engines, second)
	e, _ := r.entry("entry-1", r.store.Address())
	for _, engine := range r.engines {
		engine.CutAfter(3)
	}
	got := r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if got.status != http.StatusOK || got.err != nil || !wholeStream(got.body, 8) {
		// Both engines may have cut: then the answer must not look whole.
		if got.err == nil {
			t.Fatalf("stream %+v", got)
		}
	}
	got = r.call(e, http.MethodPost, "/chat/x", "prompt", nil)
	if !wholeStream(got.body, 8) {
		t.Errorf("after the cuts: %+v", got)
	}
}

// A call that may run once only, whose answer is lost: it is not sent again, and
// the answer promises nothing.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	for _, p := range r.plain {
		p.Mute(true)
	}
	pay := r.call(e, http.MethodPost, "/pay/x", "amount", nil)
	if pay.status != http.StatusBadGateway || r.runs(pay.id) != 1 || pay.stamp != "" {
		t.Errorf("pay: %+v, runs %d", pay, r.runs(pay.id))
	}
	look := r.call(e, http.MethodGet, "/look/x", "", nil)
	if look.status != http.StatusBadGateway || r.runs(look.id) != 2 {
		t.Errorf("look: %+v, runs %d", look, r.runs(look.id))
	}
	r.plain[0].Mute(false)
	look = r.call(e, http.MethodGet, "/look/x", "", nil)
	if look.status != http.StatusOK {
		t.Errorf("look with one good target: %+v", look)
	}
}

// Targets that hang: an idempotent call goes elsewhere; one that may run once only
// ends at its deadline and was sent once.
func TestHangingTargets(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	r.plain[0].Hang(true)
	for range 4 {
		if look := r.call(e, http.MethodGet, "/look/x", "", nil); look.status != http.StatusOK {
			t.Errorf("look: %+v", look)
		}
	}
	r.plain[1].Hang(true)
	start := time.Now()
	pay := r.call(e, http.MethodPost, "/pay/x", "amount", func(h http.Header) { h.Set("Deadline-Ms", "400") })
	if pay.status != http.StatusGatewayTimeout && pay.status != http.StatusBadGateway {
		t.Errorf("pay: %+v after %v", pay, time.Since(start))
	}
}

// A full service refuses at once with a true promise and a time to come back.
func TestFullServiceRefusesTruly(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.engines[0].Gap = 200 * time.Millisecond
	e, _ := r.entry("entry-1", r.store.Address())
	results := make(chan result, 40)
	for range cap(results) {
		go func() { results <- r.call(e, http.MethodPost, "/chat/x", "prompt", nil) }()
	}
	refused := 0
	for range cap(results) {
		got := <-results
		switch got.status {
		case http.StatusOK:
		case http.StatusServiceUnavailable:
			refused++
			if r.runs(got.id) != 0 || got.after == "" {
				t.Errorf("refusal %+v, runs %d", got, r.runs(got.id))
			}
		default:
			t.Errorf("status %d", got.status)
		}
	}
	if refused == 0 {
		t.Error("40 requests fitted into 8 slots")
	}
}

// An engine that holds nothing gets the weights and serves; a version that is
// named comes to both; nothing unverified is ever loaded, and the origin sends
// about one copy although every fifth piece is corrupt.
func TestWeightsReachEngines(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.origin.CorruptEvery(5)
	r.entry("entry-1", r.store.Address())
	r.entry("entry-2", r.store.Address())
	r.target("target-1", r.engines[0])
	r.target("target-2", r.engines[1])
	r.eventually("the empty engine has version 1", func() bool { return r.engines[1].Version() == 1 })
	r.store.Put("keyed.op", "version/daka", `{"model":"daka","version":2}`)
	r.eventually("both engines have version 2", func() bool {
		return r.engines[0].Version() == 2 && r.engines[1].Version() == 2
	})
	r.engines[0].Spoil()
	r.store.Put("keyed.op", "version/daka", `{"model":"daka","version":3}`)
	r.eventually("both engines have version 3", func() bool {
		return r.engines[0].Version() == 3 && r.engines[1].Version() == 3
	})
	for _, engine := range r.engines {
		for _, loaded := range engine.Loaded() {
			var version int64
			var index int
			var sum string
			if _, err := fmt.Sscanf(strings.ReplaceAll(loaded, ":", " "), "%d %d %s", &version, &index, &sum); err != nil {
				t.Fatal(err)
			}
			if sum != standin.Digest(version, index) {
				t.Errorf("%s loaded piece %d of version %d unverified", engine.ID, index, version)
			}
		}
	}
	if drawn, most := r.origin.Drawn(), 3*chunks*2; drawn > most {
		t.Errorf("the origin sent %d pieces, at most %d wanted", drawn, most)
	}
}

// A target that says that it leaves, and one whose zone is evacuated, get nothing new.
func TestLeavingAndEvacuated(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	r.plain[0].List("draining")
	time.Sleep(1500 * time.Millisecond)
	before := r.plain[0].AllRuns()
	for range 10 {
		if got := r.call(e, http.MethodPost, "/pay/x", "amount", nil); got.status != http.StatusOK {
			t.Errorf("pay: %+v", got)
		}
	}
	if got := r.plain[0].AllRuns(); got != before {
		t.Errorf("the leaving target ran %d requests", got-before)
	}
	r.store.Put("keyed.op", "evacuate/a", "{}")
	r.eventually("nothing goes to the zone", func() bool {
		return r.call(e, http.MethodPost, "/pay/x", "amount", nil).status == http.StatusServiceUnavailable
	})
	r.store.Put("keyed.op", "evacuate/a", "")
	r.eventually("the zone is back", func() bool {
		return r.call(e, http.MethodPost, "/pay/x", "amount", nil).status == http.StatusOK
	})
}

// An entry that the store turns away learns a revoked key from a peer, and never
// goes back when the store serves it again.
func TestRevokedKeyReachesAnEntryThatTheStoreTurnsAway(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	door := r.store.NewDoor()
	t.Cleanup(door.Close)
	r.entry("entry-1", r.store.Address())
	away, _ := r.entry("entry-2", door.Address())
	r.target("target-1", r.engines[0])
	// The link is there once both have read each other's record.
	time.Sleep(2 * time.Second)
	door.SetClosed(true)
	r.keys = []string{"key-2"}
	r.writeManifest()
	r.eventually("the key is refused", func() bool {
		return r.call(away, http.MethodGet, "/look/x", "", nil).status == http.StatusUnauthorized
	})
	door.SetClosed(false)
	for range 20 {
		if got := r.call(away, http.MethodGet, "/look/x", "", nil); got.status != http.StatusUnauthorized {
			t.Errorf("the key is accepted again: %+v", got)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// History that is dropped costs nothing but a second look.
func TestHistoryDropped(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	e, _ := r.entry("entry-1", r.store.Address())
	r.keys = []string{"key-2"}
	r.store.SetDown(true)
	r.writeManifest()
	r.store.Compact("keyed.op")
	r.store.Compact("keyed.servers")
	r.store.SetDown(false)
	r.eventually("the newest manifest is in force", func() bool {
		return r.call(e, http.MethodGet, "/look/x", "", nil).status == http.StatusUnauthorized
	})
}

// A stop lets what runs end, refuses readiness at once and goes on taking what
// still arrives.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	r.engines[0].Gap = 150 * time.Millisecond
	e, stop := r.entry("entry-1", r.store.Address())
	results := make(chan result, 2)
	go func() { results <- r.call(e, http.MethodPost, "/chat/x", "prompt", nil) }()
	r.eventually("the stream runs", func() bool { return r.engines[0].AllRuns() == 1 })
	stop()
	r.eventually("not ready", func() bool {
		resp, err := http.Get("http://" + e.ReadyAddress())
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusServiceUnavailable
	})
	go func() { results <- r.call(e, http.MethodPost, "/pay/x", "amount", nil) }()
	for range 2 {
		if got := <-results; got.status != http.StatusOK || got.err != nil {
			t.Errorf("cut by the stop: %+v", got)
		}
	}
}

// freePorts returns ports that were free at the call.
func freePorts(t *testing.T, n int) []int {
	var ports []int
	for range n {
		lis, err := net.Listen("tcp", loopback)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = lis.Close() }()
		ports = append(ports, lis.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// SIGHUP asks a real process to look at its file; it goes on serving.
func TestHangupKeepsServing(t *testing.T) {
	t.Parallel()
	r := newRig(t)
	bin := filepath.Join(t.TempDir(), "mimosastand")
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/mimosastand").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	ports := freePorts(t, 4)
	file := filepath.Join(t.TempDir(), "entry.ini")
	text := fmt.Sprintf("[process]\nrole = entry\nmachine = e1\nzone = a\nregion = ra\n[fleet]\nzones = a:ra\nstore = %s\n"+
		"[listen]\ncallers = 127.0.0.1:%d\nready = 127.0.0.1:%d\nlink = 127.0.0.1:%d\nmetrics = 127.0.0.1:%d\n",
		r.store.Address(), ports[0], ports[1], ports[2], ports[3])
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process := exec.Command(bin, "entry", "--config", file)
	var logs bytes.Buffer
	process.Stdout, process.Stderr = &logs, &logs
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	ready := func() bool {
		resp, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d", ports[1]))
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	r.eventually("the process is ready", ready)
	for range 3 {
		if err := process.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	if !ready() {
		t.Error("not ready after SIGHUP")
	}
	if err := process.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-ended; err != nil {
		t.Errorf("ended: %v", err)
	}
	if !strings.Contains(logs.String(), "settings reloaded") {
		t.Errorf("logs: %s", logs.String())
	}
}
