// Package fleet tests entries and targets against stand-ins of the users' platform.
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
	standins "mimosastand.example/mimosastand/standin/fleet"
)

const (
	loopback   = "127.0.0.1:0"
	pieceCount = 6
	apiKey     = "key-1"
	// eventuallyTimeout limits the wait for a condition that must become true.
	eventuallyTimeout = 20 * time.Second
	// retryWindow is the time over which the retry budget counts retries. A process gets its
	// burst of retries only when it is older than that.
	retryWindow = 10 * time.Second
	// knownWithin is the time in which entries know of a change of the target list.
	knownWithin = 700 * time.Millisecond
)

// rig is a fleet of entries and targets with the stand-ins that they use.
type rig struct {
	t               *testing.T
	ctx             context.Context
	store           *standins.Store
	origin          *standins.Origin
	engines         []*standins.Engine
	plain           []*standins.Engine
	entries         []*entrydirect.Entry
	wg              sync.WaitGroup
	pieces          int
	manifestVersion int
	apiKeys         []string
	requestCount    atomic.Int64
}

// newRig starts the stand-ins: two engines, of which the first has version 1 of the weights and
// the second has none, two targets of the plain service, the store and the origin.
func newRig(t *testing.T) *rig {
	r := newBareRig(t, pieceCount)
	for i := range 2 {
		e := &standins.Engine{ID: fmt.Sprintf("i-m%d", i), Service: standins.ModelService, Zone: "a", Model: standins.Model, Slots: 8, EventCount: 8, EventInterval: 10 * time.Millisecond}
		if err := e.Start(r.store, int64(1-i)); err != nil {
			t.Fatal(err)
		}
		r.engines = append(r.engines, e)
	}
	for i := range 2 {
		e := &standins.Engine{ID: fmt.Sprintf("i-p%d", i), Service: standins.PlainService, Zone: "a", Slots: 8, CallDuration: 5 * time.Millisecond}
		if err := e.Start(r.store, 0); err != nil {
			t.Fatal(err)
		}
		r.plain = append(r.plain, e)
	}
	return r
}

// newBareRig starts the store and an origin whose versions have a number of pieces.
func newBareRig(t *testing.T, pieces int) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{t: t, ctx: ctx, store: standins.NewStore(), origin: standins.NewOrigin(pieces), pieces: pieces, apiKeys: []string{apiKey}}
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

// newProcessConfig returns the configuration of an entry or a target.
func (r *rig) newProcessConfig(role string, name string) *config.Process {
	return &config.Process{
		Role: role, Machine: contract.MachineID(name), Zone: "a", Region: "ra", ShutdownGrace: 8 * time.Second,
		Fleet: &config.Fleet{
			Zones: map[contract.ZoneName]contract.RegionName{"a": "ra"}, Store: r.store.Address(),
			LinkAddress: loopback, MetricsAddress: loopback, CallerAddress: loopback, ReadyAddress: loopback,
			TargetReportInterval: reportInterval,
			Bounds:               config.Bounds{RetryRatio: 0.2, RetryBurst: 50, RetryWindow: retryWindow, ColdFactor: 1, OldVersionGrace: 8 * time.Second},
		},
	}
}

