package agent

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"mimosastand.example/mimosastand/contract"
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

func start(t *testing.T, store *fakeStore, engine *fakeEngine) (*Agent, chan contract.Digest) {
	t.Helper()
	active := make(chan contract.Digest, 16)
	a := New(Options{
		Machine: "t1", Zone: "z1", Region: "r1", Incarnation: 1, Log: store, Origin: store, Store: store, Engine: engine,
		Scope: tally.NoopScope, Logger: logs.For("weights", "t1"),
		OnActive: func(d contract.Digest) { active <- d },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return a, active
}

func await(t *testing.T, active chan contract.Digest, want contract.Digest) {
	t.Helper()
	const patience = 30 * time.Second
	select {
	case got := <-active:
		if got != want {
			t.Fatalf("active %s, want %s", got.Short(), want.Short())
		}
	case <-time.After(patience):
		t.Fatal("not activated")
	}
}

func TestAgentActivatesAndChanges(t *testing.T) {
	store, engine := newFakeStore(), newFakeEngine()
	v1 := publish(t, store, make([]byte, 5000))
	v2 := publish(t, store, bytes.Repeat([]byte{7}, 9000))
	a, active := start(t, store, engine)
	a.Want([]Wanted{{Weights: v1}})
	await(t, active, v1)
	engine.mu.Lock()
	engine.loseReply = true
	engine.mu.Unlock()
	a.Want([]Wanted{{Weights: v2, Former: v1}})
	await(t, active, v2)
}
