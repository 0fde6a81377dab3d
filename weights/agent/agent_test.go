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

// runningAgent is one agent of a fleet.
type runningAgent struct {
	*Agent
	engine *fakeEngine
	active chan contract.Digest
	stop   func()
}

// startAgent starts an agent; net may be nil.
func startAgent(t *testing.T, name string, store *fakeStore, net *fakeNet) *runningAgent {
	t.Helper()
	r := &runningAgent{engine: newFakeEngine(), active: make(chan contract.Digest, 64)}
	opts := Options{
		Machine: contract.MachineID(name), Zone: "z1", Region: "r1", Service: "s", Incarnation: 1,
		Log: newFakeStore(), Origin: store, Store: store, Engine: r.engine, Scope: tally.NoopScope,
		Logger:   logs.NewLogger("weights", contract.MachineID(name)),
		OnActive: func(d contract.Digest) { r.active <- d },
	}
	if net != nil {
		opts.Peers = net.peersOf(opts.Machine)
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

// awaitActive waits until OnActive reports the version.
func (r *runningAgent) awaitActive(t *testing.T, want contract.Digest) {
	t.Helper()
	const timeout = 60 * time.Second
	deadline := time.After(timeout)
	for {
		select {
		case got := <-r.active:
			if got == want {
				return
			}
		case <-deadline:
			t.Fatalf("%s: version %s did not become active within 60 s", r.opts.Machine, want.Short())
		}
	}
}

func TestAgentActivatesAndChangesVersion(t *testing.T) {
	const chunksOfV1 = 5
	store := newFakeStore()
	v1 := publish(t, store, content(5000, 1))
	v2 := publish(t, store, content(9000, 2))
	a := startAgent(t, "t1", store, nil)
	a.SetDesiredVersions([]DesiredVersion{{Weights: v1}})
	a.awaitActive(t, v1)
	a.engine.update(func(e *fakeEngine) {
		if e.stagedChunks != chunksOfV1 {
			t.Errorf("%d chunks staged, want each of %d exactly once", e.stagedChunks, chunksOfV1)
		}
		e.loseReply = true
	})
	a.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1}})
	a.awaitActive(t, v2)
	a.engine.update(func(e *fakeEngine) { e.active, e.boot, e.store = "", "b2", weights.NewChunkStore() })
	a.awaitActive(t, v2)
}

func TestFleetDownloadsOneCopyAndServesWithoutOrigin(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1 := publish(t, store, content(200_000, 3))
	var fleet []*runningAgent
	net.expected = 5
	for i := range net.expected {
		fleet = append(fleet, startAgent(t, fmt.Sprintf("t%d", i), store, net))
	}
	for _, r := range fleet {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v1, MinReady: 0.5}})
	}
	for _, r := range fleet {
		r.awaitActive(t, v1)
	}
	if n, chunks := store.countGets(durable.ChunkPrefix), 196; n > chunks*3/2 {
		t.Errorf("%d chunks downloaded from the origin, want at most 3/2 of the %d chunks", n, chunks)
	}
	store.setDown(true)
	fleet[0].stop()
	newcomer := startAgent(t, "t9", store, net)
	newcomer.SetDesiredVersions([]DesiredVersion{{Weights: v1, MinReady: 0.5}})
	newcomer.awaitActive(t, v1)
}

func TestRolloutChangesAllTargetsOfZone(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1, v2 := publish(t, store, content(20_000, 4)), publish(t, store, content(20_000, 5))
	var fleet []*runningAgent
	for i := range 3 {
		fleet = append(fleet, startAgent(t, fmt.Sprintf("t%d", i), store, net))
	}
	for _, r := range fleet {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v1, MinReady: 0.6}})
	}
	for _, r := range fleet {
		r.awaitActive(t, v1)
	}
	for _, r := range fleet {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1, MinReady: 0.6}})
	}
	for _, r := range fleet {
		r.awaitActive(t, v2)
	}
}

// TestStoppedRolloutGivesNewHostFormerVersion has engines that cannot load
// the new version; a host that starts then must not remain without weights.
func TestStoppedRolloutGivesNewHostFormerVersion(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1, v2 := publish(t, store, content(20_000, 7)), publish(t, store, content(20_000, 8))
	existing := startAgent(t, "t1", store, net)
	existing.engine.update(func(e *fakeEngine) { e.unloadable = v2 })
	existing.SetDesiredVersions([]DesiredVersion{{Weights: v1}})
	existing.awaitActive(t, v1)
	existing.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1}})
	existing.awaitFailed(t, v1, v2)
	newcomer := startAgent(t, "t2", store, net)
	newcomer.engine.update(func(e *fakeEngine) { e.unloadable = v2 })
	newcomer.SetDesiredVersions([]DesiredVersion{{Weights: v2, Former: v1}})
	newcomer.awaitActive(t, v1)
}

// awaitFailed waits until an agent reports that it cannot change to d. Each failed attempt
// reopens the gate for the former version.
func (r *runningAgent) awaitFailed(t *testing.T, former, d contract.Digest) {
	t.Helper()
	for r.status.Load().Failed != d {
		r.awaitActive(t, former)
	}
}

// TestBadChunksFromPeersAreRejected checks that what a peer sends is neither held nor
// served to others if it is not the requested chunk.
func TestBadChunksFromPeersAreRejected(t *testing.T) {
	store, net := newFakeStore(), newFakeNet()
	v1 := publish(t, store, content(20_000, 6))
	net.faults = []string{"corrupt", "short", "long", "other"}
	a, b := startAgent(t, "t1", store, net), startAgent(t, "t2", store, net)
	for _, r := range []*runningAgent{a, b} {
		r.SetDesiredVersions([]DesiredVersion{{Weights: v1}})
	}
	a.awaitActive(t, v1)
	b.awaitActive(t, v1)
	m, _ := b.store.Manifest(v1)
	for i := range m.Chunks() {
		if err := m.Verify(i, b.store.Get(v1, i)); err != nil {
			t.Error(err)
		}
	}
}

func (s *fakeStore) countGets(prefix string) int {
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
