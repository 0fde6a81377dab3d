// Package fleet runs entries and targets against stand-ins of the users' platform.
package fleet

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
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
	key      = "key-1"
	// patience bounds the wait for a state that must come about.
	patience = 20 * time.Second
	// retryWindow is the span over which retries are counted. A process has no burst
	// of retries before it is older than that.
	retryWindow = 10 * time.Second
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
		e := &standin.Engine{ID: fmt.Sprintf("i-m%d", i), Service: standin.ModelService, Zone: "a", Model: standin.Model, Slots: 8, EventCount: 8, EventInterval: 10 * time.Millisecond}
		if err := e.Start(r.store, int64(1-i)); err != nil {
			t.Fatal(err)
		}
		r.engines = append(r.engines, e)
	}
	for i := range 2 {
		e := &standin.Engine{ID: fmt.Sprintf("i-p%d", i), Service: standin.PlainService, Zone: "a", Slots: 8, CallDuration: 5 * time.Millisecond}
		if err := e.Start(r.store, 0); err != nil {
			t.Fatal(err)
		}
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
			Bounds: config.Bounds{RetryRatio: 0.2, RetryBurst: 50, RetryWindow: retryWindow, ColdFactor: 1, OldVersionGrace: 8 * time.Second},
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

// seasonedEntry starts an entry and waits until it has its burst of retries.
func (r *rig) seasonedEntry(name, store string) *entrydirect.Entry {
	e, _ := r.entry(name, store)
	select {
	case <-time.After(retryWindow):
	case <-r.ctx.Done():
		r.t.Fatal(r.ctx.Err())
	}
	return e
}

func (r *rig) target(name string, engine *standin.Engine) {
	p := r.process(config.RoleTarget, name)
	p.Fleet.EngineAddress, p.Fleet.EngineService = engine.Address(), standin.ModelService
	t, err := targetdirect.New(p)
	if err != nil {
		r.t.Fatal(err)
	}
	r.wg.Go(func() { _ = t.Run(r.ctx) })
}

func (r *rig) writeManifest() {
	r.version++
	m := standin.Manifest{Version: r.version, Keys: r.keys, Origin: r.origin.Address(), Zone: "a", Pieces: chunks}
	if err := r.store.WriteManifest(m); err != nil {
		r.t.Fatal(err)
	}
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
	res := result{id: fmt.Sprintf("attempt-%d", r.ids.Add(1))}
	req, err := standin.Request{
		AttemptID: res.id, APIKey: key, Entry: e.CallerAddress(), Method: method, Path: path, Body: body,
	}.NewHTTPRequest()
	if err != nil {
		r.t.Fatal(err)
	}
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
	marks := standin.DecodeAnswerHeaders(resp.Header)
	res.status, res.stamp, res.after, res.body, res.err = resp.StatusCode, marks.Stamp, marks.RetryAfter, string(data), err
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
		n += e.RunCount(attempt)
	}
	return n
}
