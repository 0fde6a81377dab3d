package agent

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
	"mimosastand.example/mimosastand/durable"
	"mimosastand.example/mimosastand/internal/logs"
	"mimosastand.example/mimosastand/weights"
)

func publish(t *testing.T, store *fakeStore, content []byte) contract.Digest {
	t.Helper()
	d, err := weights.Publish(t.Context(), store, bytes.NewReader(content), "v", weights.MinChunkBytes)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func content(bytes int, seed uint64) []byte {
	out := make([]byte, bytes)
	rng := rand.New(rand.NewPCG(seed, seed))
	for i := range out {
		out[i] = byte(rng.Uint32())
	}
	return out
}

// running is one agent in a fleet.
type running struct {
	*Agent
	engine *fakeEngine
	active chan contract.Digest
	stop   func()
}

// start runs an agent; net may be nil.
func start(t *testing.T, name string, store *fakeStore, net *fakeNet) *running {
	t.Helper()
	r := &running{engine: newFakeEngine(), active: make(chan contract.Digest, 64)}
	opts := Options{
		Machine: contract.MachineID(name), Zone: "z1", Region: "r1", Service: "s", Incarnation: 1,
		Log: newFakeStore(), Origin: store, Store: store, Engine: r.engine, Scope: tally.NoopScope,
		Logger:   logs.NewLogger("weights", contract.MachineID(name)),
		OnActive: func(d contract.Digest) { r.active <- d },
	}
	if net != nil {
		opts.Peers = net.of(opts.Machine)
	}
	r.Agent = New(opts)
	if net != nil {
		net.add(opts.Machine, r.Agent)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.Run(ctx) }()
	r.stop = func() {
		if net != nil {
			net.remove(opts.Machine)
		}
		cancel()
		<-done
	}
	t.Cleanup(r.stop)
	return r
}

// await waits until the gate was told that a version is active.
func (r *running) await(t *testing.T, want contract.Digest) {
	t.Helper()
	const patience = 60 * time.Second
	deadline := time.After(patience)
	for {
		select {
		case got := <-r.active:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("%s: %s not active", r.opts.Machine, want.Short())
		}
	}
}

func TestAgentActivatesAndChanges(t *testing.T) {
	const chunksOfV1 = 5
	store := newFakeStore()
	v1 := publish(t, store, content(5000, 1))
	v2 := publish(t, store, content(9000, 2))
	a := start(t, "t1", store, nil)
	a.SetDesiredVersions([]DesiredVersion{{Weights: v1}})
	a.await(t, v1)
	a.engine.set(func(e *fakeEngine) {
		if e.puts != chunksOfV1 {
			t.Errorf("%d chunks staged, want each of %d once", e.puts, chunksOfV1)
		}
		e.loseReply = true
	})
	a.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1}})
	a.await(t, v2)
	a.engine.set(func(e *fakeEngine) { e.active, e.boot, e.store = "", "b2", weights.NewChunkStore() })
	a.await(t, v2)
}

func TestFleetDrawsOneCopyAndGoesOnWithoutTheOrigin(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1 := publish(t, store, content(200_000, 3))
	var fleet []*running
	net.expected = 5
	for i := range net.expected {
		fleet = append(fleet, start(t, fmt.Sprintf("t%d", i), store, net))
	}
	for _, r := range fleet {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v1, MinReady: 0.5}})
	}
	for _, r := range fleet {
		r.await(t, v1)
	}
	if n, chunks := store.count(durable.ChunkPrefix), 196; n > chunks*3/2 {
		t.Errorf("%d chunks drawn from the origin, %d exist", n, chunks)
	}
	store.setDown(true)
	fleet[0].stop()
	newcomer := start(t, "t9", store, net)
	newcomer.SetDesiredVersions([]DesiredVersion{{Weights: v1, MinReady: 0.5}})
	newcomer.await(t, v1)
}

func TestRollOutKeepsTheZoneServing(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1, v2 := publish(t, store, content(20_000, 4)), publish(t, store, content(20_000, 5))
	var fleet []*running
	for i := range 3 {
		fleet = append(fleet, start(t, fmt.Sprintf("t%d", i), store, net))
	}
	for _, r := range fleet {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v1, MinReady: 0.6}})
	}
	for _, r := range fleet {
		r.await(t, v1)
	}
	for _, r := range fleet {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1, MinReady: 0.6}})
	}
	for _, r := range fleet {
		r.await(t, v2)
	}
}

// TestStoppedRollOutGivesANewHostTheFormerVersion has engines that cannot load
// the new version; a host that comes meanwhile must not stay without weights.
func TestStoppedRollOutGivesANewHostTheFormerVersion(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1, v2 := publish(t, store, content(20_000, 7)), publish(t, store, content(20_000, 8))
	old := start(t, "t1", store, net)
	old.engine.set(func(e *fakeEngine) { e.broken = v2 })
	old.SetDesiredVersions([]DesiredVersion{{Weights: v1}})
	old.await(t, v1)
	old.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1}})
	old.awaitFailed(t, v1, v2)
	newcomer := start(t, "t2", store, net)
	newcomer.engine.set(func(e *fakeEngine) { e.broken = v2 })
	newcomer.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1}})
	newcomer.await(t, v1)
}

// awaitFailed waits until an agent told that it cannot change to a version; each
// try that fails opens the gate for the former one.
func (r *running) awaitFailed(t *testing.T, former, d contract.Digest) {
	t.Helper()
	for r.status.Load().Failed != d {
		r.await(t, former)
	}
}

// TestBadPeers shows that what a peer sends is neither held nor served on if it
// is not the chunk that was asked for.
func TestBadPeers(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1 := publish(t, store, content(20_000, 6))
	net.lies = []string{"corrupt", "short", "long", "other"}
	a, b := start(t, "t1", store, net), start(t, "t2", store, net)
	for _, r := range []*running{a, b} {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v1}})
	}
	a.await(t, v1)
	b.await(t, v1)
	m, _ := b.store.Manifest(v1)
	for i := range m.Chunks() {
		if err := m.Verify(i, b.store.Get(v1, i)); err != nil {
			t.Error(err)
		}
	}
}

func (s *fakeStore) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for name, gets := range s.gets {
		if strings.HasPrefix(name, prefix) {
			n += gets
		}
	}
	return n
}