// startEntry starts an entry whose store is at the address store, and waits until it is ready. The
// returned function stops it.
func (r *rig) startEntry(name, store string) (e *entrydirect.Entry, stop context.CancelFunc) {
	p := r.newProcessConfig(config.RoleEntry, name)
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

// startEntryWithRetryBurst starts an entry and waits until it has its burst of retries.
func (r *rig) startEntryWithRetryBurst(name, store string) *entrydirect.Entry {
	e, _ := r.startEntry(name, store)
	select {
	case <-time.After(retryWindow):
	case <-r.ctx.Done():
		r.t.Fatal(r.ctx.Err())
	}
	return e
}

// startOtherEngine starts one more engine, which has version 1 of the weights, and waits until the
// entries know it.
func (r *rig) startOtherEngine(slots int) *standins.Engine {
	e := r.addEngine("i-m9", slots)
	time.Sleep(knownWithin)
	return e
}

// addEngine starts one more engine, which has version 1 of the weights.
func (r *rig) addEngine(id string, slots int) *standins.Engine {
	e := &standins.Engine{ID: id, Service: standins.ModelService, Zone: "a", Model: standins.Model, Slots: slots, EventCount: 8, EventInterval: 10 * time.Millisecond}
	if err := e.Start(r.store, 1); err != nil {
		r.t.Fatal(err)
	}
	r.engines = append(r.engines, e)
	return e
}

// addPlainEngine starts one more target of the plain service.
func (r *rig) addPlainEngine(id string) {
	e := &standins.Engine{ID: id, Service: standins.PlainService, Zone: "a", Slots: 8, CallDuration: 5 * time.Millisecond}
	if err := e.Start(r.store, 0); err != nil {
		r.t.Fatal(err)
	}
	r.plain = append(r.plain, e)
}

// allEngines lists the model engines and the targets of the plain service.
func (r *rig) allEngines() []*standins.Engine {
	return append(append([]*standins.Engine(nil), r.engines...), r.plain...)
}

// startTarget starts the target process beside a model engine.
func (r *rig) startTarget(name string, engine *standins.Engine) {
	p := r.newProcessConfig(config.RoleTarget, name)
	p.Fleet.EngineAddress, p.Fleet.EngineService = engine.Address(), standins.ModelService
	t, err := targetdirect.New(p)
	if err != nil {
		r.t.Fatal(err)
	}
	r.wg.Go(func() { _ = t.Run(r.ctx) })
}

// writeManifest writes the next version of the manifest, with the current API keys.
func (r *rig) writeManifest() {
	r.manifestVersion++
	m := standins.Manifest{Version: r.manifestVersion, Keys: r.apiKeys, Origin: r.origin.Address(), Zone: "a", Pieces: r.pieces}
	if err := r.store.WriteManifest(m); err != nil {
		r.t.Fatal(err)
	}
}

// eventually waits until a condition is true and fails the test if it is not within the timeout.
func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	deadline := time.Now().Add(eventuallyTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			r.t.Fatalf("condition not met within %v: %s", eventuallyTimeout, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// eventuallyStatus waits until an idempotent call at an entry is answered with a status.
func (r *rig) eventuallyStatus(e *entrydirect.Entry, what string, status int) {
	r.t.Helper()
	r.eventually(what, func() bool { return r.call(e, http.MethodGet, "/look/x", "", nil).status == status })
}

// result is the answer that a caller got.
type result struct {
	id         string
	status     int
	stamp      string
	retryAfter string
	body       string
	err        error
}

// call sends a request to an entry as a caller. modifyHeader, if not nil, changes its headers.
func (r *rig) call(e *entrydirect.Entry, method, path, body string, modifyHeader func(http.Header)) result {
	return r.send(standins.Request{Entry: e.CallerAddress(), Method: method, Path: path, Body: body}, modifyHeader)
}

// callWithPrompt sends a request for a stream whose prompt has the parts and one of its own.
func (r *rig) callWithPrompt(e *entrydirect.Entry, parts ...string) result {
	var prompt []standins.PromptPart
	for _, id := range append(parts, fmt.Sprintf("own-%d", r.requestCount.Load())) {
		prompt = append(prompt, standins.PromptPart{ID: id, Tokens: 100})
	}
	return r.send(standins.Request{Entry: e.CallerAddress(), Method: http.MethodPost, Path: "/chat/x", Body: "prompt", Prompt: prompt}, nil)
}

// send sends a request, whose attempt and key it sets.
func (r *rig) send(request standins.Request, modifyHeader func(http.Header)) result {
	res := result{id: fmt.Sprintf("attempt-%d", r.requestCount.Add(1))}
	request.AttemptID, request.APIKey = res.id, apiKey
	req, err := request.NewHTTPRequest()
	if err != nil {
		r.t.Fatal(err)
	}
	if modifyHeader != nil {
		modifyHeader(req.Header)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		res.err = err
		return res
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	headers := standins.DecodeAnswerHeaders(resp.Header)
	res.status, res.stamp, res.retryAfter, res.body, res.err = resp.StatusCode, headers.Stamp, headers.RetryAfter, string(data), err
	return res
}

// isCompleteStream reports whether a body has the events 1 to n in order, each once.
func isCompleteStream(body string, n int) bool {
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

// runCount returns how often the targets ran an attempt.
func (r *rig) runCount(attempt string) int {
	n := 0
	for _, e := range r.allEngines() {
		n += e.RunCount(attempt)
	}
	return n
}
